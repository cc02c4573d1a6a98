/**
 * Settings of a host that serves routes and steps from a store of keyed topics. Configuration that all
 * hosts must share is not part of them: routes come from the operator topic.
 */

import { z } from 'zod'
import type { Mechanism } from '../../core/common/mechanisms.ts'
import { mechanismDescriptions, mechanismNames } from '../../core/common/mechanisms.ts'
import { clientLimits, positiveInteger, endpoint, key, membershipSchema, milliseconds, name, origin } from './schemas.ts'

const hostSchema = z.strictObject({
  name: name.describe('name of this machine in logs and orders'),
  place: name.describe('failure domain of this host'),
  log_level: z.enum(['silent', 'warn', 'info']).default('info').describe('minimum level of log lines that are written'),
  descriptors: z.number().int().min(1000).optional().describe('maximum number of open files and sockets of the process; if set, the connections of each address are limited to its share of them'),
  memory_mb: z.number().positive().optional().describe('memory that the process may use, in MB; if set, it limits `limits.held_bytes` to a share of it, and garbage is collected before it fills the rest'),
  processor_share: z.number().positive().default(1).describe('share of a processor core that the host may use'),
  processor_speed: z.number().positive().default(1).describe('speed of that core relative to a standard core; hosts with less capacity than one standard core leave the duty of running steps to others')
})

const listenSchema = z.strictObject({
  callers: endpoint.describe('address at which callers connect'),
  readiness: endpoint.describe('address for readiness probes by the platform'),
  peers: endpoint.describe('address at which other hosts connect'),
  directory: endpoint.describe('address at which callers query which hosts to use')
})

const storeSchema = z.strictObject({
  address: origin.describe('address of the store of keyed topics'),
  topic: z.string().min(1).default('keyed.bulrushvalve').describe('topic of the steps'),
  contents_topic: z.string().min(1).default('keyed.bulrushvalve.contents').describe('topic of item payloads and result texts, which hosts read only on demand'),
  progress_topic: z.string().min(1).default('bulrushvalve.progress').describe('topic of the progress of running items, which does not have to be durable'),
  timeout: milliseconds(1200, 'time limit for an answer from the store'),
  long_poll: milliseconds(1000, 'how long a read waits for new records (long poll)'),
  read_pause: milliseconds(200, 'pause after a read that returned records, while nothing waits for them'),
  registry_pause: milliseconds(500, 'pause after a read that returned target registrations, which are frequent and tolerate this delay'),
  call_bytes: positiveInteger(2_000_000, 'maximum size of one append, in bytes'),
  record_bytes: positiveInteger(262_144, 'maximum size of one record, in bytes')
})

const dutySchema = z.strictObject({
  renew: milliseconds(250, 'interval between renewals of the duty'),
  doubt: milliseconds(600, 'time without a renewal by the holder after which other hosts probe whether it is alive'),
  lease: milliseconds(1200, 'lease duration of the duty after a renewal'),
  rest: milliseconds(3200, 'how long a new holder waits after the lease of the former one has expired before it sends orders: slightly longer than the time within which two holders must not both send orders')
})

/** Part of the grace period that is left for the last answers, for closing connections and for writing the log. */
const EXIT_RESERVE_MS = 300
/** Shortest time between the signal to stop and the end of requests in which a host can hand over its work. */
const MIN_STOP_MS = 500

/** Returns the time between the signal to stop and the end of the requests that are left, in milliseconds. */
export function stopEndMs (limits: { readonly stop_serving: number, readonly stop_timeout: number, readonly grace_seconds?: number | undefined }): number {
  return limits.grace_seconds === undefined ? limits.stop_serving + limits.stop_timeout : limits.grace_seconds * 1000 - EXIT_RESERVE_MS
}

const limitsSchema = z.strictObject({
  connections: positiveInteger(4000, 'maximum number of open connections at each address'),
  ...clientLimits,
  head_bytes: positiveInteger(65_536, 'maximum size of a request head, in bytes'),
  held_bytes: positiveInteger(67_108_864, 'maximum memory for request bodies, large request heads and answers that wait to be read, at all addresses together, in bytes; clients that make no progress give up theirs first'),
  valid_for: milliseconds(2000, 'how long callers may cache an address answer'),
  answer_bytes: positiveInteger(4_194_304, 'maximum size of an unstreamed answer from a target, and of all that are being received together, in bytes'),
  connect_timeout: milliseconds(400, 'time limit for opening a connection to a target'),
  target_connections: positiveInteger(64, 'maximum number of connections to one target'),
  stop_serving: milliseconds(5500, 'how long a stopping host goes on serving callers that still use its address'),
  stop_timeout: milliseconds(1500, 'longest wait for requests in flight after `stop_serving`, if `grace_seconds` is absent'),
  grace_seconds: z.number().positive().optional().describe('time between the signal to stop and the forced end of the process, in seconds; requests in flight may use it up to the last 0.3 s')
}).superRefine((limits, context) => {
  if (limits.grace_seconds !== undefined && stopEndMs(limits) < MIN_STOP_MS) context.addIssue({ code: 'custom', path: ['grace_seconds'], message: `must be at least ${(MIN_STOP_MS + EXIT_RESERVE_MS) / 1000}` })
})

