/**
 * Port to what the platform wants of one host at a time. Each call names the holder of the duty and its term, which rises with each
 * holder.
 */

import type { SealedWindow } from '../../core/common/usage/usageFold.ts'

/** Who acts: the machine that holds the duty, and the term in which it does. */
export interface DutyHolder {
  readonly name: string
  readonly term: number
}

/** `later`: too many calls, or the platform takes none now; `rejected`: it will not take this one. */
export type DutyVerdict = 'accepted' | 'later' | 'rejected' | 'no-answer'

export interface PlatformDuties {
  /** Sends the counts of a window; an exact repeat does no harm. */
  reportUsage (report: SealedWindow, holder: DutyHolder): Promise<DutyVerdict>
}
