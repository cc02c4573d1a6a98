/**
 * Moments that are told by two clocks, to know for sure how long ago something was. The monotonic clock stands still while the
 * machine is suspended, the time of day may be set. Where they disagree nothing is known of the time between.
 */

/** A moment on both clocks of one host, in milliseconds. */
export interface Instant {
  readonly monotonic: number
  readonly wall: number
}

/** Difference of the clocks that is not taken for a suspension or for a clock that was set, in milliseconds. */
export const CLOCK_TOLERANCE_MS = 100

/** Milliseconds between two moments; infinite where the clocks do not agree on it. */
export function elapsedMs (since: Instant | undefined, now: Instant): number {
  if (since === undefined) return Number.POSITIVE_INFINITY
  const monotonic = now.monotonic - since.monotonic
  const wall = now.wall - since.wall
  return Math.abs(wall - monotonic) > CLOCK_TOLERANCE_MS ? Number.POSITIVE_INFINITY : Math.max(monotonic, wall)
}

/** Whether a moment is surely no longer ago than a bound, which covers what the clocks may differ unnoticed. */
export function isWithin (boundMs: number, since: Instant | undefined, now: Instant): boolean {
  return elapsedMs(since, now) <= boundMs - CLOCK_TOLERANCE_MS
}
