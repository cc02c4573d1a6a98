/** How long items are against what their trainers expect, and how long their events take, from items that are whole. */

/** What an item that has outrun its trainer's estimate is expected to need yet, as a part of what it has: lengths have a heavy tail. */
const OVERRUN = 0.6
/** Weight of the newest item in the moving means: some fifty count. */
const WEIGHT = 0.02

export class ItemLengths {
  private tokensPerEvent: number | undefined
  private eventMs: number | undefined

  /** Whether anything is known. */
  get known (): boolean {
    return this.tokensPerEvent !== undefined
  }

  /** Learns from an item that is whole; `tookMs` is the time of a run that made all its events. */
  note (expectedTokens: number, events: number, tookMs: number | undefined): void {
    if (events === 0) return
    this.tokensPerEvent = moved(this.tokensPerEvent, expectedTokens / events)
    if (tookMs !== undefined) this.eventMs = moved(this.eventMs, tookMs / events)
  }

  /** Events that an item is expected to need yet; 0 while nothing is known. */
  remainingEvents ({ expectedTokens, events }: { readonly expectedTokens: number, readonly events: number }): number {
    return this.tokensPerEvent === undefined ? 0 : Math.max(expectedTokens / this.tokensPerEvent - events, events * OVERRUN)
  }

  /** Time that an item is expected to need yet, in milliseconds; 0 while nothing is known. */
  remainingMs (item: { readonly expectedTokens: number, readonly events: number }): number {
    return this.remainingEvents(item) * (this.eventMs ?? 0)
  }
}

function moved (mean: number | undefined, value: number): number {
  return mean === undefined ? value : mean + (value - mean) * WEIGHT
}
