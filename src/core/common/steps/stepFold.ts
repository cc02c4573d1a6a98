/**
 * Folds the steps topic into the accepted steps, the positions of their results, the ended steps and the holders
 * of duties. A duty is a role that one host holds at a time. All hosts that have read up to the same offset hold
 * the same state. Races between hosts (the same submission accepted by two, the same item finished twice, two
 * claims of a duty) are resolved by the order of the topic alone.
 */

import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { ContentLocation, ListedResult, StepItem, StepSubmission } from './step.ts'
import type { DutyClaim, StepRecord } from './stepRecords.ts'
import { payloadKeysOf, parseRecord, parseOutline } from './stepRecords.ts'

/** State of an accepted step. */
export interface FoldedStep {
  readonly submission: StepSubmission
  /** Submission time by the writer's wall clock, in milliseconds since the epoch. */
  readonly submittedAt: number
  readonly items: ReadonlyMap<string, StepItem>
  readonly results: readonly ListedResult[]
  /** Position in `results` of each listed item. */
  readonly positions: ReadonlyMap<string, number>
  readonly ended: boolean
  /** Keys of the records that hold the payloads of its items. */
  readonly payloadKeys: readonly string[]
  /** Location of these records, if known. */
  readonly payloadsAt: ContentLocation | undefined
}

interface MutableStep extends FoldedStep {
  readonly results: ListedResult[]
  readonly positions: Map<string, number>
  ended: boolean
}

/** State of a duty. */
export interface FoldedDuty extends DutyClaim {
  /** Number of claims and renewals read so far, which rises as long as the holder is alive. */
  readonly heartbeats: number
  /** Count in the holder's newest renewal. */
  readonly newestRenewalCount: number
  readonly released: boolean
}

/** Result of an item in another step. */
export interface EarlierResult {
  readonly step: string
  readonly result: ListedResult
  readonly item: StepItem
}

/** A change of state caused by a record. */
export type StepChange =
  | { readonly type: 'accepted', readonly step: FoldedStep }
  | { readonly type: 'listed', readonly step: FoldedStep, readonly result: ListedResult, readonly position: number, readonly offset: number }
  | { readonly type: 'ended', readonly step: FoldedStep }
  | { readonly type: 'duty', readonly duty: FoldedDuty }
  | { readonly type: 'forgotten', readonly step: string }

/** State of the steps topic. */
export class StepFold {
  private readonly parts = new Map<string, string[]>()
  private readonly stepStates = new Map<string, MutableStep>()
  private readonly dutyStates = new Map<string, FoldedDuty>()
  /** Records of each step by key, results in topic order; the parts of the outline without their text. */
  private readonly records = new Map<string, Map<string, StepRecord>>()
  /** Keys of all payloads and texts of each step, including those of repeated submissions and results. */
  private readonly contentKeys = new Map<string, Set<string>>()
  private readonly claimKeys = new Map<string, { readonly key: string, readonly term: number }[]>()

  /** Rebuilds the state from the newest records, in offset order. */
  reset (entries: readonly KeyedEntry[]): StepChange[] {
    for (const map of [this.parts, this.stepStates, this.records, this.dutyStates, this.claimKeys, this.contentKeys]) map.clear()
    return this.apply(entries)
  }

  /** Applies records in order and returns the resulting changes. */
  apply (entries: readonly KeyedEntry[]): StepChange[] {
    return entries.flatMap((entry) => {
      const record = parseRecord(entry)
      if ('step' in record) this.trackRecord(record.step, entry, record)
      return this.fold(record)
    })
  }

  /** Returns the keys of all records of a step. */
  keysOf (step: string): string[] {
    return [...this.records.get(step)?.keys() ?? []]
  }

  /** Returns the keys of the records that hold payloads and texts of a step. */
  contentKeysOf (step: string): string[] {
    return [...this.contentKeys.get(step) ?? []]
  }

  step (id: string): FoldedStep | undefined {
    return this.stepStates.get(id)
  }

  steps (): Iterable<FoldedStep> {
    return this.stepStates.values()
  }

  duty (name: string): FoldedDuty | undefined {
    return this.dutyStates.get(name)
  }

  /** Returns the keys of claims of terms before the current one, which are no longer needed. */
  outdatedClaims (name: string): string[] {
    const term = this.dutyStates.get(name)?.term ?? 0
    return (this.claimKeys.get(name) ?? []).filter((claim) => claim.term < term).map(({ key }) => key)
  }

