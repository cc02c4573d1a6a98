/**
 * Settings of a host that serves routes and steps over a store of keyed topics. What several hosts
 * must agree on is not here: routes come from the operator's topic.
 */

import { z } from 'zod'
import type { Mechanism } from '../../core/common/mechanisms.ts'
import { mechanismDescriptions, mechanismNames } from '../../core/common/mechanisms.ts'
import { count, endpoint, key, membershipSchema, milliseconds, name, origin } from './schemas.ts'

const hostSchema = z.strictObject({
  name: name.describe('name of this machine in logs and orders'),
  place: name.describe('place (failure domain) of this host'),
  log_level: z.enum(['silent', 'warn', 'info']).default('info').describe('which log lines are written'),
  processor_share: z.number().positive().default(1).describe('share of a core that the host may use'),
  processor_speed: z.number().positive().default(1).describe("speed of that core in relation to the usual one; hosts with less than one usual core leave the steps' duty to others")
})

const listenSchema = z.strictObject({
  callers: endpoint.describe('where callers connect'),
  readiness: endpoint.describe('where the platform asks whether the host is ready'),
  peers: endpoint.describe('where other hosts connect'),
  directory: endpoint.describe('where callers ask which hosts to use')
})

const storeSchema = z.strictObject({
  address: origin.describe('the store of keyed topics'),
  topic: z.string().min(1).default('keyed.bulrushvalve').describe("the steps' topic"),
  contents_topic: z.string().min(1).default('keyed.bulrushvalve.contents').describe("the topic of items' payloads and results' texts, which hosts read when somebody asks for them"),
  progress_topic: z.string().min(1).default('bulrushvalve.progress').describe('the topic of the progress of running items, which need not be kept'),
  timeout: milliseconds(1200, 'longest wait for an answer'),
  long_poll: milliseconds(1000, 'how long a read may wait for records'),
  read_pause: milliseconds(200, 'pause after a read that brought records, while nobody waits for them'),
  registry_pause: milliseconds(500, 'the same for the entries of targets, which come often and may be known this much later'),
  call_bytes: count(2_000_000, 'bytes of one append, at most'),
  record_bytes: count(262_144, 'bytes of one record, at most')
})

const dutySchema = z.strictObject({
  renew: milliseconds(250, 'time between two renewals of the duty'),
  doubt: milliseconds(600, 'silence of the holder after which other hosts ask whether it lives'),
  lease: milliseconds(1200, 'how long the duty lasts after a renewal'),
  rest: milliseconds(3200, "how long a new holder waits after the former one's lease before it orders: the time in which two holders must not order, and a little more")
})

const limitsSchema = z.strictObject({
  connections: count(4000, 'open connections of callers'),
  head_bytes: count(65_536, 'bytes of the head of a request that are read, at most'),
  held_bytes: count(67_108_864, 'bytes of request bodies that are held at once'),
  valid_for: milliseconds(2000, 'how long callers may keep an address answer'),
  answer_bytes: count(33_554_432, 'bytes of a whole answer from a target'),
  connect_timeout: milliseconds(400, 'time for a connection to a target to open'),
  target_connections: count(64, 'connections to one target'),
  caller_pause: milliseconds(10_000, 'longest time for which a caller of a stream may read nothing'),
  stop_serving: milliseconds(5500, 'how long a stopping host goes on serving callers that still know it'),
  stop_timeout: milliseconds(1500, 'longest wait after that for requests in flight')
})

const stepsSchema = z.strictObject({
  accept: milliseconds(2500, 'how long a submission is offered to the store while its caller waits'),
  end: milliseconds(20_000, "how long a step's end is offered to the store"),
  progress: milliseconds(200, 'time between two saves of the progress of running items'),
  first_event: milliseconds(600, 'longest wait for the first event of an item'),
  silence: milliseconds(500, 'longest silence within the stream of an item'),
  status: milliseconds(150_000, 'how long a step is kept after its submission, at least')
})

const identitySchema = z.strictObject({
  revocation: z.number().int().min(500).optional().describe('longest time for which a key is accepted after it was taken away, in milliseconds: a host that has not read the configuration for so long takes no request with a key; without it keys hold while a host does not reach the store')
})

const usageSchema = z.strictObject({
  address: origin.describe("the platform's interface that takes usage reports"),
  topic: z.string().min(1).default('keyed.bulrushvalve.usage').describe('the topic of counts and of what is reported'),
  window_seconds: z.number().positive().describe('length of the windows of the time of day for which usage is reported, in seconds'),
  due_seconds: z.number().positive().describe('time from the end of a window until its report is due, in seconds')
}).describe('usage reports; without this table nothing is counted or reported')

const metricsSchema = z.strictObject({
  listen: endpoint.optional().describe('where counters and histograms are served as text, under /metrics'),
  collector: endpoint.optional().describe('StatsD collector')
})

const switches = Object.fromEntries(mechanismNames.map((name) => [name, z.boolean().default(true).describe(mechanismDescriptions[name])])) as Record<Mechanism, z.ZodDefault<z.ZodBoolean>>

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
  usage: usageSchema.optional(),
  metrics: metricsSchema.optional(),
  mechanisms: z.strictObject(switches).prefault({}).describe('decisions that an experiment leaves out, to learn what they are worth; each has a log line at the start')
})

export type RoutedSettings = z.infer<typeof routedSettingsSchema>
