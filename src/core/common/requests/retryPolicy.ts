/**
 * Whether an attempt that failed may be followed by another: only if it is proven not to have run,
 * or if running twice does no harm, and only while the deadline leaves room.
 */

import type { Failure } from '../../../base/common/resultCode.ts'
import { resultCodes } from '../../../base/common/resultCode.ts'
import type { Chance } from '../../../ports/common/clock.ts'

/** What is known when an attempt has failed. */
export interface FailedAttempt {
  readonly reason: Failure
  readonly idempotent: boolean
  readonly attempts: number
  readonly remainingMs: number
}

export const MAXIMUM_ATTEMPTS = 4
/** An attempt with less time than this is not worth starting, in milliseconds. */
const MINIMUM_ROOM_MS = 20
const RETRY_SPREAD = 0.5

/** Codes after which asking again at once, elsewhere, makes sense. */
const elsewhere: ReadonlySet<string> = new Set(['targetRefused', 'targetUnreachable', 'unknownOutcome', 'noTarget'])

export function mayRetry (failed: FailedAttempt): boolean {
  if (!elsewhere.has(failed.reason.code)) return false
  const harmless = resultCodes[failed.reason.code].effect === 'not-run' || failed.idempotent
  return harmless && failed.attempts < MAXIMUM_ATTEMPTS && failed.remainingMs >= MINIMUM_ROOM_MS
}

/**
 * Spreads the time at which refused callers come back: refused together, they would otherwise all
 * return together and be refused together again.
 */
export function spreadRetryAfter (retryAfterMs: number, chance: Chance): number {
  const base = Math.max(50, retryAfterMs)
  return Math.round(base * (1 + RETRY_SPREAD * chance.next()))
}
