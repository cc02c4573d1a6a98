/**
 * Spaces the runs of an item under which engines crash, or which engines refuse. Load patterns:
 *
 * - In a burst of crashes one sound item is at several engines in turn when they crash. It is owed, so that it keeps running,
 *   and once the burst is over it completes. An item goes first after an interrupted run; if several engines crashed under it
 *   in a row, it would be at each of them first, and the other items there would be interrupted with it wherever it is the
 *   cause. Such an item goes behind the others, after a short delay.
 * - A trainer submits items that no engine accepts, for example because they are larger than its memory. If they were sent
 *   again at once, and before other items, they would reach each free slot first, and no other item would run.
 */

/** Number of setbacks in a row that may be a coincidence. The item then runs again at once. */
const MAX_PROMPT_RETRIES = 2
/** Delay after the first setback beyond those, doubled with each further one. */
const INITIAL_DELAY_MS = 100
/** Longest delay. It is short compared to the time within which a step is due. */
const MAX_DELAY_MS = 1000

/** Returns the delay of the next run after a number of setbacks in a row, in milliseconds. */
export function itemBackoffMs (setbacks: number): number {
  return setbacks <= MAX_PROMPT_RETRIES ? 0 : Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS * 2 ** (setbacks - MAX_PROMPT_RETRIES - 1))
}

/** How a run ended, as far as it says something about its item. */
export interface ItemRunEnd {
  readonly crashed: boolean
  /** Whether the item's request cannot be sent to any engine. */
  readonly isUnsendable?: boolean
  /** The engine that refused the item, if it did. */
  readonly refusedBy?: string | undefined
  /** Whether the item's text is longer than after all runs before. */
  readonly progressed: boolean
}

/** Crashes of engines during the runs of one item, and refusals of it, in a row. */
export class ItemBackoff {
  private setbacks = 0
  private delayedUntilMs = Number.NEGATIVE_INFINITY
  /** The engines that refused the item in a row, as far as it matters. */
  private refusals: { readonly type: 'none' } | { readonly type: 'one', readonly engine: string } | { readonly type: 'several' } = { type: 'none' }

  /** Whether the item goes behind the others. */
  get hasLostPrecedence (): boolean {
    return this.setbacks > MAX_PROMPT_RETRIES
  }

  /** Whether the item may run at monotonic time `nowMs`. */
  mayStart (nowMs: number): boolean {
    return nowMs >= this.delayedUntilMs
  }

  /** Records the end of a run. A run that got further than all before shows that the item is not the cause of the setbacks. */
  recordRun ({ crashed, isUnsendable, refusedBy, progressed }: ItemRunEnd, nowMs: number): void {
    if (progressed) {
      this.setbacks = 0
      this.refusals = { type: 'none' }
    }
    if (!crashed && isUnsendable !== true && (refusedBy === undefined || !this.recordRefusal(refusedBy))) return
    this.setbacks++
    this.delayedUntilMs = nowMs + itemBackoffMs(this.setbacks)
  }

  /**
   * Records a refusal and returns whether several engines have refused the item. One engine says nothing about the item: it may
   * be full, load weights, or be registered at the address of another target.
   */
  private recordRefusal (engine: string): boolean {
    switch (this.refusals.type) {
      case 'none':
        this.refusals = { type: 'one', engine }
        return false
      case 'one':
        if (this.refusals.engine === engine) return false
        this.refusals = { type: 'several' }
        return true
      case 'several': return true
    }
  }
}
