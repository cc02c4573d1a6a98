/**
 * Decides whether a failed attempt may be retried: only if it provably did not run or running it twice is
 * harmless, and only while enough time remains before the deadline.
 */

import type { Failure } from '../../../base/common/resultCode.ts'
import { resultCodes } from '../../../base/common/resultCode.ts'
import type { RandomSource } from '../../../ports/common/clock.ts'

/** What is known about a failed attempt. */
export interface FailedAttempt {
  readonly reason: Failure
  readonly idempotent: boolean
  readonly attempts: number
  readonly remainingMs: number
}

export const MAX_ATTEMPTS = 4
/** Minimum time before the deadline for an attempt to be worth starting. */
const MIN_REMAINING_MS = 20
/** Maximum jitter of the retry delay, as a fraction of it. */
const RETRY_JITTER = 0.5

/** Codes after which an immediate retry on another target makes sense. */
const retryableCodes: ReadonlySet<string> = new Set(['targetRefused', 'targetUnreachable', 'unknownOutcome', 'noTarget'])

export function mayRetry (failed: FailedAttempt): boolean {
  if (!retryableCodes.has(failed.reason.code)) return false
  const safe = resultCodes[failed.reason.code].effect === 'not-run' || failed.idempotent
  return safe && failed.attempts < MAX_ATTEMPTS && failed.remainingMs >= MIN_REMAINING_MS
}

/** Adds jitter to the retry delay: callers that are rejected together would otherwise return together and be rejected together again. */
export function jitterRetryAfter (retryAfterMs: number, chance: RandomSource): number {
  const base = Math.max(50, retryAfterMs)
  return Math.round(base * (1 + RETRY_JITTER * chance.next()))
}
