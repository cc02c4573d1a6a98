/**
 * When an attempt without a sign of life is taken for one on a silent connection. Kept connections
 * can go silent for good while new ones work. So what may be repeated is sent once more over a new
 * connection; the first is left running, as its target may be at work. If the second is answered while
 * the first is not, the pool of the first is put aside.
 */

import type { TargetLoad } from './targetChoice.ts'

export interface AttemptTimes {
  readonly objectiveMs: number
  /** How long the call may last as a whole. */
  readonly allowedMs: number
  /** Usual time of the target for an answer, if it is known. */
  readonly answerMs: number | undefined
  /** Whether nobody waits for this one answer. */
  readonly background: boolean
}

/** Share of the objective after which a request is sent once more: late enough that one in twenty is at most, early enough that the second can still be answered within the objective. */
const SECOND_SEND_SHARE = 0.5
/** Background calls wait this many times the usual answer of the target: a queue there is no silence. */
const USUAL_ANSWERS = 3
/** Share of the whole time after which a background call is sent once more at the latest: so that the second has twice that. */
const LATEST_SHARE = 1 / 3

/** How long a target's word that its slots are taken explains a late answer, in milliseconds: as long as the longest queues of short requests last. */
const BUSY_MS = 1500

/**
 * Whether a target is late since its slots are taken. A second send would wait behind the first, and make
 * everything behind it later, most where a service has few targets left.
 */
export function isBusy ({ report, reportAgeMs }: Pick<TargetLoad, 'report' | 'reportAgeMs'>): boolean {
  return report !== undefined && reportAgeMs < BUSY_MS && report.running + report.waiting >= report.slots
}

/** Time after which an attempt is sent once more, in milliseconds. */
export function lateAfterMs ({ objectiveMs, allowedMs, answerMs, background }: AttemptTimes): number {
  if (!background) return objectiveMs * SECOND_SEND_SHARE
  return Math.min(allowedMs * LATEST_SHARE, Math.max(objectiveMs, (answerMs ?? 0) * USUAL_ANSWERS))
}