const stepsSchema = z.strictObject({
  accept: milliseconds(2500, 'how long the host tries to append a submission to the store while its caller waits'),
  end: milliseconds(20_000, 'how long the host tries to append the end of a step to the store'),
  progress: milliseconds(200, 'interval between saves of the progress of running items'),
  first_event: milliseconds(600, 'time limit for the first event of an item'),
  silence: milliseconds(500, 'longest time between two events in the stream of an item'),
  status: milliseconds(150_000, 'minimum time for which a step is kept after its submission')
})

const identitySchema = z.strictObject({
  revocation: z.number().int().min(500).optional().describe('longest time for which a key is accepted after it was revoked, in milliseconds: a host that has not read the configuration for this long rejects all requests with a key; if absent, keys remain valid while a host cannot reach the store')
})

const usageSchema = z.strictObject({
  address: origin.describe('address of the platform interface that accepts usage reports'),
  topic: z.string().min(1).default('keyed.bulrushvalve.usage').describe('topic of usage counts and of reports that were sent'),
  window_seconds: z.number().positive().describe('length of the time windows for which usage is reported, aligned to the time of day, in seconds'),
  due_seconds: z.number().positive().describe('time between the end of a window and the due time of its report, in seconds')
}).describe('usage reports; without this table, usage is neither counted nor reported')

const fleetSchema = z.strictObject({
  address: origin.describe('address of the platform interface that accepts orders of targets'),
  duties: z.array(z.string()).default([]).describe('duties that the platform accepts; targets are ordered only if the list contains the one for such orders')
}).describe('orders of rented targets, for services whose configuration has scaling; without this table, no targets are ordered')

const deploymentSchema = z.strictObject({
  contracts: z.array(z.string()).default([]).describe('names of what was agreed for the deployment')
})

const queueSchema = z.strictObject({
  mode: z.enum(['by-contract', 'on', 'off']).default('by-contract').describe('whether calls for which no target has room wait in a queue; by contract, they do where the contracts include `pressure`'),
  calls: positiveInteger(256, 'maximum number of calls that wait at this host for one service'),
  bytes: positiveInteger(8_388_608, 'maximum size of their bodies, in bytes')
})

const metricsSchema = z.strictObject({
  listen: endpoint.optional().describe('address at which metrics are served as text, under /metrics'),
  collector: endpoint.optional().describe('address of a StatsD collector')
})

const mechanismSwitches = Object.fromEntries(mechanismNames.map((name) => [name, z.boolean().default(true).describe(mechanismDescriptions[name])])) as Record<Mechanism, z.ZodDefault<z.ZodBoolean>>

export const routedSettingsSchema = z.strictObject({
  host: hostSchema,
  listen: listenSchema,
  store: storeSchema,
  peers: z.strictObject({ key: key.describe('key that hosts present to each other') }),
  membership: membershipSchema.prefault({}),
  duty: dutySchema.prefault({}),
  limits: limitsSchema.prefault({}),
  steps: stepsSchema.prefault({}),
  identity: identitySchema.prefault({}),
  deployment: deploymentSchema.prefault({}),
  queue: queueSchema.prefault({}),
  usage: usageSchema.optional(),
  fleet: fleetSchema.optional(),
  metrics: metricsSchema.optional(),
  mechanisms: z.strictObject(mechanismSwitches).prefault({}).describe('mechanisms that an experiment can disable to determine their effect; each disabled one is logged at start')
})

export type RoutedSettings = z.infer<typeof routedSettingsSchema>

/** The contract under which calls wait in queues. */
const QUEUE_CONTRACT = 'pressure'

/** Whether calls for which no target has room wait in a queue. */
export function hasCallQueue ({ queue, deployment, mechanisms }: Pick<RoutedSettings, 'queue' | 'deployment' | 'mechanisms'>): boolean {
  if (!mechanisms.call_queue) return false
  switch (queue.mode) {
    case 'on': return true
    case 'off': return false
    case 'by-contract': return deployment.contracts.includes(QUEUE_CONTRACT)
  }
}
