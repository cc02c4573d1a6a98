/**
 * Port to platform calls that only one host at a time makes, the holder of the duty. Each call carries the holder's name and its
 * term, which increases with each new holder and serves as a fencing token.
 */

import type { SealedWindow } from '../../core/common/usage/usageFold.ts'

/** The host that holds a duty, and the term of its tenure. */
export interface DutyHolder {
  readonly name: string
  readonly term: number
}

/** Outcome of a call: `later` means that the platform is rate-limited or temporarily unavailable, `rejected` that it will never accept this call. */
export type DutyVerdict = 'accepted' | 'later' | 'rejected' | 'no-answer'

export interface PlatformDuties {
  /** Reports the usage counts of a window. The call is idempotent: an identical repeat has no effect. */
  reportUsage (report: SealedWindow, holder: DutyHolder): Promise<DutyVerdict>
}
