/**
 * Settings of an entry host. The schema contains all defaults; the `check` command and the reference
 * in docs/SETTINGS.md are derived from it. No decision depends on a number that is neither here nor in
 * a configured object.
 */

import { z } from 'zod'
import { clientLimits, positiveInteger, endpoint, key, membershipSchema, milliseconds, name, origin } from './schemas.ts'

const hostSchema = z.strictObject({
  name: name.describe('name of this host in answers and logs'),
  place: name.describe('failure domain of this host'),
  listen: endpoint.describe('address at which this host listens'),
  address: origin.describe('address that callers and other hosts use'),
  log_level: z.enum(['silent', 'warn', 'info']).default('info').describe('minimum level of log lines that are written')
})

const logSchema = z.strictObject({
  address: origin.describe('address of the log of the platform'),
  timeout: milliseconds(2000, 'time limit for an answer from the log'),
  long_poll: milliseconds(2000, 'how long a read waits for new entries (long poll)'),
  read_pause: milliseconds(150, 'pause after a read that returned entries, while the host waits for the outcome of no record'),
  batch_delay: milliseconds(2, 'how long records are collected into one append'),
  queue: positiveInteger(2000, 'maximum number of records waiting to be appended'),
  queue_wait: milliseconds(3000, 'how long a record may wait for its outcome'),
  freshness: milliseconds(5000, 'time without contact to either the log or other hosts after which the host accepts no new work'),
  relay_entries: positiveInteger(4096, 'number of newest entries kept for hosts that cannot reach the log'),
  checkpoint_entries: positiveInteger(2000, 'number of entries between checkpoints'),
  checkpoint_interval: milliseconds(60_000, 'longest time between checkpoints; must be at most half the retention of the log'),
  payload_refresh: milliseconds(600_000, 'time after which payloads of undelivered groups are appended again; must be at most half the retention of the log')
})

const limitsSchema = z.strictObject({
  body_bytes: positiveInteger(1_048_576, 'maximum size of a request body, in bytes'),
  held_bytes: positiveInteger(134_217_728, 'maximum memory for request bodies, large request heads and answers that wait to be read, at all addresses together, in bytes; clients that make no progress give up theirs first'),
  answer_bytes: positiveInteger(67_108_864, 'maximum size of an answer from a target, in bytes'),
  connections: positiveInteger(2000, 'maximum number of open connections'),
  ...clientLimits,
  requests: positiveInteger(1000, 'maximum number of requests in flight'),
  body_timeout: milliseconds(10_000, 'time limit for a request to arrive completely'),
  valid_for: milliseconds(5000, 'how long callers may cache an address answer'),
  heartbeat: milliseconds(1000, 'interval between heartbeats on a stream to a caller'),
  target_silence: milliseconds(3000, 'longest time for which a target may send nothing within a stream'),
  connect_timeout: milliseconds(1000, 'time limit for opening a connection'),
  target_connections: positiveInteger(256, 'maximum number of connections to one target'),
  retry_ratio: z.number().min(0).max(1).default(0.1).describe('retries that each success adds to the retry budget'),
  retry_saved: positiveInteger(10, 'maximum number of retries in the retry budget'),
  grant_use: milliseconds(2000, 'how long a slot may be used after it was requested'),
  stop_timeout: milliseconds(600_000, 'time limit for a graceful stop, after which the process exits anyway')
})

const ordersSchema = z.strictObject({
  lease: milliseconds(10_000, 'duration of the lease on a shard'),
  flight: milliseconds(2000, 'time limit for an order'),
  reconcile: milliseconds(500, 'interval between reconciliations of the engines'),
  parallel: positiveInteger(8, 'maximum number of concurrent orders per shard'),
  host_list: milliseconds(2000, 'interval between reads of the host list')
})

const rolloutsSchema = z.strictObject({
  parallel: positiveInteger(256, 'maximum number of concurrent rollouts per subscription'),
  wait: milliseconds(2000, 'how long a rollout waits in a queue before it requests a slot again'),
  pull_wait: milliseconds(10_000, 'longest time that a pull waits for samples'),
  score_timeout: milliseconds(5000, 'time limit for a score')
})

const callerSchema = z.strictObject({
  name: name.describe('name of the caller'),
  key: key.describe('bearer token of the caller'),
  role: z.enum(['caller', 'trainer']).default('caller').describe('role of the caller; trainers may submit groups and pull samples')
})

const operatorSchema = z.strictObject({ name: name.describe('name of the operator in the audit trail'), key })

export const settingsSchema = z.strictObject({
  host: hostSchema,
  log: logSchema,
  host_list: z.strictObject({ address: origin }).optional().describe('list of hosts kept by the platform'),
  scorer: z.strictObject({ address: origin }).optional().describe('service that scores samples; without it, scores are 0'),
  peers: z.strictObject({ key: key.describe('key that hosts present to each other') }),
  membership: membershipSchema.prefault({}),
  limits: limitsSchema.prefault({}),
  orders: ordersSchema.prefault({}),
  rollouts: rolloutsSchema.prefault({}),
  metrics: z.strictObject({ address: endpoint }).optional().describe('StatsD collector'),
  callers: z.array(callerSchema).default([]),
  operators: z.array(operatorSchema).default([])
}).superRefine((settings, context) => {
  const keys = new Map<string, string>([[settings.peers.key, 'peers']])
  const keyHolders = [...settings.callers.map((item, index) => ({ item, path: ['callers', index] })), ...settings.operators.map((item, index) => ({ item, path: ['operators', index] }))]
  for (const { item, path } of keyHolders) {
    const existingHolder = keys.get(item.key)
    if (existingHolder !== undefined) context.addIssue({ code: 'custom', path: [...path, 'key'], message: `the key is already used by ${existingHolder}` })
    keys.set(item.key, item.name)
  }
})

/** Validated settings of an entry host. */
export type Settings = z.infer<typeof settingsSchema>
