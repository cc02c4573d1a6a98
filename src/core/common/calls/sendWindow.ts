/**
 * Limits the calls that a host has in flight at a service while calls wait for it. Hosts do not know each other's sends: if
 * each of them sent whatever the newest report has room for, together they would overfill a target and then idle until
 * their reports are too old. The window grows slowly while reports show room, fast while they show idle slots, and shrinks in proportion while they show none
 * (additive increase, multiplicative decrease), so that hosts converge to equal shares without messages.
 */

import { MAX_QUEUED_AT_TARGET } from '../routes/targetEstimate.ts'

/** Growth of the window in the time in which it is answered once. */
const INCREASE = 0.25
/** Growth with each answer whose report shows an idle slot. Without it, a window that refusals had reduced to one took seconds to recover. */
const IDLE_INCREASE = 1
/** Share by which a report without room shrinks the window. With 0.2 slots idled, with 0.05 queues at the targets lasted longer (replay of 6 hosts). */
const DECREASE = 0.1
/** Share by which a refusal shrinks the window. */
const REFUSAL_DECREASE = 0.5
const MIN_SIZE = 1
/** Requests that wait at a target below which the window grows. */
const SHORT_QUEUE = 1
/** After this many answer times without a start, one call may start beyond the window, as those in flight may have been lost. */
const STALLED_ANSWER_TIMES = 3

export class SendWindow {
  private size = Number.POSITIVE_INFINITY
  private lastStartAt = Number.NEGATIVE_INFINITY

  /** Starts with what the host has in flight when calls begin to wait. */
  open (inFlight: number, now: number): void {
    this.size = Math.max(MIN_SIZE, inFlight)
    this.lastStartAt = now
  }

  /** Applies an answer, with the load that its target reported. Without a report, the answer itself shows that the window is not too large. */
  adjust (load: { readonly ahead: number, readonly slots: number } | undefined): void {
    if (load === undefined) this.size += INCREASE / this.size
    else if (load.ahead >= load.slots + MAX_QUEUED_AT_TARGET) this.shrink(DECREASE)
    else if (load.ahead < load.slots) this.size += IDLE_INCREASE
    else if (load.ahead < load.slots + SHORT_QUEUE) this.size += INCREASE / this.size
  }

  recordRefusal (): void {
    this.shrink(REFUSAL_DECREASE)
  }

  recordStart (now: number): void {
    this.lastStartAt = now
  }

  /** Whether one more call may start. */
  allows (inFlight: number, answerMs: number, now: number): boolean {
    return inFlight + 1 <= this.size || now - this.lastStartAt >= answerMs * STALLED_ANSWER_TIMES
  }

  private shrink (share: number): void {
    this.size = Math.max(MIN_SIZE, this.size * (1 - share))
  }
}
