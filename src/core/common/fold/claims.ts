/**
 * Claims of once-only requests. Only the attempt whose claim of a request id comes first in log
 * order may dispatch the request. A claim is released only by the attempt that made it, and only if
 * that attempt has not dispatched and never will. A claim whose holder is lost is kept: between any
 * check of the holder and a second dispatch, the first holder could resume and dispatch as well.
 *
 * The deduplication window bounds how many claims are kept. A request id carries its time of issue,
 * and an id older than the window is rejected, so it cannot run again after its claim was pruned.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { Outcome, RecordOf } from './records.ts'

/** State of one once-only request. */
export interface Claim {
  readonly issuedAt: number
  /** The attempt that may dispatch; absent after a release. */
  attempt?: string
  holder?: string
  outcome?: Outcome
  /** Attempts that were released. A delayed copy of their claim record must not take the claim again. */
  released?: string[]
}

export type Claims = Record<string, Claim>

/** How far in the future an id may be issued, which allows for clock skew between hosts and callers. */
const MAX_CLOCK_SKEW_MS = 60_000

/** Returns the key of a claim. Request ids are scoped to the caller that uses them. */
export function claimKey (caller: string, request: string): string {
  return `${caller}\n${request}`
}

/** The time and the deduplication window that claims are checked against. */
export interface ClaimContext {
  /** Time of the fold, in milliseconds since the Unix epoch. */
  readonly time: number
  readonly windowMs: number
}

export function applyClaim (claims: Claims, record: RecordOf<'claim'>, context: ClaimContext): Result<void> {
  const outOfWindow = checkIssueTime(record.issuedAt, context)
  if (outOfWindow !== undefined) return outOfWindow
  const key = claimKey(record.caller, record.request)
  const current = claims[key]
  if (current === undefined) {
    claims[key] = { issuedAt: record.issuedAt, attempt: record.attempt, holder: record.holder }
    return success(undefined)
  }
  if (current.attempt === record.attempt) return success(undefined)
  if (current.released?.includes(record.attempt) === true) {
    return failure('repeatLater', 'this attempt was released before its claim was read')
  }
  if (current.attempt !== undefined) return failure('inProgress', 'another attempt already holds the claim')
  current.attempt = record.attempt
  current.holder = record.holder
  return success(undefined)
}

/**
 * Releases a claim. If the append of the claim was slow, the release can precede the claim in the
 * log, so the released attempt is recorded even if there is no claim yet.
 */
export function applyRelease (claims: Claims, record: RecordOf<'release'>, context: ClaimContext): Result<void> {
  const outOfWindow = checkIssueTime(record.issuedAt, context)
  if (outOfWindow !== undefined) return outOfWindow
  const key = claimKey(record.caller, record.request)
  const current = claims[key] ??= { issuedAt: record.issuedAt }
  if (current.outcome !== undefined && current.attempt === record.attempt) return failure('unknownOutcome', 'the attempt has already reported an outcome')
  current.released ??= []
  if (!current.released.includes(record.attempt)) current.released.push(record.attempt)
  if (current.attempt === record.attempt) {
    delete current.attempt
    delete current.holder
  }
  return success(undefined)
}

export function applyOutcome (claims: Claims, record: RecordOf<'outcome'>): Result<void> {
  const current = claims[claimKey(record.caller, record.request)]
  if (current === undefined || current.attempt !== record.attempt) {
    return failure('requestExpired', 'this attempt does not hold the claim')
  }
  current.outcome ??= record.outcome
  return success(undefined)
}

/** Checks that an id was issued within the window; returns the failure if it was not. */
export function checkIssueTime (issuedAt: number, context: ClaimContext): ReturnType<typeof failure> | undefined {
  if (issuedAt < context.time - context.windowMs) return failure('requestExpired', `the id was issued before the deduplication window of ${context.windowMs} ms`)
  if (issuedAt > context.time + MAX_CLOCK_SKEW_MS) return failure('malformed', `the id was issued more than ${MAX_CLOCK_SKEW_MS} ms in the future`)
  return undefined
}

/** Removes claims whose id was issued before the window. */
export function pruneClaims (claims: Claims, context: ClaimContext): void {
  for (const [key, claim] of Object.entries(claims)) {
    if (claim.issuedAt < context.time - context.windowMs) delete claims[key]
  }
}
