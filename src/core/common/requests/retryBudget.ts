/**
 * Limits retries to a share of recent successes. Without a limit, rejections and retries amplify each other: an
 * overload continues after its cause has ended, because each failed attempt causes another.
 */

export interface RetryBudgetSettings {
  /** Retries earned by one success. */
  readonly ratio: number
  /** Maximum number of retries that can be saved up; also the initial balance. */
  readonly maximum: number
}

/** Balance of retries, earned by successes. */
export class RetryBudget {
  private balance: number

  constructor (private readonly settings: RetryBudgetSettings) {
    this.balance = settings.maximum
  }

  recordSuccess (): void {
    this.balance = Math.min(this.settings.maximum, this.balance + this.settings.ratio)
  }

  /** Consumes one retry if available. */
  tryAcquire (): boolean {
    if (this.balance < 1) return false
    this.balance -= 1
    return true
  }
}
