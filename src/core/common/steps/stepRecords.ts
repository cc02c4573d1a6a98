/**
 * Records of steps in a keyed topic, which keeps the newest record of every key for good. A record
 * whose place in the order matters has a key of its own (with a nonce): written twice under one key,
 * the second would replace the first, and the order after a restart would not be the one before.
 * Such are results and claims. The others have one key each time they are written, as their place does
 * not matter: results that stand before the outline of their step count, a step that is ended stays so,
 * of renewals the newest counts, a release holds for one holder of one term, payloads and texts are
 * found by their keys alone, and a drop removes a key wherever it stands.
 */

import { z } from 'zod'
import type { KeyedEntry, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import { asWorkspaceName } from '../../../base/common/ids.ts'
import { decodeKeyPart, readValue } from '../keyedRecords.ts'
import { payloadKeys, payloadRecords, splitText } from './contentRecords.ts'
import type { ContentPlace, ListedResult, StepSubmission, TrainerSubmission } from './step.ts'

export interface DutyClaim {
  readonly duty: string
  readonly holder: string
  /** Rises by one with each holder; the fencing number of its orders. */
  readonly term: number
}

export type StepRecord =
  | { readonly kind: 'part', readonly step: string, readonly index: number, readonly count: number, readonly text: string }
  | { readonly kind: 'result', readonly step: string, readonly result: ListedResult, readonly offset: number }
  | { readonly kind: 'end', readonly step: string }
  | { readonly kind: 'claim', readonly claim: DutyClaim, readonly key: string }
  | { readonly kind: 'renewal', readonly claim: DutyClaim, readonly count: number }
  | { readonly kind: 'release', readonly claim: DutyClaim }
  | { readonly kind: 'forgotten-step', readonly step: string }
  /** A record of a step that is dropped with it. */
  | { readonly kind: 'dropped', readonly step: string }
  | { readonly kind: 'none' }

/** A submission as every host keeps it. */
export interface SubmittedStep {
  readonly submission: StepSubmission
  /** Wall-clock time at which it came, in milliseconds since the epoch. */
  readonly at: number
  /** Under which keys the items' payloads are kept (their nonce, and into how many parts they are split), and where the first stands. */
  readonly payload: { readonly nonce: string, readonly parts: number, readonly at?: ContentPlace | undefined }
}

const placeSchema = z.object({ offset: z.number().int().nonnegative(), characters: z.number().int().nonnegative() })
const resultSchema = z.object({
  item: z.string(),
  state: z.enum(['complete', 'lost']),
  versions: z.array(z.number()),
  score: z.string().optional(),
  textKey: z.string().optional(),
  textAt: placeSchema.optional(),
  textFrom: z.string().optional()
})
/** Terms are whole: a claim of a term after which none can be counted would end all changes of the holder. */
const claimSchema = z.object({ duty: z.string(), holder: z.string(), term: z.number().int().nonnegative() })
const renewalSchema = claimSchema.extend({ count: z.number() })

/** Most parts of a submission or of its payloads: the largest that a trainer may send has some tens. */
const MOST_PARTS = 1000
const itemSchema = z.object({ id: z.string(), tokens: z.number(), expectedTokens: z.number(), group: z.string(), scoredBy: z.string().optional() })
const submittedSchema = z.object({
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
  payload: z.object({ nonce: z.string(), parts: z.number().int().nonnegative().max(MOST_PARTS), at: placeSchema.optional() })
})

const encode = encodeURIComponent

/** Records of a submission: what every host keeps, to be appended in one piece after the payloads. */
export interface SubmissionRecords {
  readonly payloads: readonly KeyedRecord[]
  readonly outline: readonly KeyedRecord[]
  /** The random part of the payloads' keys. */
  readonly nonce: string
}

export function submissionRecords (submission: TrainerSubmission, at: number, nonce: string): SubmissionRecords {
  const payloads = payloadRecords(submission.id, submission.items, nonce)
  return { payloads, outline: outlineRecords(submission, at, { nonce, parts: payloads.length }), nonce }
}

/** What every host keeps of a submission whose payloads are written. */
export function outlineRecords (submission: TrainerSubmission, at: number, payload: SubmittedStep['payload']): KeyedRecord[] {
  const items = submission.items.map(({ id, tokens, expectedTokens, group, scoredBy }) => ({ id, tokens, expectedTokens, group, scoredBy }))
  const submitted: SubmittedStep = { submission: { ...submission, items }, at, payload }
  const parts = splitText(JSON.stringify(submitted))
  return parts.map((part, index) => ({ key: `step/${encode(submission.id)}/${index}`, value: `${index}/${parts.length}:${part}` }))
}

/** Keys of the records that hold the payloads of a submission. */
export function payloadKeysOf ({ submission, payload }: SubmittedStep): string[] {
  return payloadKeys(submission.id, payload.nonce, payload.parts)
}

/** Reads the submission of a step from its parts; `undefined` where it is not one. */
export function readSubmission (step: string, parts: readonly string[]): SubmittedStep | undefined {
  const submitted = readValue(submittedSchema, parts.join(''))
  if (submitted?.submission.id !== step) return undefined
  const { submission, at, payload } = submitted
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
 * Reads a record; what is not known or cannot be read is `none` everywhere alike. Other writers may
 * leave records of any bytes here: one that threw would end the following of the topic on every host.
 */
export function readRecord (entry: KeyedEntry): StepRecord {
  const [kind = '', first = '', second = ''] = entry.key.split('/')
  const step = decodeKeyPart(first)
  if (step === undefined) return { kind: 'none' }
  if (entry.value === undefined) return readDropped(kind, step)
  switch (kind) {
    case 'step': return readPart(step, entry.value)
    case 'result': return read(resultSchema, entry.value, (result) => ({ kind, step, result: { ...result, score: result.score, textKey: result.textKey }, offset: entry.offset }))
    case 'end': return { kind, step }
    case 'claim': return read(claimSchema, entry.value, (claim) => ({ kind, claim, key: entry.key }))
    case 'renewal': return read(renewalSchema, entry.value, ({ count, ...claim }) => ({ kind, claim, count }))
    case 'release': return second === '' ? { kind: 'none' } : read(claimSchema, entry.value, (claim) => ({ kind, claim }))
    default: return { kind: 'none' }
  }
}

/** All records of a step are dropped in one piece; the step itself goes with its first part. */
function readDropped (kind: string, step: string): StepRecord {
  switch (kind) {
    case 'step': return { kind: 'forgotten-step', step }
    case 'result': case 'end': return { kind: 'dropped', step }
    default: return { kind: 'none' }
  }
}

/** A part outside the count that it names is none: millions of missing parts would be looked for at each record. */
function readPart (step: string, value: string): StepRecord {
  const head = /^(\d+)\/(\d+):/.exec(value)
  const index = Number(head?.[1])
  const count = Number(head?.[2])
  if (head === null || count > MOST_PARTS || index >= count) return { kind: 'none' }
  return { kind: 'part', step, index, count, text: value.slice(head[0].length) }
}

function read<Schema extends z.ZodType> (schema: Schema, value: string, make: (parsed: z.infer<Schema>) => StepRecord): StepRecord {
  const parsed = readValue(schema, value)
  return parsed === undefined ? { kind: 'none' } : make(parsed)
}
