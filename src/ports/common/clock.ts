/**
 * Time and chance as services. Decisions receive them, so that a test can set both.
 */

import type { Disposable } from '../../base/common/lifecycle.ts'
import type { Instant } from '../../base/common/instant.ts'

/** Clocks of this host. */
export interface Clock {
  /** Milliseconds on a clock that never goes back; never compared between hosts. */
  monotonic (): number
  /** Milliseconds since the epoch; only ever a stamp in a record. */
  wall (): number
  /** Runs `task` once after `delayMs`. */
  after (delayMs: number, task: () => void): Disposable
  /** Runs `task` every `periodMs`. */
  every (periodMs: number, task: () => void): Disposable
}

/** This moment on both clocks. */
export function nowOf (clock: Clock): Instant {
  return { monotonic: clock.monotonic(), wall: clock.wall() }
}

/** Lets time pass on a clock. */
export async function pause (clock: Clock, milliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => { clock.after(milliseconds, resolve) })
}

/** Source of random numbers. */
export interface Chance {
  /** A number from 0 up to but without 1. */
  next (): number
  /** An identifier that no other call on any host returns. */
  id (): string
}
