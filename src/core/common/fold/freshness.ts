/**
 * Whether the folded state may be acted on. A contact counts from when the question was asked, not
 * from when its answer was handled: a host that was frozen in between finds an old answer in its
 * socket and would take it for a new one.
 */

export interface FreshnessSettings {
  readonly boundMs: number
  readonly tickMs: number
}

/** A tick that comes later than this many periods means that the host was frozen. */
const FROZEN_TICKS = 6

export class Freshness {
  private lastContact = Number.NEGATIVE_INFINITY
  private lastTick: number
  private staleBefore = Number.NEGATIVE_INFINITY

  constructor (private readonly settings: FreshnessSettings, now: number) {
    this.lastTick = now
  }

  /** The end of the log, or of what peers have, was reached by a question asked at `askedAt`. */
  contact (askedAt: number): void {
    if (askedAt >= this.staleBefore) this.lastContact = Math.max(this.lastContact, askedAt)
  }

  /** Forgets all contacts. */
  lose (): void {
    this.lastContact = Number.NEGATIVE_INFINITY
  }

  /** Returns whether the host was frozen since the last tick; contacts from before no longer count. */
  tick (now: number): boolean {
    const frozen = now - this.lastTick > this.settings.tickMs * FROZEN_TICKS
    this.lastTick = now
    if (frozen) {
      this.lose()
      this.staleBefore = now
    }
    return frozen
  }

  isFresh (now: number): boolean {
    const awake = now - this.lastTick <= this.settings.tickMs * FROZEN_TICKS
    return awake && now - this.lastContact <= this.settings.boundMs
  }
}
