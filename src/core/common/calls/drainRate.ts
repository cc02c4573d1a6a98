/** Measures how many waiting calls per second a service starts for this host, over the part of the last second in which calls waited. */

const WINDOW_MS = 1000

export class DrainRate {
  /** Times of starts, oldest first. */
  private starts: number[] = []
  /** Periods in which calls waited, oldest first; the last one is open while calls wait. */
  private periods: { from: number, to: number | undefined }[] = []

  recordStart (now: number): void {
    this.starts.push(now)
    this.forget(now)
  }

  /** Records whether calls wait from now on. */
  setWaiting (isWaiting: boolean, now: number): void {
    const last = this.periods.at(-1)
    const isOpen = last !== undefined && last.to === undefined
    if (isWaiting && !isOpen) this.periods.push({ from: now, to: undefined })
    if (!isWaiting && isOpen) last.to = now
    this.forget(now)
  }

  /** Whether calls wait, or waited within the window. */
  hasWaited (now: number): boolean {
    this.forget(now)
    return this.periods.length > 0
  }

  /**
   * Returns starts per second. The estimate counts as one observed start: it stands for the rate until something was
   * measured, and keeps a host that starts less than one call per second from taking the rate for zero.
   */
  perSecond (now: number, estimatedPerSecond: number): number {
    this.forget(now)
    const waitedMs = this.periods.reduce((sum, { from, to }) => sum + (to ?? now) - Math.max(from, now - WINDOW_MS), 0)
    return (this.starts.length + 1) / (waitedMs / 1000 + 1 / estimatedPerSecond)
  }

  private forget (now: number): void {
    this.starts = this.starts.filter((at) => at > now - WINDOW_MS)
    this.periods = this.periods.filter(({ to }) => to === undefined || to > now - WINDOW_MS)
  }
}
