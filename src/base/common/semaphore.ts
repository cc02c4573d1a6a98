/** Limits the number of tasks that run concurrently; further tasks wait in FIFO order. */

export class Semaphore {
  private inUse = 0
  private readonly waiting: (() => void)[] = []

  constructor (private readonly permits: number) {}

  /** Runs a task once a permit is free. */
  async run<T> (task: () => Promise<T>): Promise<T> {
    if (this.inUse >= this.permits) await new Promise<void>((resolve) => { this.waiting.push(resolve) })
    else this.inUse++
    try {
      return await task()
    } finally {
      const next = this.waiting.shift()
      if (next === undefined) this.inUse--
      else next()
    }
  }
}
