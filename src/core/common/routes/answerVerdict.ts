/**
 * Classifies a target's answer to a request and determines whether another target may be tried. A
 * bad answer must never be passed on as a good one, and a request that may have run must not run
 * again unless it may be repeated.
 */

import { isFinalStatus } from '../../../base/common/httpStatus.ts'
import type { TargetResponseHead } from '../../../ports/common/protocols.ts'

export type AnswerVerdict =
  /** The target's answer to this request, whether it reports success or failure. */
  | 'answer'
  /** The target itself failed; another target may succeed. */
  | 'target-failed'
  /** The target states that it did not run the request. */
  | 'not-run'
  /** The answer belongs to another request, does not come from the target, or is not valid, so the request may have run. */
  | 'unusable'

const MIN_SERVER_ERROR_STATUS = 500

/** Classifies an answer to the request with this id by its head. */
export function classifyAnswer (head: TargetResponseHead, requestId: string | undefined): AnswerVerdict {
  const isForeign = head.requestId !== undefined && head.requestId !== requestId
  if (isForeign || !isFinalStatus(head.status)) return 'unusable'
  if (head.notRun) return 'not-run'
  if (head.seal === undefined) return 'unusable'
  return head.status >= MIN_SERVER_ERROR_STATUS ? 'target-failed' : 'answer'
}
