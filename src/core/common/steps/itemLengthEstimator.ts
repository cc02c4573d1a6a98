/** Learns from completed items how their lengths relate to the trainers' estimates and how long an event takes. */

/**
 * Expected remaining length of an item that has exceeded its trainer's estimate, as a fraction of its length so
 * far: lengths are heavy-tailed.
 */
const OVERRUN_REMAINING_FRACTION = 0.6
/** Weight of the newest item in the moving averages, which cover about fifty items. */
const EMA_WEIGHT = 0.02

export class ItemLengthEstimator {
  private tokensPerEvent: number | undefined
  private eventMs: number | undefined

  /** Whether any item has been recorded. */
  get known (): boolean {
    return this.tokensPerEvent !== undefined
  }

  /** Whether it is known how long an event takes. */
  get knowsDurations (): boolean {
    return this.eventMs !== undefined
  }

  /** Records a completed item; `durationMs` is the duration of a single run that generated all its events, if there was one. */
  recordItem (expectedTokens: number, events: number, durationMs: number | undefined): void {
    if (events === 0) return
    this.tokensPerEvent = updatedMean(this.tokensPerEvent, expectedTokens / events)
    if (durationMs !== undefined) this.eventMs = updatedMean(this.eventMs, durationMs / events)
  }

  /** Returns the expected number of events still to come; 0 without any data. */
  remainingEvents ({ expectedTokens, events }: { readonly expectedTokens: number, readonly events: number }): number {
    return this.tokensPerEvent === undefined ? 0 : Math.max(expectedTokens / this.tokensPerEvent - events, events * OVERRUN_REMAINING_FRACTION)
  }

  /** Returns the expected time to completion in milliseconds; 0 without any data. */
  remainingMs (item: { readonly expectedTokens: number, readonly events: number }): number {
    return this.remainingEvents(item) * (this.eventMs ?? 0)
  }
}

function updatedMean (mean: number | undefined, value: number): number {
  return mean === undefined ? value : mean + (value - mean) * EMA_WEIGHT
}
