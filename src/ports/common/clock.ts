/**
 * Ports to clocks and random numbers. Decision logic receives them as parameters, so that tests can control both.
 */

import type { Disposable } from '../../base/common/lifecycle.ts'
import type { Instant } from '../../base/common/instant.ts'

/** Clocks of this host. */
export interface Clock {
  /** Returns milliseconds on a clock that never goes back. Values of different hosts are not comparable. */
  monotonic (): number
  /** Returns milliseconds since the epoch; used only for timestamps in records and for time slices that all hosts share. */
  wall (): number
  /** Runs `task` once after `delayMs`. */
  after (delayMs: number, task: () => void): Disposable
  /** Runs `task` every `periodMs`. */
  every (periodMs: number, task: () => void): Disposable
}

/** Reads both clocks. */
export function currentInstant (clock: Clock): Instant {
  return { monotonic: clock.monotonic(), wall: clock.wall() }
}

/** Waits for a duration on a clock. */
export async function pause (clock: Clock, milliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => { clock.after(milliseconds, resolve) })
}

/** Source of random numbers. */
export interface RandomSource {
  /** Returns a number in the range [0, 1). */
  next (): number
  /** Returns a globally unique identifier. */
  id (): string
}
