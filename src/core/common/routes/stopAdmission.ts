/**
 * Decides whether a stopping host still accepts a request. Load pattern: callers keep the address of a host for seconds after
 * it was told to stop, and the process is ended by force at a known time. A request that is accepted and cannot be finished by
 * then is lost, and one that is rejected could have been sent elsewhere at once. Most answers take a fraction of the time that
 * their caller allows, so that a request is not rejected because its caller would wait for longer than the host exists.
 */

/** Number of recent answers of a route that are compared. The slowest of them bounds all but a few in a hundred. */
const MAX_ANSWERS = 32
/** Limit of routes whose answers are remembered; those that were not used for longest are forgotten. */
const MAX_ROUTES = 1000

/** How long the recent answers of each route took. */
export class RecentAnswerTimes {
  /** Routes in the order of their latest answers. */
  private readonly timesByRoute = new Map<string, number[]>()

  record (route: string, tookMs: number): void {
    const times = this.timesByRoute.get(route) ?? []
    times.push(tookMs)
    if (times.length > MAX_ANSWERS) times.shift()
    this.timesByRoute.delete(route)
    this.timesByRoute.set(route, times)
    if (this.timesByRoute.size > MAX_ROUTES) this.timesByRoute.delete(this.timesByRoute.keys().next().value ?? '')
  }

  /** Returns the duration of the slowest recent answer of a route; `undefined` if there is none. */
  slowestMs (route: string): number | undefined {
    const times = this.timesByRoute.get(route)
    return times === undefined ? undefined : Math.max(...times)
  }
}

/** What is known of a request and of the host that it has reached; all times in milliseconds. */
export interface StopAdmission {
  /** Time until the host ends its requests; infinite unless it is stopping. */
  readonly remainingMs: number
  /** Time that the caller and the route allow. */
  readonly allowedMs: number
  /** How long the answer is expected to take at most. */
  readonly expectedMs: number
}

/** Returns whether a request is expected to be finished before the host ends its requests. */
export function canFinish ({ remainingMs, allowedMs, expectedMs }: StopAdmission): boolean {
  return Math.min(allowedMs, expectedMs) <= remainingMs
}
