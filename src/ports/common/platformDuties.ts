/**
 * Port to platform calls that only one host at a time makes, the holder of the duty. Each call carries the holder's name and its
 * term, which increases with each new holder and serves as a fencing token.
 */

import type { Rental } from '../../core/common/routes/target.ts'
import type { SealedWindow } from '../../core/common/usage/usageFold.ts'

/** The host that holds a duty, and the term of its tenure. */
export interface DutyHolder {
  readonly name: string
  readonly term: number
}

/** Outcome of a call: `later` means that the platform is rate-limited or temporarily unavailable, `rejected` that it will never accept this call. */
export type DutyVerdict = 'accepted' | 'later' | 'rejected' | 'no-answer'

/** Sets the number of targets of a service of one kind in one failure domain. */
export interface ScaleOrder {
  readonly service: string
  readonly place: string
  readonly rental: Rental
  /** Absolute number of targets. */
  readonly count: number
}

/** Outcome of a scale order: `unavailable` means that no such target is available in that failure domain now. An order without an answer may still be executed, also seconds later. */
export type ScaleVerdict = DutyVerdict | 'unavailable'

export interface PlatformDuties {
  /** Reports the usage counts of a window. The call is idempotent: an identical repeat has no effect. */
  reportUsage (report: SealedWindow, holder: DutyHolder): Promise<DutyVerdict>

  /** Sets a number of targets. The call is idempotent, as the number is absolute. */
  scaleService (order: ScaleOrder, holder: DutyHolder): Promise<ScaleVerdict>
}