  /** Returns a complete result of the item in another step of the same workspace if all its versions are allowed. */
  earlierResult (item: string, exceptStep: string, minimumVersion: number): EarlierResult | undefined {
    const workspace = this.stepStates.get(exceptStep)?.submission.workspace
    for (const step of this.stepStates.values()) {
      if (step.submission.id === exceptStep || step.submission.workspace !== workspace) continue
      const position = step.positions.get(item)
      const result = position === undefined ? undefined : step.results[position]
      const source = step.items.get(item)
      if (result?.state === 'complete' && source !== undefined && result.versions.every((version) => version >= minimumVersion)) return { step: step.submission.id, result, item: source }
    }
    return undefined
  }

  private trackRecord (step: string, { key, value }: KeyedEntry, record: StepRecord): void {
    const records = this.records.get(step) ?? new Map<string, StepRecord>()
    if (value === undefined) records.delete(key)
    else records.set(key, record.kind === 'part' ? { kind: 'none' } : record)
    if (records.size === 0) this.records.delete(step)
    else this.records.set(step, records)
    this.trackTextKey(record)
  }

  private trackTextKey (record: StepRecord): void {
    if (record.kind === 'result' && record.result.textKey !== undefined) this.trackContentKeys(record.step, [record.result.textKey])
  }

  private trackContentKeys (step: string, keys: readonly string[]): void {
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
    const receivedParts = this.parts.get(id) ?? []
    receivedParts[index] = text
    this.parts.set(id, receivedParts)
    // An outline that is rewritten in fewer parts leaves trailing parts of the former one, which do not belong to it.
    const currentParts = Array.from({ length: count }, (_, partIndex) => receivedParts[partIndex])
    if (currentParts.includes(undefined)) return []
    this.parts.delete(id)
    const outline = parseOutline(id, currentParts as string[])
    if (outline === undefined) return []
    const payloadKeys = payloadKeysOf(outline)
    this.trackContentKeys(id, payloadKeys)
    if (this.stepStates.has(id)) return []
    const step: MutableStep = {
      submission: outline.submission,
      submittedAt: outline.at,
      items: new Map(outline.submission.items.map((item) => [item.id, item])),
      results: [],
      positions: new Map(),
      ended: false,
      payloadKeys,
      payloadsAt: outline.payload.at
    }
    this.stepStates.set(id, step)
    return [{ type: 'accepted', step }, ...this.foldEarlierRecords(id)]
  }

  private foldResult (record: Extract<StepRecord, { kind: 'result' }>): StepChange[] {
    const step = this.stepStates.get(record.step)
    if (step === undefined) return []
    const { result, offset } = record
    if (!step.items.has(result.item) || step.positions.has(result.item)) return []
    const position = step.results.length
    step.positions.set(result.item, position)
    step.results.push(result)
    return [{ type: 'listed', step, result, position, offset }]
  }

  private foldEnd (record: Extract<StepRecord, { kind: 'end' }>): StepChange[] {
    const step = this.stepStates.get(record.step)
    if (step === undefined) return []
    if (step.ended) return []
    step.ended = true
    return [{ type: 'ended', step }]
  }

  /**
   * Folds the results and the end of a step that precede its outline in the topic. After a restart, records are
   * read in the order of their newest versions, and dropping a step leaves records that the host that dropped it
   * had not read.
   */
  private foldEarlierRecords (id: string): StepChange[] {
    return [...this.records.get(id)?.values() ?? []].flatMap((record) => {
      this.trackTextKey(record)
      return record.kind === 'result' || record.kind === 'end' ? this.fold(record) : []
    })
  }

  private foldClaim ({ claim, key }: Extract<StepRecord, { kind: 'claim' }>): StepChange[] {
    this.claimKeys.set(claim.duty, [...(this.claimKeys.get(claim.duty) ?? []), { key, term: claim.term }])
    const current = this.dutyStates.get(claim.duty)
    if (current !== undefined && claim.term !== current.term + 1) return []
    return this.setDuty({ ...claim, heartbeats: (current?.heartbeats ?? 0) + 1, newestRenewalCount: 0, released: false })
  }

  private foldRenewal ({ claim, count }: Extract<StepRecord, { kind: 'renewal' }>): StepChange[] {
    const current = this.dutyStates.get(claim.duty)
    if (current === undefined || current.term !== claim.term || current.holder !== claim.holder) return []
    return this.setDuty({ ...current, heartbeats: current.heartbeats + 1, newestRenewalCount: count })
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
    return this.stepStates.delete(id) ? [{ type: 'forgotten', step: id }] : []
  }
}
