/**
 * Determines the next action of the duty holder for usage reports. Load pattern: the holder changes between the end of a window and
 * its report, the store and the reporting interface are unavailable for seconds, and responses are lost. Two different reports for
 * one window must never be sent. Therefore the counts of a window are sealed in the store before the first attempt to send them,
 * and every holder sends the sealed counts.
 */

import type { UsageFold, SealedWindow } from './usageFold.ts'
import type { UsageCounts } from './usageRecords.ts'

export interface UsageTimes {
  /** Length of a window, in milliseconds. */
  readonly windowMs: number
  /** Time from the end of a window until its report is due, in milliseconds. */
  readonly dueMs: number
}

export type UsageAction =
  /** Make the counts of a window final. */
  | { readonly type: 'seal', readonly window: number, readonly counts: UsageCounts }
  | { readonly type: 'report', readonly report: SealedWindow }
  /** Record that all windows up to this one are reported, and drop obsolete records. */
  | { readonly type: 'close', readonly through: number, readonly keys: readonly string[] }
  | { readonly type: 'wait' }

/** Share of the time until a report is due in which hosts submit their counts. Most requests end within a second or two; the rest of the time covers outages. */
const SUBMISSION_TIME_SHARE = 0.3
/** Maximum number of windows before the current one that are reported although they have no counts. An older gap is an outage of the whole system. */
const MAX_EMPTY_WINDOWS = 120

/** Returns the window that a point in time belongs to. Windows are numbered from the Unix epoch. */
export function windowAt (wallMs: number, windowMs: number): number {
  return Math.floor(wallMs / windowMs)
}

/** State of the duty holder that is not part of the topic. */
export interface HolderState {
  /** Windows whose report was accepted, even if the topic does not contain that yet. */
  readonly acknowledged: ReadonlySet<number>
  /** The window in which the holder took over the duty. Reports start there if there are none yet. */
  readonly firstWindow: number
}

export function nextUsageAction (fold: UsageFold, { acknowledged, firstWindow }: HolderState, wallMs: number, times: UsageTimes): UsageAction {
  const unreported = fold.unreported
  const report = unreported.find(({ window }) => !acknowledged.has(window))
  if (report !== undefined) return { type: 'report', report }
  const through = unreported.at(-1)?.window
  if (through !== undefined) return { type: 'close', through, keys: fold.obsoleteKeys(through) }
  const window = nextWindowToSeal(fold, firstWindow, windowAt(wallMs, times.windowMs))
  return wallMs >= sealTimeMs(window, times) ? { type: 'seal', window, counts: fold.totalCounts(window) } : { type: 'wait' }
}

/** Returns the wall-clock time from which a window may be sealed, in milliseconds. */
export function sealTimeMs (window: number, { windowMs, dueMs }: UsageTimes): number {
  return (window + 1) * windowMs + dueMs * SUBMISSION_TIME_SHARE
}

function nextWindowToSeal (fold: UsageFold, firstWindow: number, currentWindow: number): number {
  const following = fold.reportedThrough === undefined ? firstWindow : Math.max(fold.reportedThrough + 1, currentWindow - MAX_EMPTY_WINDOWS)
  return Math.min(following, fold.oldestOpenWindow ?? following)
}
