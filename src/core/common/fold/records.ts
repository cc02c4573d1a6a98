/**
 * Records of the control stream. An entry of the platform's log is one envelope of several records
 * (group commit); the fold decides every record in log order. A record carries an id chosen by its
 * author, so that appending it again after a lost answer changes nothing.
 *
 * Prompts and texts are not here: they lie in the payload stream and records refer to them by
 * offset. A host folds the whole control stream, so what stands here costs every host.
 */

import { z } from 'zod'
import { commandSchema } from './command.ts'

/** Version of the envelope; a host skips envelopes of a version that it does not know. */
export const ENVELOPE_VERSION = 1
/** Records in one envelope at most; more is a fault of the author and is skipped everywhere alike. */
export const MAXIMUM_RECORDS = 1024

/** Names that every JavaScript object inherits would be found in a table that does not have them. */
const name = z.string().min(1).max(200).refine((value) => !(value in {}), 'this name is reserved')
const count = z.number().int().nonnegative()

/** Where a payload lies: the entry of the payload stream, and the item inside it. */
const payloadSchema = z.strictObject({ offset: count, item: count })

/** A run of tokens that one weight version produced, as the engine reported it. */
const segmentSchema = z.strictObject({ version: count, from: count, to: count })

const sampleSchema = z.strictObject({
  group: name,
  index: count,
  segments: z.array(segmentSchema).min(1).max(256),
  score: z.number(),
  payload: payloadSchema
})

const outcomeSchema = z.discriminatedUnion('state', [
  z.strictObject({ state: z.literal('answered'), status: count, contentType: z.string().max(200), body: z.string().max(16384), truncated: z.boolean() }),
  z.strictObject({ state: z.literal('unknown') })
])

const base = { id: name, at: count }
const claimKey = { caller: name, request: name, attempt: name, issuedAt: count }

const recordSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('command'), ...base, by: name, command: commandSchema }),
  z.strictObject({ kind: z.literal('claim'), ...base, ...claimKey, holder: name }),
  z.strictObject({ kind: z.literal('release'), ...base, ...claimKey }),
  z.strictObject({ kind: z.literal('outcome'), ...base, ...claimKey, outcome: outcomeSchema }),
  z.strictObject({ kind: z.literal('lease'), ...base, shard: name, holder: name, ifEpoch: count, durationMs: count }),
  z.strictObject({ kind: z.literal('lease-end'), ...base, shard: name, holder: name, ifEpoch: count }),
  z.strictObject({ kind: z.literal('submit'), ...base, subscription: name, group: name, step: count, samples: z.number().int().min(1).max(1024), issuedAt: count, digest: name, payload: payloadSchema }),
  z.strictObject({ kind: z.literal('samples'), ...base, subscription: name, items: z.array(sampleSchema).min(1).max(1024) }),
  z.strictObject({ kind: z.literal('moved'), ...base, subscription: name, group: name, prompt: payloadSchema.optional(), samples: z.array(z.strictObject({ index: count, from: payloadSchema, to: payloadSchema })).max(1024) }),
  z.strictObject({ kind: z.literal('pull'), ...base, subscription: name, cursor: count, version: count, maximum: z.number().int().min(1).max(100000) }),
  z.strictObject({ kind: z.literal('tick'), ...base })
])

const envelopeSchema = z.strictObject({ v: z.literal(ENVELOPE_VERSION), records: z.array(z.unknown()).max(MAXIMUM_RECORDS) })

/** A record of the control stream. */
export type ControlRecord = z.infer<typeof recordSchema>
/** A record of one kind. */
export type RecordOf<Kind extends ControlRecord['kind']> = Extract<ControlRecord, { kind: Kind }>
export type Segment = z.infer<typeof segmentSchema>
export type PayloadReference = z.infer<typeof payloadSchema>
export type SampleRecord = z.infer<typeof sampleSchema>
export type Outcome = z.infer<typeof outcomeSchema>

/** Writes records as one entry of the log. */
export function encodeEnvelope (records: readonly ControlRecord[]): string {
  return JSON.stringify({ v: ENVELOPE_VERSION, records })
}

/** What an entry holds: its readable records, and how many parts of it were skipped. */
export interface DecodedEnvelope {
  readonly records: readonly ControlRecord[]
  readonly skipped: number
}

/**
 * Reads an entry. One record that cannot be read would stop every host at the same offset, or be
 * read by some and not by others; so what does not match the schema is skipped, by this same rule
 * everywhere, and counted.
 */
export function decodeEnvelope (data: string): DecodedEnvelope {
  let parsed: unknown
  try {
    parsed = JSON.parse(data)
  } catch {
    return { records: [], skipped: 1 }
  }
  const envelope = envelopeSchema.safeParse(parsed)
  if (!envelope.success) return { records: [], skipped: 1 }
  const records: ControlRecord[] = []
  let skipped = 0
  for (const item of envelope.data.records) {
    const record = recordSchema.safeParse(item)
    if (record.success) records.push(record.data)
    else skipped++
  }
  return { records, skipped }
}

/** The lowest weight version among segments: what staleness is judged by. */
export function oldestVersion (segments: readonly Segment[]): number {
  return Math.min(...segments.map((segment) => segment.version))
}
