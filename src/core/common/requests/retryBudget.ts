/**
 * Limits second attempts to a share of recent successes. Without it, refusals and retries feed each
 * other: an overload that has ended goes on, because each failed attempt brings another.
 */

export interface RetryBudgetSettings {
  /** Second attempts earned by one success. */
  readonly ratio: number
  /** Second attempts that may be saved up, and that a new process has. */
  readonly maximum: number
}

export class RetryBudget {
  private saved: number

  constructor (private readonly settings: RetryBudgetSettings) {
    this.saved = settings.maximum
  }

  succeeded (): void {
    this.saved = Math.min(this.settings.maximum, this.saved + this.settings.ratio)
  }

  /** Takes one second attempt out, if there is one. */
  take (): boolean {
    if (this.saved < 1) return false
    this.saved -= 1
    return true
  }
}
