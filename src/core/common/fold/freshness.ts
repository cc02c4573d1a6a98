/**
 * Tracks whether the folded state is recent enough to act on. A contact is dated by when the request
 * was sent, not by when its response was handled: a host that was frozen in between finds an old
 * response in its socket buffer and would otherwise treat it as current.
 */

export interface FreshnessSettings {
  readonly maxAgeMs: number
  readonly tickIntervalMs: number
}

/** A tick that is later than this many intervals means that the host was frozen. */
const FREEZE_THRESHOLD_TICKS = 6

export class FreshnessTracker {
  private lastContact = Number.NEGATIVE_INFINITY
  private lastTick: number
  private ignoreBefore = Number.NEGATIVE_INFINITY

  constructor (private readonly settings: FreshnessSettings, now: number) {
    this.lastTick = now
  }

  /** Records that a request sent at `askedAt` reached the end of the log, or of the entries that peers hold. */
  recordContact (askedAt: number): void {
    if (askedAt >= this.ignoreBefore) this.lastContact = Math.max(this.lastContact, askedAt)
  }

  /** Discards all contacts. */
  reset (): void {
    this.lastContact = Number.NEGATIVE_INFINITY
  }

  /** Returns whether the host was frozen since the last tick. If so, requests sent before now no longer count. */
  tick (now: number): boolean {
    const frozen = now - this.lastTick > this.settings.tickIntervalMs * FREEZE_THRESHOLD_TICKS
    this.lastTick = now
    if (frozen) {
      this.reset()
      this.ignoreBefore = now
    }
    return frozen
  }

  isFresh (now: number): boolean {
    const ticking = now - this.lastTick <= this.settings.tickIntervalMs * FREEZE_THRESHOLD_TICKS
    return ticking && now - this.lastContact <= this.settings.maxAgeMs
  }
}
