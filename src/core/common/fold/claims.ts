/**
 * Claims of once-only requests. The first claim of an id in log order may dispatch, nobody else
 * ever may. A claim is given back only by the attempt that made it, and only when that attempt has
 * not dispatched and never will; a claim whose holder is gone stays, because between any check of
 * the holder and a second dispatch the first holder can wake up and dispatch too.
 *
 * Memory of claims is bounded by the window: an id carries its time of issue, and one older than
 * the window is refused instead of being run again after it was forgotten.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { Outcome, RecordOf } from './records.ts'

/** What is known of one once-only request. */
export interface Claim {
  readonly issuedAt: number
  /** Attempt that may dispatch; absent after a release. */
  attempt?: string
  holder?: string
  outcome?: Outcome
  /** Attempts that were given back: a late copy of their claim record must not revive them. */
  released?: string[]
}

export type Claims = Record<string, Claim>

/** How far in the future an id may be issued, as hosts' and callers' clocks differ. */
const FUTURE_LIMIT_MS = 60_000

/** Key of a claim: an id belongs to the caller who used it. */
export function claimKey (caller: string, request: string): string {
  return `${caller}\n${request}`
}

/** What a claim is decided with. */
export interface ClaimContext {
  /** The fold's time, in milliseconds since the epoch. */
  readonly time: number
  readonly windowMs: number
}

export function applyClaim (claims: Claims, record: RecordOf<'claim'>, context: ClaimContext): Result<void> {
  const refused = outsideWindow(record.issuedAt, context)
  if (refused !== undefined) return refused
  const key = claimKey(record.caller, record.request)
  const current = claims[key]
  if (current === undefined) {
    claims[key] = { issuedAt: record.issuedAt, attempt: record.attempt, holder: record.holder }
    return success(undefined)
  }
  if (current.attempt === record.attempt) return success(undefined)
  if (current.released?.includes(record.attempt) === true) {
    return failure('repeatLater', 'this attempt was given back before its claim was read')
  }
  if (current.attempt !== undefined) return failure('inProgress', 'another attempt holds the claim')
  current.attempt = record.attempt
  current.holder = record.holder
  return success(undefined)
}

/**
 * Gives a claim back. The record may land before the claim that it takes back (the claim's append
 * was slow), so it leaves a mark even where there is nothing yet.
 */
export function applyRelease (claims: Claims, record: RecordOf<'release'>, context: ClaimContext): Result<void> {
  const refused = outsideWindow(record.issuedAt, context)
  if (refused !== undefined) return refused
  const key = claimKey(record.caller, record.request)
  const current = claims[key] ??= { issuedAt: record.issuedAt }
  if (current.outcome !== undefined && current.attempt === record.attempt) return failure('unknownOutcome', 'the attempt has already reported')
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
    return failure('requestExpired', 'the claim is not held by this attempt')
  }
  current.outcome ??= record.outcome
  return success(undefined)
}

/** Why an id issued at this time is refused, if it is. */
export function outsideWindow (issuedAt: number, context: ClaimContext): ReturnType<typeof failure> | undefined {
  if (issuedAt < context.time - context.windowMs) return failure('requestExpired', 'the id was issued before the claim window')
  if (issuedAt > context.time + FUTURE_LIMIT_MS) return failure('malformed', 'the id was issued in the future')
  return undefined
}

/** Forgets claims that the window has passed. */
export function pruneClaims (claims: Claims, context: ClaimContext): void {
  for (const [key, claim] of Object.entries(claims)) {
    if (claim.issuedAt < context.time - context.windowMs) delete claims[key]
  }
}
