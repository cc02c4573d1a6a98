/**
 * Samples on their way to trainers. A slot is (subscription, group, index); the first record of a
 * slot in log order is the sample, later ones are dropped. A group whose slots are all filled waits
 * in `ready`, in the order of the fold, until a pull hands it over.
 *
 * Two hosts that know different newest versions could answer the same pull differently: one hands a
 * group over, the other finds it too old and has it generated again, and the trainer gets it twice.
 * So the verdict of a pull is decided here, in the total order, and hosts only report it.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { PayloadReference, RecordOf, SampleRecord, Segment } from './records.ts'
import { oldestVersion } from './records.ts'

/** A recorded sample: what is needed to judge it, and where its text lies. */
export interface Sample {
  readonly segments: readonly Segment[]
  readonly score: number
  payload: PayloadReference
}

/** A submitted group of prompts' samples that has not been acknowledged. */
export interface Group {
  readonly step: number
  readonly digest: string
  readonly issuedAt: number
  prompt: PayloadReference
  /** Fold time at which the group's payloads were last appended. */
  refreshedAt: number
  readonly slots: (Sample | null)[]
}

/** The batch that the trainer was last given and has not acknowledged. */
export interface Handover {
  readonly cursor: number
  readonly version: number
  readonly maximum: number
  readonly groups: string[]
}

/** All that is known of one subscription. */
export interface SubscriptionState {
  groups: Record<string, Group>
  ready: string[]
  handover?: Handover
  /** Cursor up to which the trainer has acknowledged. */
  acknowledged: number
  /** Acknowledged groups with their time of issue: a repeated submission must not start them again. */
  finished: Record<string, number>
  delivered: number
  rejected: number
  duplicates: number
}

export type Subscriptions = Record<string, SubscriptionState>

export function emptySubscription (): SubscriptionState {
  return { groups: {}, ready: [], acknowledged: 0, finished: {}, delivered: 0, rejected: 0, duplicates: 0 }
}

/** The batch of an accepted pull. */
export interface Batch {
  /** Cursor that acknowledges this batch in the next pull. */
  readonly nextCursor: number
  readonly groups: readonly { readonly group: string, readonly step: number, readonly slots: readonly Sample[] }[]
}

export function applySubmit (state: SubscriptionState, record: RecordOf<'submit'>): Result<void> {
  if (state.finished[record.group] !== undefined) return success(undefined)
  const current = state.groups[record.group]
  if (current !== undefined) {
    const same = current.digest === record.digest && current.slots.length === record.samples
    return same ? success(undefined) : failure('groupMismatch', `group ${record.group} was submitted with other contents`)
  }
  state.groups[record.group] = {
    step: record.step,
    digest: record.digest,
    issuedAt: record.issuedAt,
    prompt: record.payload,
    refreshedAt: record.at,
    slots: Array.from({ length: record.samples }, () => null)
  }
  return success(undefined)
}

/** Records samples; returns how many of them were the first of their slot. */
export function applySamples (state: SubscriptionState, items: readonly SampleRecord[]): Result<number> {
  let taken = 0
  for (const item of items) {
    const group = state.groups[item.group]
    if (group === undefined || item.index >= group.slots.length || group.slots[item.index] !== null) {
      state.duplicates++
      continue
    }
    group.slots[item.index] = { segments: item.segments, score: item.score, payload: item.payload }
    taken++
    if (group.slots.every((slot) => slot !== null)) state.ready.push(item.group)
  }
  return success(taken)
}

/** What a pull is judged by. */
export interface PullContext {
  /** Versions that a sample may be behind. */
  readonly staleness: number
  /** Newest version that the fold knows for the pool. */
  readonly newest: number
}

/**
 * Decides a pull. The cursor of a pull acknowledges the batch before it. The same cursor and
 * version give the same batch whichever host asks; the same cursor with a newer version replaces
 * the batch, as the trainer has not taken the former one.
 */
export function applyPull (state: SubscriptionState, record: RecordOf<'pull'>, context: PullContext): Result<Batch> {
  const version = Math.max(record.version, context.newest)
  const handover = state.handover
  if (handover !== undefined && record.cursor === handover.cursor) {
    if (handover.version === version) return success(describeBatch(state, handover))
    state.ready.unshift(...handover.groups)
    delete state.handover
  } else if (handover !== undefined && record.cursor === handover.cursor + 1) {
    acknowledge(state, handover)
  } else if (record.cursor < state.acknowledged) {
    return failure('cursorBehind', `batches before ${state.acknowledged} are acknowledged`)
  } else if (record.cursor > state.acknowledged) {
    return failure('cursorAhead', `the last batch handed over is ${state.acknowledged}`)
  }
  const groups = takeBatch(state, record.maximum, version - context.staleness)
  if (groups.length === 0) return success({ nextCursor: record.cursor, groups: [] })
  state.handover = { cursor: record.cursor, version, maximum: record.maximum, groups }
  return success(describeBatch(state, state.handover))
}

function acknowledge (state: SubscriptionState, handover: Handover): void {
  for (const name of handover.groups) {
    const group = state.groups[name]
    if (group === undefined) continue
    state.delivered += group.slots.length
    state.finished[name] = group.issuedAt
    delete state.groups[name]
  }
  state.acknowledged = handover.cursor + 1
  delete state.handover
}

/** Takes ready groups from the front; samples below `lowest` are rejected and their slots reopened. */
function takeBatch (state: SubscriptionState, maximum: number, lowest: number): string[] {
  const taken: string[] = []
  const waiting: string[] = []
  let samples = 0
  for (const name of state.ready) {
    const group = state.groups[name]
    if (group === undefined) continue
    if (rejectStale(state, group, lowest)) continue
    const fits = taken.length === 0 || samples + group.slots.length <= maximum
    if (fits && waiting.length === 0) {
      taken.push(name)
      samples += group.slots.length
    } else {
      waiting.push(name)
    }
  }
  state.ready = waiting
  return taken
}

function rejectStale (state: SubscriptionState, group: Group, lowest: number): boolean {
  let reopened = false
  group.slots.forEach((sample, index) => {
    if (sample === null || oldestVersion(sample.segments) >= lowest) return
    group.slots[index] = null
    state.rejected++
    reopened = true
  })
  return reopened
}

function describeBatch (state: SubscriptionState, handover: Handover): Batch {
  return {
    nextCursor: handover.cursor + 1,
    groups: handover.groups.map((name) => {
      const group = state.groups[name] as Group
      return { group: name, step: group.step, slots: group.slots.map((slot) => ({ ...slot as Sample })) }
    })
  }
}

/** Payloads moved to newer offsets, before the log forgets the old ones. */
export function applyMoved (state: SubscriptionState, record: RecordOf<'moved'>): Result<void> {
  const group = state.groups[record.group]
  if (group === undefined) return success(undefined)
  if (record.prompt !== undefined) group.prompt = record.prompt
  group.refreshedAt = Math.max(group.refreshedAt, record.at)
  for (const { index, from, to } of record.samples) {
    const sample = group.slots[index]
    if (sample == null) continue
    if (sample.payload.offset === from.offset && sample.payload.item === from.item) sample.payload = to
  }
  return success(undefined)
}

/** Forgets finished groups that the window has passed. */
export function pruneFinished (state: SubscriptionState, before: number): void {
  for (const [name, issuedAt] of Object.entries(state.finished)) {
    if (issuedAt < before) delete state.finished[name]
  }
}
