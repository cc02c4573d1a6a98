/**
 * Records of the control stream. An entry of the platform's log is one envelope with several records
 * (group commit); the fold processes the records in log order. A record carries an id chosen by its
 * author, so appending it again after a lost response is idempotent.
 *
 * Prompts and texts are not part of these records. They are stored in the payload stream and are
 * referenced by offset, because every host has to fold the whole control stream.
 */

import { z } from 'zod'
import { commandSchema } from './command.ts'

/** Version of the envelope format; a host skips envelopes of any other version. */
export const ENVELOPE_VERSION = 1
/** Maximum number of records in an envelope. All hosts skip an envelope that exceeds it. */
export const MAX_RECORDS_PER_ENVELOPE = 1024

/** Rejects names that every JavaScript object inherits, since a look-up in a table would find them without an entry. */
const name = z.string().min(1).max(200).refine((value) => !(value in {}), 'this name is reserved')
const count = z.number().int().nonnegative()

/** Location of a payload: the entry of the payload stream, and the item within that entry. */
const payloadSchema = z.strictObject({ offset: count, item: count })

/** A range of tokens that one weight version produced, as reported by the engine. */
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

const commonFields = { id: name, at: count }
const claimFields = { caller: name, request: name, attempt: name, issuedAt: count }

const recordSchema = z.discriminatedUnion('kind', [
  z.strictObject({ kind: z.literal('command'), ...commonFields, by: name, command: commandSchema }),
  z.strictObject({ kind: z.literal('claim'), ...commonFields, ...claimFields, holder: name }),
  z.strictObject({ kind: z.literal('release'), ...commonFields, ...claimFields }),
  z.strictObject({ kind: z.literal('outcome'), ...commonFields, ...claimFields, outcome: outcomeSchema }),
  z.strictObject({ kind: z.literal('lease'), ...commonFields, shard: name, holder: name, ifEpoch: count, durationMs: count }),
  z.strictObject({ kind: z.literal('lease-end'), ...commonFields, shard: name, holder: name, ifEpoch: count }),
  z.strictObject({ kind: z.literal('submit'), ...commonFields, subscription: name, group: name, step: count, samples: z.number().int().min(1).max(1024), issuedAt: count, digest: name, payload: payloadSchema }),
  z.strictObject({ kind: z.literal('samples'), ...commonFields, subscription: name, items: z.array(sampleSchema).min(1).max(1024) }),
  z.strictObject({ kind: z.literal('moved'), ...commonFields, subscription: name, group: name, prompt: payloadSchema.optional(), samples: z.array(z.strictObject({ index: count, from: payloadSchema, to: payloadSchema })).max(1024) }),
  z.strictObject({ kind: z.literal('pull'), ...commonFields, subscription: name, cursor: count, version: count, maximum: z.number().int().min(1).max(100000) }),
  z.strictObject({ kind: z.literal('tick'), ...commonFields })
])

const envelopeSchema = z.strictObject({ v: z.literal(ENVELOPE_VERSION), records: z.array(z.unknown()).max(MAX_RECORDS_PER_ENVELOPE) })

export type ControlRecord = z.infer<typeof recordSchema>
export type RecordOf<Kind extends ControlRecord['kind']> = Extract<ControlRecord, { kind: Kind }>
export type Segment = z.infer<typeof segmentSchema>
export type PayloadReference = z.infer<typeof payloadSchema>
export type SampleRecord = z.infer<typeof sampleSchema>
export type Outcome = z.infer<typeof outcomeSchema>

/** Encodes records as one log entry. */
export function encodeEnvelope (records: readonly ControlRecord[]): string {
  return JSON.stringify({ v: ENVELOPE_VERSION, records })
}

/** The readable records of a log entry, and the number of records or envelopes that were skipped. */
export interface DecodedEnvelope {
  readonly records: readonly ControlRecord[]
  readonly skipped: number
}

/**
 * Decodes a log entry. An unreadable record must neither stop every host at the same offset nor be
 * read by some hosts and not by others. Therefore all hosts apply the same rule: whatever does not
 * match the schema is skipped and counted.
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

/** Returns the lowest weight version among segments, which determines the staleness of a sample. */
export function oldestVersion (segments: readonly Segment[]): number {
  return Math.min(...segments.map((segment) => segment.version))
}
