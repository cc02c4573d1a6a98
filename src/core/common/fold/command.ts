/**
 * Commands and the objects that they change. Each kind of object has a schema for its properties.
 * The command language, the fold and the tables of `show` all use these schemas, so there is a
 * single definition of what an operator can set.
 */

import { z } from 'zod'

const name = z.string().min(1).max(200)
  .regex(/^[\w.:-]+$/, 'a name has letters, digits and . : _ -')
  .refine((value) => !(value in {}), 'this name is reserved')
const positive = z.number().int().positive()
const nonNegative = z.number().int().nonnegative()

/** Schemas of the properties of each kind of object, with defaults for properties omitted in `create`. */
export const objectSchemas = {
  /** A group of licensed copies that run the same weights. */
  pool: z.strictObject({
    copies: positive.describe('number of licensed copies, which limits the targets in the pool'),
    weights: nonNegative.default(0).describe('desired weight version; 0 leaves the targets unchanged')
  }),
  /** A model engine, or a worker of a service without an engine. */
  target: z.strictObject({
    pool: name,
    address: z.string().regex(/^https?:\/\/[\w.:[\]-]+$/, 'an address is http://IP:PORT').describe('base address'),
    place: name,
    type: z.enum(['engine', 'service']).default('engine'),
    slots: positive.max(4096).default(8).describe('number of requests that the target runs concurrently'),
    fenced: z.boolean().default(false).describe('whether the target checks the fencing token of an order'),
    state: z.enum(['active', 'draining']).default('active')
  }),
  /** An entry point for interactive requests. */
  lane: z.strictObject({
    pool: name,
    priority: nonNegative.max(9).default(1).describe('0 is served first; rollouts are served after all lanes'),
    deadline: positive.max(3_600_000).default(30_000).describe('default deadline of a request, in milliseconds'),
    callerLimit: positive.default(64).describe('maximum number of requests in flight per caller')
  }),
  /** A trainer's subscription to samples. */
  subscription: z.strictObject({
    pool: name,
    trainer: name.describe('the caller that may submit groups and pull samples'),
    staleness: nonNegative.default(2).describe('number of weight versions that a sample may lag behind'),
    share: positive.max(1000).default(1).describe('relative share among the rollouts of the pool'),
    ahead: positive.default(512).describe('maximum number of samples generated but not yet acknowledged'),
    stragglerFactor: z.number().min(1).max(100).default(3).describe('a sample slower than this multiple of the median gets a second attempt'),
    maximumTokens: positive.max(1_000_000).default(1024)
  })
} as const

export type ObjectKind = keyof typeof objectSchemas
export const objectKinds = Object.keys(objectSchemas) as ObjectKind[]

/** Properties of a kind of object, with all defaults applied. */
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

/** A configuration change requested by an operator. */
export type Command = z.infer<typeof commandSchema>
export type PropertyValue = string | number | boolean
