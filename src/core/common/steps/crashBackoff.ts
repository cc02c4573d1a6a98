/**
 * Spaces the runs of an item under which engines crash. Load pattern: in a burst of crashes one sound item is at several engines
 * in turn when they crash. It is owed, so that it keeps running, and once the burst is over it completes. An item goes first after
 * an interrupted run; if several engines crashed under it in a row, it would be at each of them first, and the other items there
 * would be interrupted with it wherever it is the cause. Such an item goes behind the others, after a short delay.
 */

/** Number of crashes in a row that may be a coincidence. The item then runs again at once, before other items. */
const MAX_PROMPT_RETRIES = 2
/** Delay after the first crash beyond those, doubled with each further one. */
const INITIAL_DELAY_MS = 100
/** Longest delay. It is short compared to the time within which a step is due. */
const MAX_DELAY_MS = 1000

/** Returns the delay of the next run after a number of crashes in a row, in milliseconds. */
export function crashBackoffMs (crashes: number): number {
  return crashes <= MAX_PROMPT_RETRIES ? 0 : Math.min(MAX_DELAY_MS, INITIAL_DELAY_MS * 2 ** (crashes - MAX_PROMPT_RETRIES - 1))
}

/** Crashes of engines in a row during the runs of one item. */
export class CrashBackoff {
  private crashes = 0
  private delayedUntilMs = Number.NEGATIVE_INFINITY

  /** Whether the item goes behind the others. */
  get hasLostPrecedence (): boolean {
    return this.crashes > MAX_PROMPT_RETRIES
  }

  /** Whether the item may run at monotonic time `nowMs`. */
  mayStart (nowMs: number): boolean {
    return nowMs >= this.delayedUntilMs
  }

  /** Records the end of a run. A run that got further than all before shows that the item is not the cause of the crash. */
  recordRun ({ crashed, progressed }: { readonly crashed: boolean, readonly progressed: boolean }, nowMs: number): void {
    if (progressed) this.crashes = 0
    if (!crashed) return
    this.crashes++
    this.delayedUntilMs = nowMs + crashBackoffMs(this.crashes)
  }
}
