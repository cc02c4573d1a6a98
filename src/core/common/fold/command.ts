/**
 * Commands and the objects they change. Each kind of object has a schema for its properties; the
 * language, the fold and the tables of `show` all read these schemas, so that there is one list of
 * what an operator can set.
 */

import { z } from 'zod'

const name = z.string().min(1).max(200)
  .regex(/^[\w.:-]+$/, 'a name has letters, digits and . : _ -')
  .refine((value) => !(value in {}), 'this name is reserved')
const positive = z.number().int().positive()
const whole = z.number().int().nonnegative()

/** Properties of each kind of object, with defaults for what a `create` leaves out. */
export const objectSchemas = {
  /** Licensed copies under one set of weights. */
  pool: z.strictObject({
    copies: positive.describe('licensed copies: targets that may belong to the pool'),
    weights: whole.default(0).describe('wanted weight version; 0 leaves the targets as they are')
  }),
  /** A model engine or a worker of a plain service. */
  target: z.strictObject({
    pool: name,
    address: z.string().regex(/^https?:\/\/[\w.:[\]-]+$/, 'an address is http://IP:PORT').describe('base address'),
    place: name,
    type: z.enum(['engine', 'service']).default('engine'),
    slots: positive.max(4096).default(8).describe('requests that it runs at once'),
    fenced: z.boolean().default(false).describe('whether it checks the fencing number of an order'),
    state: z.enum(['active', 'draining']).default('active')
  }),
  /** A way in for interactive requests. */
  lane: z.strictObject({
    pool: name,
    priority: whole.max(9).default(1).describe('0 is served first; rollouts run below all lanes'),
    deadline: positive.max(3_600_000).default(30_000).describe('milliseconds, where the request names none'),
    callerLimit: positive.default(64).describe('requests of one caller in flight')
  }),
  /** A trainer's standing order for samples. */
  subscription: z.strictObject({
    pool: name,
    trainer: name.describe('caller that may submit and pull'),
    staleness: whole.default(2).describe('versions that a sample may be behind'),
    share: positive.max(1000).default(1).describe('weight among the rollouts of the pool'),
    ahead: positive.default(512).describe('samples generated and not yet acknowledged, at most'),
    stragglerFactor: z.number().min(1).max(100).default(3).describe('a sample slower than this multiple of the median gets a second attempt'),
    maximumTokens: positive.max(1_000_000).default(1024)
  })
} as const

/** Kind of a configured object. */
export type ObjectKind = keyof typeof objectSchemas
export const objectKinds = Object.keys(objectSchemas) as ObjectKind[]

/** Properties of a kind of object, complete. */
export type PropertiesOf<Kind extends ObjectKind> = z.infer<(typeof objectSchemas)[Kind]>

const kind = z.enum(['pool', 'target', 'lane', 'subscription'])
const properties = z.record(z.string().max(64), z.union([z.string().max(1024), z.number(), z.boolean()]))
const ifRevision = z.number().int().nonnegative().optional()

/** Schema of a command inside a record. */
export const commandSchema = z.discriminatedUnion('verb', [
  z.strictObject({ verb: z.literal('create'), kind, name, properties }),
  z.strictObject({ verb: z.literal('set'), kind, name, properties, ifRevision }),
  z.strictObject({ verb: z.literal('remove'), kind, name, ifRevision }),
  z.strictObject({ verb: z.literal('drain'), target: name, ifRevision }),
  z.strictObject({ verb: z.literal('restore'), target: name, ifRevision }),
  z.strictObject({ verb: z.literal('load'), pool: name, version: positive, ifRevision })
])

/** A change that an operator orders. */
export type Command = z.infer<typeof commandSchema>
export type PropertyValue = string | number | boolean
