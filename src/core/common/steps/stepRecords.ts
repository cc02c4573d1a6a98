/**
 * Records of steps in a keyed topic, which retains the newest record of each key indefinitely.
 *
 * A record whose position in the order matters has a unique key (with a nonce). If it were written twice under the
 * same key, the second would replace the first, and the order after a restart would differ from the order before.
 * This applies to results and claims.
 *
 * All other records keep the same key whenever they are written, because their position does not matter: results
 * that precede the outline of their step count, an ended step stays ended, only the newest renewal counts, a
 * release applies to one holder and one term, payloads and texts are looked up by key, and a tombstone removes a
 * key wherever it is.
 */

import { z } from 'zod'
import type { KeyedEntry, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import { asWorkspaceName } from '../../../base/common/ids.ts'
import { decodeKeyPart, parseValue } from '../keyedRecords.ts'
import { payloadKeys, payloadRecords, splitIntoParts } from './contentRecords.ts'
import type { ContentLocation, ListedResult, StepSubmission, TrainerSubmission } from './step.ts'

/** A host's claim to a duty. */
export interface DutyClaim {
  readonly duty: string
  readonly holder: string
  /** Increases by one with each holder; fencing token of the holder's orders. */
  readonly term: number
}

/** A parsed record; `part` is a part of a submission's outline. */
export type StepRecord =
  | { readonly kind: 'part', readonly step: string, readonly index: number, readonly count: number, readonly text: string }
  | { readonly kind: 'result', readonly step: string, readonly result: ListedResult, readonly offset: number }
  | { readonly kind: 'end', readonly step: string }
  | { readonly kind: 'claim', readonly claim: DutyClaim, readonly key: string }
  | { readonly kind: 'renewal', readonly claim: DutyClaim, readonly count: number }
  | { readonly kind: 'release', readonly claim: DutyClaim }
  | { readonly kind: 'forgotten-step', readonly step: string }
  /** Tombstone of a step's record other than its outline. */
  | { readonly kind: 'dropped', readonly step: string }
  | { readonly kind: 'none' }

/** A submission as every host keeps it. */
export interface SubmissionOutline {
  readonly submission: StepSubmission
  /** Wall-clock time of the submission, in milliseconds since the epoch. */
  readonly at: number
  /** Nonce in the keys of the items' payloads, number of parts they are split into, and location of the first part. */
  readonly payload: { readonly nonce: string, readonly parts: number, readonly at?: ContentLocation | undefined }
}

const locationSchema = z.object({ offset: z.number().int().nonnegative(), characters: z.number().int().nonnegative() })
const resultSchema = z.object({
  item: z.string(),
  state: z.enum(['complete', 'lost']),
  versions: z.array(z.number()),
  score: z.string().optional(),
  textKey: z.string().optional(),
  textAt: locationSchema.optional(),
  textFrom: z.string().optional()
})
/** Terms are safe integers: after a claim with a term that cannot be incremented, no other host could take over the duty. */
const claimSchema = z.object({ duty: z.string(), holder: z.string(), term: z.number().int().nonnegative() })
const renewalSchema = claimSchema.extend({ count: z.number() })

/** Maximum number of parts of a submission or of its payloads. The largest submission that a trainer may send has a few dozen. */
const MAX_PARTS = 1000
const itemSchema = z.object({ id: z.string(), tokens: z.number(), expectedTokens: z.number(), group: z.string(), scoredBy: z.string().optional() })
const outlineSchema = z.object({
  submission: z.object({
    id: z.string(),
    host: z.string(),
    path: z.string(),
    number: z.number(),
    model: z.string(),
    workspace: z.string().transform(asWorkspaceName).optional(),
    minimumVersion: z.number(),
    wantedGroups: z.number(),
    items: z.array(itemSchema)
  }),
  at: z.number(),
  payload: z.object({ nonce: z.string(), parts: z.number().int().nonnegative().max(MAX_PARTS), at: locationSchema.optional() })
})

const encode = encodeURIComponent

/** Records of a submission. The outline is what every host keeps of it; it is appended atomically after the payloads. */
export interface SubmissionRecords {
  readonly payloads: readonly KeyedRecord[]
  readonly outline: readonly KeyedRecord[]
  /** Random part of the payloads' keys. */
  readonly nonce: string
}

export function submissionRecords (submission: TrainerSubmission, at: number, nonce: string): SubmissionRecords {
  const payloads = payloadRecords(submission.id, submission.items, nonce)
  return { payloads, outline: outlineRecords(submission, at, { nonce, parts: payloads.length }), nonce }
}

/** Returns the records of the outline of a submission whose payloads have been written. */
export function outlineRecords (submission: TrainerSubmission, at: number, payload: SubmissionOutline['payload']): KeyedRecord[] {
  const items = submission.items.map(({ id, tokens, expectedTokens, group, scoredBy }) => ({ id, tokens, expectedTokens, group, scoredBy }))
  const outline: SubmissionOutline = { submission: { ...submission, items }, at, payload }
  const parts = splitIntoParts(JSON.stringify(outline))
  return parts.map((part, index) => ({ key: `step/${encode(submission.id)}/${index}`, value: `${index}/${parts.length}:${part}` }))
}

/** Returns the keys of the records that hold the payloads of a submission. */
export function payloadKeysOf ({ submission, payload }: SubmissionOutline): string[] {
  return payloadKeys(submission.id, payload.nonce, payload.parts)
}

/** Parses the submission of a step from the parts of its outline; returns `undefined` if it is invalid. */
export function parseOutline (step: string, parts: readonly string[]): SubmissionOutline | undefined {
  const outline = parseValue(outlineSchema, parts.join(''))
  if (outline?.submission.id !== step) return undefined
  const { submission, at, payload } = outline
  return { submission: { ...submission, items: submission.items.map((item) => ({ ...item, scoredBy: item.scoredBy })) }, at, payload }
}

export function resultRecord (step: string, result: ListedResult, nonce: string): KeyedRecord {
  return { key: `result/${encode(step)}/${encode(result.item)}/${nonce}`, value: JSON.stringify(result) }
}

export function endRecord (step: string): KeyedRecord {
  return { key: `end/${encode(step)}`, value: '{}' }
}

export function claimRecord (claim: DutyClaim, nonce: string): KeyedRecord {
  return { key: `claim/${encode(claim.duty)}/${claim.term}/${nonce}`, value: JSON.stringify(claim) }
}

export function renewalRecord (claim: DutyClaim, count: number): KeyedRecord {
  return { key: `renewal/${encode(claim.duty)}`, value: JSON.stringify({ ...claim, count }) }
}

export function releaseRecord (claim: DutyClaim): KeyedRecord {
  return { key: `release/${encode(claim.duty)}/${claim.term}`, value: JSON.stringify(claim) }
}

/**
 * Parses a record. Unknown and invalid records are `none` on every host: other writers may leave arbitrary bytes
 * in the topic, and an exception would stop every host from following it.
 */
export function parseRecord (entry: KeyedEntry): StepRecord {
  const [kind = '', first = '', second = ''] = entry.key.split('/')
  const step = decodeKeyPart(first)
  if (step === undefined) return { kind: 'none' }
  if (entry.value === undefined) return parseTombstone(kind, step)
  switch (kind) {
    case 'step': return parsePart(step, entry.value)
    case 'result': return parseWith(resultSchema, entry.value, (result) => ({ kind, step, result: { ...result, score: result.score, textKey: result.textKey }, offset: entry.offset }))
    case 'end': return { kind, step }
    case 'claim': return parseWith(claimSchema, entry.value, (claim) => ({ kind, claim, key: entry.key }))
    case 'renewal': return parseWith(renewalSchema, entry.value, ({ count, ...claim }) => ({ kind, claim, count }))
    case 'release': return second === '' ? { kind: 'none' } : parseWith(claimSchema, entry.value, (claim) => ({ kind, claim }))
    default: return { kind: 'none' }
  }
}

/** Parses a tombstone. All records of a step are dropped in one append; the step itself is removed with the first part of its outline. */
function parseTombstone (kind: string, step: string): StepRecord {
  switch (kind) {
    case 'step': return { kind: 'forgotten-step', step }
    case 'result': case 'end': return { kind: 'dropped', step }
    default: return { kind: 'none' }
  }
}

/**
 * Parses a part of an outline. A part outside its declared count is invalid; otherwise each record would cause a
 * search for up to millions of missing parts.
 */
function parsePart (step: string, value: string): StepRecord {
  const header = /^(\d+)\/(\d+):/.exec(value)
  const index = Number(header?.[1])
  const count = Number(header?.[2])
  if (header === null || count > MAX_PARTS || index >= count) return { kind: 'none' }
  return { kind: 'part', step, index, count, text: value.slice(header[0].length) }
}

function parseWith<Schema extends z.ZodType> (schema: Schema, value: string, toRecord: (parsed: z.infer<Schema>) => StepRecord): StepRecord {
  const parsed = parseValue(schema, value)
  return parsed === undefined ? { kind: 'none' } : toRecord(parsed)
}
