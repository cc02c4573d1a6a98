/** Measures how many requests per second a host sends, as a moving average. */

/** Time constant of the average. At 0.12 requests per second it covers about one request, and a change of the rate shows after some seconds. */
const RATE_TIME_CONSTANT_MS = 10_000
const MILLISECONDS_PER_SECOND = 1000

export class RequestRate {
  private weightedRequests = 0
  private updatedAtMs = Number.NEGATIVE_INFINITY

  record (nowMs: number): void {
    this.weightedRequests = this.decayed(nowMs) + 1
    this.updatedAtMs = nowMs
  }

  perSecond (nowMs: number): number {
    return this.decayed(nowMs) * MILLISECONDS_PER_SECOND / RATE_TIME_CONSTANT_MS
  }

  private decayed (nowMs: number): number {
    return this.weightedRequests * Math.exp((this.updatedAtMs - nowMs) / RATE_TIME_CONSTANT_MS)
  }
}
