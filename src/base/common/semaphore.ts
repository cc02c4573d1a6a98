/** Bounds how many users of something there are at once; the rest wait in order. */

export class Semaphore {
  private used = 0
  private readonly waiting: (() => void)[] = []

  constructor (private readonly permits: number) {}

  /** Runs a task once a permit is free. */
  async run<T> (task: () => Promise<T>): Promise<T> {
    if (this.used >= this.permits) await new Promise<void>((resolve) => { this.waiting.push(resolve) })
    else this.used++
    try {
      return await task()
    } finally {
      const next = this.waiting.shift()
      if (next === undefined) this.used--
      else next()
    }
  }
}
