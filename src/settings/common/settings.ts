/**
 * Settings of a host: one schema with every default, from which `check` and the reference in
 * docs/SETTINGS.md come. No decision depends on a number that is not here or in a configured object.
 */

import { z } from 'zod'
import { count, endpoint, key, membershipSchema, milliseconds, name, origin } from './schemas.ts'

const hostSchema = z.strictObject({
  name: name.describe('name of this host in answers and logs'),
  place: name.describe('place (failure domain) of this host'),
  listen: endpoint.describe('where it listens'),
  address: origin.describe('address that callers and peers use'),
  log_level: z.enum(['silent', 'warn', 'info']).default('info').describe('which log lines are written')
})

const logSchema = z.strictObject({
  address: origin.describe("the platform's log"),
  timeout: milliseconds(2000, 'longest wait for an answer'),
  long_poll: milliseconds(2000, 'how long a read may wait at the log'),
  read_pause: milliseconds(150, 'pause after a read that brought entries, while the host awaits no verdict'),
  batch_delay: milliseconds(2, 'how long records are gathered into one append'),
  queue: count(2000, 'records waiting to be appended, at most'),
  queue_wait: milliseconds(3000, 'how long a record may wait for its verdict'),
  freshness: milliseconds(5000, 'after so long without log and peers the host takes no new work'),
  relay_entries: count(4096, 'newest entries kept for hosts that cannot reach the log'),
  checkpoint_entries: count(2000, 'entries between two checkpoints'),
  checkpoint_interval: milliseconds(60_000, 'longest time between two checkpoints; at most half the retention of the log'),
  payload_refresh: milliseconds(600_000, 'payloads of undelivered groups are appended anew after so long; at most half the retention of the log')
})

const limitsSchema = z.strictObject({
  body_bytes: count(1_048_576, 'bytes of a request body'),
  answer_bytes: count(67_108_864, 'bytes of an answer from a target'),
  connections: count(2000, 'open connections'),
  requests: count(1000, 'requests in flight'),
  body_timeout: milliseconds(10_000, 'time for a request to arrive in full'),
  valid_for: milliseconds(5000, 'how long callers may keep an address answer'),
  heartbeat: milliseconds(1000, 'time between heartbeats on a stream to a caller'),
  target_silence: milliseconds(3000, 'longest silence of a target inside a stream'),
  connect_timeout: milliseconds(1000, 'time for a connection to open'),
  target_connections: count(256, 'connections to one target'),
  retry_ratio: z.number().min(0).max(1).default(0.1).describe('second attempts earned by one success'),
  retry_saved: count(10, 'second attempts that may be saved up'),
  grant_use: milliseconds(2000, 'how long after asking for it a slot may be used'),
  stop_timeout: milliseconds(600_000, 'longest graceful stop before the process exits all the same')
})

const ordersSchema = z.strictObject({
  lease: milliseconds(10_000, 'duration of the lease on a shard'),
  flight: milliseconds(2000, 'longest time an order may be under way'),
  reconcile: milliseconds(500, 'time between two looks at the engines'),
  parallel: count(8, 'orders of one shard under way at once'),
  host_list: milliseconds(2000, 'time between two looks at the host list')
})

const rolloutsSchema = z.strictObject({
  parallel: count(256, 'rollouts of one subscription under way at once'),
  wait: milliseconds(2000, 'how long a rollout waits in a queue before it asks anew'),
  pull_wait: milliseconds(10_000, 'longest wait of a pull for samples'),
  score_timeout: milliseconds(5000, 'longest wait for a score')
})

const callerSchema = z.strictObject({
  name: name.describe('name of the caller'),
  key: key.describe('what it presents as bearer token'),
  role: z.enum(['caller', 'trainer']).default('caller').describe('trainers may submit and pull')
})

const operatorSchema = z.strictObject({ name: name.describe('name in the audit trail'), key })

export const settingsSchema = z.strictObject({
  host: hostSchema,
  log: logSchema,
  host_list: z.strictObject({ address: origin }).optional().describe("the platform's list of hosts"),
  scorer: z.strictObject({ address: origin }).optional().describe('service that scores samples; without it scores are 0'),
  peers: z.strictObject({ key: key.describe('key that hosts present to each other') }),
  membership: membershipSchema.prefault({}),
  limits: limitsSchema.prefault({}),
  orders: ordersSchema.prefault({}),
  rollouts: rolloutsSchema.prefault({}),
  metrics: z.strictObject({ address: endpoint }).optional().describe('statsd collector'),
  callers: z.array(callerSchema).default([]),
  operators: z.array(operatorSchema).default([])
}).superRefine((settings, context) => {
  const keys = new Map<string, string>([[settings.peers.key, 'peers']])
  const people = [...settings.callers.map((item, index) => ({ item, path: ['callers', index] })), ...settings.operators.map((item, index) => ({ item, path: ['operators', index] }))]
  for (const { item, path } of people) {
    const other = keys.get(item.key)
    if (other !== undefined) context.addIssue({ code: 'custom', path: [...path, 'key'], message: `the key is also that of ${other}` })
    keys.set(item.key, item.name)
  }
})

/** Checked settings of a host. */
export type Settings = z.infer<typeof settingsSchema>
