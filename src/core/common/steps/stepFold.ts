/**
 * The fold of the steps' topic: which steps are accepted, what stands at which position of their
 * results, which are ended, and who holds a duty. Every host that has read as far holds the same; a
 * race of two hosts (the same submission at both, the same item finished twice, two claims of a
 * duty) is decided by the order of the topic alone.
 */

import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { ContentPlace, ListedResult, StepItem, StepSubmission } from './step.ts'
import type { DutyClaim, StepRecord } from './stepRecords.ts'
import { payloadKeysOf, readRecord, readSubmission } from './stepRecords.ts'

export interface FoldedStep {
  readonly submission: StepSubmission
  /** Author's wall clock when the step came, in milliseconds since the epoch. */
  readonly submittedAt: number
  readonly items: ReadonlyMap<string, StepItem>
  readonly results: readonly ListedResult[]
  /** Position of each listed item. */
  readonly positions: ReadonlyMap<string, number>
  readonly ended: boolean
  /** Keys of the records that hold its items' payloads. */
  readonly payloadKeys: readonly string[]
  /** Where they stand in their topic, if that is known. */
  readonly payloadsAt: ContentPlace | undefined
}

interface MutableStep extends FoldedStep {
  readonly results: ListedResult[]
  readonly positions: Map<string, number>
  ended: boolean
}

export interface FoldedDuty extends DutyClaim {
  /** Renewals and claims read so far: a holder that lives lets it rise. */
  readonly signs: number
  /** Count that the holder gave its newest renewal. */
  readonly renewed: number
  readonly released: boolean
}

/** A result of an item in an earlier step. */
export interface EarlierResult {
  readonly step: string
  readonly result: ListedResult
  readonly item: StepItem
}

export type StepChange =
  | { readonly type: 'accepted', readonly step: FoldedStep }
  | { readonly type: 'listed', readonly step: FoldedStep, readonly result: ListedResult, readonly position: number, readonly offset: number }
  | { readonly type: 'ended', readonly step: FoldedStep }
  | { readonly type: 'duty', readonly duty: FoldedDuty }
  | { readonly type: 'forgotten', readonly step: string }

export class StepFold {
  private readonly parts = new Map<string, string[]>()
  private readonly folded = new Map<string, MutableStep>()
  private readonly dutyStates = new Map<string, FoldedDuty>()
  /** All records of each step by their keys, results in their order; the parts of its outline without their text. */
  private readonly records = new Map<string, Map<string, StepRecord>>()
  /** Keys of payloads and texts of each step, those of repeated submissions and results among them. */
  private readonly contentKeys = new Map<string, Set<string>>()
  private readonly claimKeys = new Map<string, { readonly key: string, readonly term: number }[]>()

  /** Starts over with all newest records, in their order. */
  reset (entries: readonly KeyedEntry[]): StepChange[] {
    for (const map of [this.parts, this.folded, this.records, this.dutyStates, this.claimKeys, this.contentKeys]) map.clear()
    return this.apply(entries)
  }

  /** Folds records in their order and tells what changed. */
  apply (entries: readonly KeyedEntry[]): StepChange[] {
    return entries.flatMap((entry) => {
      const record = readRecord(entry)
      if ('step' in record) this.note(record.step, entry, record)
      return this.fold(record)
    })
  }

  /** Keys of all records of a step. */
  keysOf (step: string): string[] {
    return [...this.records.get(step)?.keys() ?? []]
  }

  /** Keys of the records that hold payloads and texts of a step. */
  contentKeysOf (step: string): string[] {
    return [...this.contentKeys.get(step) ?? []]
  }

  step (id: string): FoldedStep | undefined {
    return this.folded.get(id)
  }

  steps (): Iterable<FoldedStep> {
    return this.folded.values()
  }

  duty (name: string): FoldedDuty | undefined {
    return this.dutyStates.get(name)
  }

  /** Keys of claims of terms before the present one: nobody needs them any more. */
  outdatedClaims (name: string): string[] {
    const term = this.dutyStates.get(name)?.term ?? 0
    return (this.claimKeys.get(name) ?? []).filter((claim) => claim.term < term).map(({ key }) => key)
  }

  /** A complete result of the item in another step of the same workspace, if all its versions may be used. */
  earlierResult (item: string, exceptStep: string, minimumVersion: number): EarlierResult | undefined {
    const workspace = this.folded.get(exceptStep)?.submission.workspace
    for (const step of this.folded.values()) {
      if (step.submission.id === exceptStep || step.submission.workspace !== workspace) continue
      const position = step.positions.get(item)
      const result = position === undefined ? undefined : step.results[position]
      const source = step.items.get(item)
      if (result?.state === 'complete' && source !== undefined && result.versions.every((version) => version >= minimumVersion)) return { step: step.submission.id, result, item: source }
    }
    return undefined
  }

