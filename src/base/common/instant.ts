/**
 * Points in time measured by two clocks, to determine reliably how much time has elapsed. The monotonic clock stops while the
 * machine is suspended, and the wall clock may be set. If the two disagree, the elapsed time is unknown.
 */

/** A point in time on both clocks of one host, in milliseconds. */
export interface Instant {
  readonly monotonic: number
  readonly wall: number
}

/** Largest difference between the clocks that does not count as a suspension or a change of the wall clock. */
export const CLOCK_TOLERANCE_MS = 100

/** Returns the milliseconds between two instants, or infinity if the clocks disagree. */
export function elapsedMs (since: Instant | undefined, now: Instant): number {
  if (since === undefined) return Number.POSITIVE_INFINITY
  const monotonic = now.monotonic - since.monotonic
  const wall = now.wall - since.wall
  return Math.abs(wall - monotonic) > CLOCK_TOLERANCE_MS ? Number.POSITIVE_INFINITY : Math.max(monotonic, wall)
}

/** Whether an instant is certainly no longer ago than `boundMs`, allowing for an undetected difference between the clocks. */
export function isWithin (boundMs: number, since: Instant | undefined, now: Instant): boolean {
  return elapsedMs(since, now) <= boundMs - CLOCK_TOLERANCE_MS
}
