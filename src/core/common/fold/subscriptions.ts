/**
 * Delivery of samples to trainers. A slot is identified by subscription, group and index. The first
 * record of a slot in log order is the sample; later ones are dropped as duplicates. A group whose
 * slots are all filled is queued in `ready`, in the order of the fold, until a pull delivers it.
 *
 * If hosts answered pulls on their own, two hosts that know different newest versions could answer
 * the same pull differently: one delivers a group, the other rejects it as stale and has it generated
 * again, and the trainer gets it twice. Therefore the fold decides pulls in log order, and hosts only
 * report the result.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { PayloadReference, RecordOf, SampleRecord, Segment } from './records.ts'
import { oldestVersion } from './records.ts'

/** A recorded sample: its versions, its score, and the location of its text. */
export interface Sample {
  readonly segments: readonly Segment[]
  readonly score: number
  payload: PayloadReference
}

/** A submitted group of samples of one prompt that has not been acknowledged. */
export interface Group {
  readonly step: number
  readonly digest: string
  readonly issuedAt: number
  prompt: PayloadReference
  /** Time of the fold at which the group's payloads were last appended. */
  refreshedAt: number
  readonly slots: (Sample | null)[]
}

/** The batch that was last delivered to the trainer and is not yet acknowledged. */
export interface PendingBatch {
  readonly cursor: number
  readonly version: number
  readonly maximum: number
  readonly groups: string[]
}

/** Folded state of one subscription. */
export interface SubscriptionState {
  groups: Record<string, Group>
  ready: string[]
  handover?: PendingBatch
  /** Cursor up to which the trainer has acknowledged batches. */
  acknowledged: number
  /** Acknowledged groups with their time of issue, kept so that a repeated submission does not start them again. */
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
  /** The cursor with which the next pull acknowledges this batch. */
  readonly nextCursor: number
  readonly groups: readonly { readonly group: string, readonly step: number, readonly slots: readonly Sample[] }[]
}

export function applySubmit (state: SubscriptionState, record: RecordOf<'submit'>): Result<void> {
  if (state.finished[record.group] !== undefined) return success(undefined)
  const current = state.groups[record.group]
  if (current !== undefined) {
    const same = current.digest === record.digest && current.slots.length === record.samples
    return same ? success(undefined) : failure('groupMismatch', `group ${record.group} was already submitted with different contents`)
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

/** Records samples and returns how many of them were the first in their slot. */
export function applySamples (state: SubscriptionState, items: readonly SampleRecord[]): Result<number> {
  let recorded = 0
  for (const item of items) {
    const group = state.groups[item.group]
    if (group === undefined || item.index >= group.slots.length || group.slots[item.index] !== null) {
      state.duplicates++
      continue
    }
    group.slots[item.index] = { segments: item.segments, score: item.score, payload: item.payload }
    recorded++
    if (group.slots.every((slot) => slot !== null)) state.ready.push(item.group)
  }
  return success(recorded)
}

/** The staleness limit and the newest weight version that a pull is checked against. */
export interface PullContext {
  /** Number of weight versions that a sample may lag behind. */
  readonly staleness: number
  /** Newest weight version of the pool known to the fold. */
  readonly newest: number
}

/**
 * Decides a pull. The cursor of a pull acknowledges the previous batch. The same cursor and version
 * yield the same batch on whichever host the pull arrives. The same cursor with a newer version
 * replaces the batch, as the trainer has not acknowledged the previous one.
 */
export function applyPull (state: SubscriptionState, record: RecordOf<'pull'>, context: PullContext): Result<Batch> {
  const version = Math.max(record.version, context.newest)
  const pending = state.handover
  if (pending !== undefined && record.cursor === pending.cursor) {
    if (pending.version === version) return success(toBatch(state, pending))
    state.ready.unshift(...pending.groups)
    delete state.handover
  } else if (pending !== undefined && record.cursor === pending.cursor + 1) {
    acknowledge(state, pending)
  } else if (record.cursor < state.acknowledged) {
    return failure('cursorBehind', `cursor ${record.cursor} is behind: batches before ${state.acknowledged} are acknowledged`)
  } else if (record.cursor > state.acknowledged) {
    return failure('cursorAhead', `cursor ${record.cursor} is ahead: batches are acknowledged up to ${state.acknowledged}`)
  }
  const groups = takeBatch(state, record.maximum, version - context.staleness)
  if (groups.length === 0) return success({ nextCursor: record.cursor, groups: [] })
  state.handover = { cursor: record.cursor, version, maximum: record.maximum, groups }
  return success(toBatch(state, state.handover))
}

function acknowledge (state: SubscriptionState, pending: PendingBatch): void {
  for (const name of pending.groups) {
    const group = state.groups[name]
    if (group === undefined) continue
    state.delivered += group.slots.length
    state.finished[name] = group.issuedAt
    delete state.groups[name]
  }
  state.acknowledged = pending.cursor + 1
  delete state.handover
}

/** Takes ready groups from the front of the queue. Samples older than `oldestAllowed` are rejected and their slots reopened. */
function takeBatch (state: SubscriptionState, maximum: number, oldestAllowed: number): string[] {
  const taken: string[] = []
  const waiting: string[] = []
  let samples = 0
  for (const name of state.ready) {
    const group = state.groups[name]
    if (group === undefined) continue
    if (rejectStale(state, group, oldestAllowed)) continue
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

function rejectStale (state: SubscriptionState, group: Group, oldestAllowed: number): boolean {
  let reopened = false
  group.slots.forEach((sample, index) => {
    if (sample === null || oldestVersion(sample.segments) >= oldestAllowed) return
    group.slots[index] = null
    state.rejected++
    reopened = true
  })
  return reopened
}

function toBatch (state: SubscriptionState, pending: PendingBatch): Batch {
  return {
    nextCursor: pending.cursor + 1,
    groups: pending.groups.map((name) => {
      const group = state.groups[name] as Group
      return { group: name, step: group.step, slots: group.slots.map((slot) => ({ ...slot as Sample })) }
    })
  }
}

/** Updates the locations of payloads that were copied to newer offsets before the log truncates the old ones. */
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

/** Removes acknowledged groups that were issued before the given time. */
export function pruneFinished (state: SubscriptionState, before: number): void {
  for (const [name, issuedAt] of Object.entries(state.finished)) {
    if (issuedAt < before) delete state.finished[name]
  }
}
