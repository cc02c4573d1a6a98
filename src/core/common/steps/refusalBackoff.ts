/**
 * Decides which items an engine is not sent for a while after it has refused one. Load pattern: an engine that is full or loads
 * weights refuses every item, while one that lacks the memory for an item, or cannot read it, refuses this item and accepts the
 * others. The refusal does not tell which. Therefore it applies only to items of the same step that are at least as large. Items
 * that several engines have refused are likely the reason themselves: their refusals apply to each other only.
 */

/** Time for which a refusal applies: about the duration of the shortest run. */
const REFUSAL_BACKOFF_MS = 80

export interface RefusableItem {
  readonly step: string
  readonly tokens: number
  /** Whether the item itself is likely the reason for refusals, as it was refused by several engines in a row. */
  readonly isSuspect: boolean
}

interface Refusal {
  /** Size of the smallest item that was refused. */
  readonly tokens: number
  readonly untilMs: number
}

/** Recent refusals of one engine. */
export class RefusalBackoff {
  private readonly refusals = new Map<string, Refusal>()

  record (item: RefusableItem, nowMs: number): void {
    for (const [key, { untilMs }] of this.refusals) if (nowMs >= untilMs) this.refusals.delete(key)
    const key = refusalKey(item)
    const tokens = Math.min(item.tokens, this.refusals.get(key)?.tokens ?? Number.POSITIVE_INFINITY)
    this.refusals.set(key, { tokens, untilMs: nowMs + REFUSAL_BACKOFF_MS })
  }

  /** Whether the engine may be sent an item at monotonic time `nowMs`. */
  allows (item: RefusableItem, nowMs: number): boolean {
    const refusal = this.refusals.get(refusalKey(item))
    return refusal === undefined || nowMs >= refusal.untilMs || item.tokens < refusal.tokens
  }
}

function refusalKey ({ step, isSuspect }: RefusableItem): string {
  return `${isSuspect ? 'suspect' : 'sound'} ${step}`
}
