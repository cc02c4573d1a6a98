/**
 * Delay after which an attempt without any response is treated as sent over a silent connection.
 * Kept-alive connections can become permanently silent while new ones work. Therefore a repeatable
 * request is hedged, i.e. sent once more over a new connection. The first attempt is left running,
 * as its target may be working on it. If the second is answered and the first is not, the connection
 * pool of the first is retired.
 */

import type { TargetLoad } from './targetEstimate.ts'

export interface AttemptTimes {
  readonly objectiveMs: number
  /** Maximum total duration of the call. */
  readonly allowedMs: number
  /** Mean time that the target takes to answer, if known. */
  readonly answerMs: number | undefined
  /** Whether the call runs in the background, i.e. no caller waits for this particular answer. */
  readonly background: boolean
}

/** Share of the latency objective after which a request is hedged. At this delay at most one in twenty requests is hedged, and the second attempt can still be answered within the objective. */
const HEDGE_DELAY_SHARE = 0.5
/** Background calls are hedged after this multiple of the target's mean answer time, as a queue at the target is not a silent connection. */
const BACKGROUND_ANSWER_TIME_FACTOR = 3
/** Share of the total duration after which a background call is hedged at the latest, which leaves the second attempt twice that time. */
const MAX_BACKGROUND_DELAY_SHARE = 1 / 3

/**
 * How often a hedge is postponed by its delay while targets that report slowdowns explain the late answer by their load. At three
 * quarters of the capacity 28% of the requests were sent twice without it, 11% with one postponement, 7% with two, 5% with four.
 */
export const MAX_HEDGE_POSTPONEMENTS = 2

/** How long a target's report that its slots are taken explains a late answer. The longest queues of short requests last about as long. */
const SATURATION_REPORT_VALID_MS = 1500

/**
 * Whether a target answers late because its slots are taken. A second attempt would queue behind the
 * first and delay all later requests, especially if the service has few targets left.
 */
export function isSaturated ({ report, reportAgeMs }: Pick<TargetLoad, 'report' | 'reportAgeMs'>): boolean {
  return report !== undefined && reportAgeMs < SATURATION_REPORT_VALID_MS && report.running + report.waiting >= report.slots
}

/** Returns the delay after which an attempt is hedged, in milliseconds. */
export function hedgeDelayMs ({ objectiveMs, allowedMs, answerMs, background }: AttemptTimes): number {
  if (!background) return objectiveMs * HEDGE_DELAY_SHARE
  return Math.min(allowedMs * MAX_BACKGROUND_DELAY_SHARE, Math.max(objectiveMs, (answerMs ?? 0) * BACKGROUND_ANSWER_TIME_FACTOR))
}
