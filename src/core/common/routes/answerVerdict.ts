/**
 * What a target's answer means for the request that was sent, and whether another target may be
 * tried. A bad answer must never be passed on as a good one, and a request that may have run must
 * not run again unless it may be repeated.
 */

import type { TargetAnswerHead } from '../../../ports/common/protocols.ts'

export type AnswerVerdict =
  /** The target's answer to this request, good or bad. */
  | 'answer'
  /** The target's own failure; another target may do better. */
  | 'target-failed'
  /** The target says that it ran nothing. */
  | 'not-run'
  /** Not this request's answer, or not the target's: it may have run. */
  | 'unusable'

const SERVER_ERROR = 500

/** Judges the head of an answer to the request with this id. */
export function judgeAnswer (head: TargetAnswerHead, requestId: string | undefined): AnswerVerdict {
  const foreign = head.requestId !== undefined && head.requestId !== requestId
  if (foreign) return 'unusable'
  if (head.notRun) return 'not-run'
  if (head.seal === undefined) return 'unusable'
  return head.status >= SERVER_ERROR ? 'target-failed' : 'answer'
}
