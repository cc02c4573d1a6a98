/**
 * Limits the memory that the clients of a host occupy together. When it is used up, clients that have made no progress for a
 * while give up their part, so that clients which stop do not keep others from being served.
 */

import { ActivityOrder } from './activityOrder.ts'

/** A client that occupies memory and can give it up. */
export interface MemoryHolder {
  /** Changes whenever the client makes progress; `undefined` while it must keep its part. */
  readonly progress: number | undefined
  /** Frees what the client occupies. */
  giveUp (): void
}

export interface Reservation {
  readonly bytes: number
  readonly now: number
  /** Time without progress after which other clients give up their part for this reservation. */
  readonly minimumStalledMs: number
}

export class MemoryBudget {
  private reservedBytes = 0
  private readonly holders = new ActivityOrder<MemoryHolder>(({ progress }) => progress)

  constructor (private readonly maximumBytes: number) {}

  get usedBytes (): number {
    return this.reservedBytes
  }

  get availableBytes (): number {
    return Math.max(0, this.maximumBytes - this.reservedBytes)
  }

  /** Number of clients that can give up their part. */
  get holderCount (): number {
    return this.holders.size
  }

  /** Reserves memory. Returns false if there is not enough even after all stalled clients have given up theirs. */
  reserve ({ bytes, now, minimumStalledMs }: Reservation): boolean {
    if (bytes > this.maximumBytes) return false
    while (this.reservedBytes + bytes > this.maximumBytes) {
      const stalled = this.holders.leastActive(now, minimumStalledMs)
      if (stalled === undefined) return false
      this.holders.delete(stalled)
      stalled.giveUp()
    }
    this.reservedBytes += bytes
    return true
  }

  /** Counts memory that is occupied already, also above the limit. */
  add (bytes: number): void {
    this.reservedBytes += bytes
  }

  free (bytes: number): void {
    this.reservedBytes -= bytes
  }

  /** Adds a client that can give up its part, or notes that it has been active. */
  touch (holder: MemoryHolder, now: number): void {
    this.holders.touch(holder, now)
  }

  remove (holder: MemoryHolder): void {
    this.holders.delete(holder)
  }
}