  private note (step: string, { key, value }: KeyedEntry, record: StepRecord): void {
    const records = this.records.get(step) ?? new Map<string, StepRecord>()
    if (value === undefined) records.delete(key)
    else records.set(key, record.kind === 'part' ? { kind: 'none' } : record)
    if (records.size === 0) this.records.delete(step)
    else this.records.set(step, records)
    this.noteText(record)
  }

  private noteText (record: StepRecord): void {
    if (record.kind === 'result' && record.result.textKey !== undefined) this.noteContents(record.step, [record.result.textKey])
  }

  private noteContents (step: string, keys: readonly string[]): void {
    const known = this.contentKeys.get(step) ?? new Set()
    for (const key of keys) known.add(key)
    this.contentKeys.set(step, known)
  }

  private fold (record: StepRecord): StepChange[] {
    switch (record.kind) {
      case 'part': return this.foldPart(record)
      case 'result': return this.foldResult(record)
      case 'end': return this.foldEnd(record)
      case 'claim': return this.foldClaim(record)
      case 'renewal': return this.foldRenewal(record)
      case 'release': return this.foldRelease(record.claim)
      case 'forgotten-step': return this.forget(record.step)
      case 'dropped':
      case 'none': return []
    }
  }

  private foldPart ({ step: id, index, count, text }: Extract<StepRecord, { kind: 'part' }>): StepChange[] {
    const parts = this.parts.get(id) ?? []
    parts[index] = text
    this.parts.set(id, parts)
    // An outline may be written again in fewer parts, and the last of the former stay: they are none of it.
    const own = Array.from({ length: count }, (_, place) => parts[place])
    if (own.includes(undefined)) return []
    this.parts.delete(id)
    const submitted = readSubmission(id, own as string[])
    if (submitted === undefined) return []
    const payloadKeys = payloadKeysOf(submitted)
    this.noteContents(id, payloadKeys)
    if (this.folded.has(id)) return []
    const step: MutableStep = {
      submission: submitted.submission,
      submittedAt: submitted.at,
      items: new Map(submitted.submission.items.map((item) => [item.id, item])),
      results: [],
      positions: new Map(),
      ended: false,
      payloadKeys,
      payloadsAt: submitted.payload.at
    }
    this.folded.set(id, step)
    return [{ type: 'accepted', step }, ...this.foldKept(id)]
  }

  private foldResult (record: Extract<StepRecord, { kind: 'result' }>): StepChange[] {
    const step = this.folded.get(record.step)
    if (step === undefined) return []
    const { result, offset } = record
    if (!step.items.has(result.item) || step.positions.has(result.item)) return []
    const position = step.results.length
    step.positions.set(result.item, position)
    step.results.push(result)
    return [{ type: 'listed', step, result, position, offset }]
  }

  private foldEnd (record: Extract<StepRecord, { kind: 'end' }>): StepChange[] {
    const step = this.folded.get(record.step)
    if (step === undefined) return []
    if (step.ended) return []
    step.ended = true
    return [{ type: 'ended', step }]
  }

  /**
   * Folds the results and the end of a step that come before its outline: after a restart records come
   * in the order of their newest writing, and a drop of the step leaves what its author had not read.
   */
  private foldKept (id: string): StepChange[] {
    return [...this.records.get(id)?.values() ?? []].flatMap((record) => {
      this.noteText(record)
      return record.kind === 'result' || record.kind === 'end' ? this.fold(record) : []
    })
  }

  private foldClaim ({ claim, key }: Extract<StepRecord, { kind: 'claim' }>): StepChange[] {
    this.claimKeys.set(claim.duty, [...(this.claimKeys.get(claim.duty) ?? []), { key, term: claim.term }])
    const current = this.dutyStates.get(claim.duty)
    if (current !== undefined && claim.term !== current.term + 1) return []
    return this.setDuty({ ...claim, signs: (current?.signs ?? 0) + 1, renewed: 0, released: false })
  }

  private foldRenewal ({ claim, count }: Extract<StepRecord, { kind: 'renewal' }>): StepChange[] {
    const current = this.dutyStates.get(claim.duty)
    if (current === undefined || current.term !== claim.term || current.holder !== claim.holder) return []
    return this.setDuty({ ...current, signs: current.signs + 1, renewed: count })
  }

  private foldRelease (claim: DutyClaim): StepChange[] {
    const current = this.dutyStates.get(claim.duty)
    if (current === undefined || current.term !== claim.term || current.holder !== claim.holder) return []
    return this.setDuty({ ...current, released: true })
  }

  private setDuty (duty: FoldedDuty): StepChange[] {
    this.dutyStates.set(duty.duty, duty)
    return [{ type: 'duty', duty }]
  }

  private forget (id: string): StepChange[] {
    this.parts.delete(id)
    this.contentKeys.delete(id)
    return this.folded.delete(id) ? [{ type: 'forgotten', step: id }] : []
  }
}
