/**
 * What the holder of the duty does next about the usage report. Load pattern: holders come and go between the end of a window and
 * its report, the store and the interface are away for seconds, and answers are lost; two different reports for one window must
 * never be sent. So the counts of a window are sealed in the store before the first send, and whoever sends, sends the sealed ones.
 */

import type { UsageFold, SealedWindow } from './usageFold.ts'
import type { UsageCounts } from './usageRecords.ts'

export interface UsageTimes {
  /** Length of a window, in milliseconds. */
  readonly windowMs: number
  /** Time from the end of a window until its report is due, in milliseconds. */
  readonly dueMs: number
}

export type UsageStep =
  /** The counts of a window are to be made final. */
  | { readonly type: 'seal', readonly window: number, readonly counts: UsageCounts }
  | { readonly type: 'report', readonly report: SealedWindow }
  /** All up to a window are reported: that is written down, and what nobody needs any more is dropped. */
  | { readonly type: 'close', readonly through: number, readonly keys: readonly string[] }
  | { readonly type: 'wait' }

/** Part of the time until a report is due that hosts have to hand in their counts, as most requests end within a second or two; the rest is for outages. */
const HAND_IN_SHARE = 0.3
/** Windows before the present one that are reported though nothing was counted in them, at most: an older gap is an outage of the whole system. */
const MOST_EMPTY_WINDOWS = 120

/** The window that a moment belongs to; windows are counted from the epoch. */
export function windowAt (wallMs: number, windowMs: number): number {
  return Math.floor(wallMs / windowMs)
}

/** What a holder knows beside the topic. */
export interface HolderKnowledge {
  /** Windows whose report was accepted, though the topic may not say so yet. */
  readonly acknowledged: ReadonlySet<number>
  /** The window in which it began to hold the duty: reports begin there if there are none yet. */
  readonly firstWindow: number
}

export function nextUsageStep (fold: UsageFold, { acknowledged, firstWindow }: HolderKnowledge, wallMs: number, times: UsageTimes): UsageStep {
  const unreported = fold.unreported
  const report = unreported.find(({ window }) => !acknowledged.has(window))
  if (report !== undefined) return { type: 'report', report }
  const through = unreported.at(-1)?.window
  if (through !== undefined) return { type: 'close', through, keys: fold.keysThrough(through) }
  const window = nextToSeal(fold, firstWindow, windowAt(wallMs, times.windowMs))
  return wallMs >= sealAt(window, times) ? { type: 'seal', window, counts: fold.total(window) } : { type: 'wait' }
}

/** Time of day from which a window may be sealed. */
export function sealAt (window: number, { windowMs, dueMs }: UsageTimes): number {
  return (window + 1) * windowMs + dueMs * HAND_IN_SHARE
}

function nextToSeal (fold: UsageFold, firstWindow: number, present: number): number {
  const following = fold.reportedThrough === undefined ? firstWindow : Math.max(fold.reportedThrough + 1, present - MOST_EMPTY_WINDOWS)
  return Math.min(following, fold.oldestOpen ?? following)
}
