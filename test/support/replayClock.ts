/**
 * A clock for long replays. In contrast to `ManualClock` it gives promises one turn of the event loop between the times
 * of due timers, which is enough for code that waits for nothing but timers and promises.
 */

import type { Disposable } from '../../src/base/common/lifecycle.ts'
import { toDisposable } from '../../src/base/common/lifecycle.ts'
import type { Clock } from '../../src/ports/common/clock.ts'

export class ReplayClock implements Clock {
  now = 1_000_000
  /** Tasks by due time; `order` has the due times, the earliest last. */
  private readonly tasks = new Map<number, Set<() => void>>()
  private readonly order: number[] = []

  monotonic (): number {
    return this.now
  }

  wall (): number {
    return this.now
  }

  after (delayMs: number, task: () => void): Disposable {
    const due = this.now + Math.max(0, delayMs)
    const run = (): void => { task() }
    const known = this.tasks.get(due)
    if (known === undefined) {
      this.tasks.set(due, new Set([run]))
      this.order.splice(this.order.findLastIndex((other) => other > due) + 1, 0, due)
    } else known.add(run)
    return toDisposable(() => { this.tasks.get(due)?.delete(run) })
  }

  every (periodMs: number, task: () => void): Disposable {
    let next = this.after(periodMs, () => { repeat() })
    const repeat = (): void => {
      next = this.after(periodMs, repeat)
      task()
    }
    return toDisposable(() => { next.dispose() })
  }

  /** Advances the time without running timers, like a process that is frozen. */
  freeze (milliseconds: number): void {
    this.now += milliseconds
  }

  async advance (milliseconds: number): Promise<void> {
    const end = this.now + milliseconds
    await settle()
    for (let due = this.order.at(-1); due !== undefined && due <= end; due = this.order.at(-1)) {
      this.order.pop()
      const tasks = this.tasks.get(due) ?? new Set()
      this.now = Math.max(this.now, due)
      // A task may dispose of its own timer and thereby remove itself.
      const count = tasks.size
      for (const task of tasks) task()
      this.tasks.delete(due)
      if (count > 0) await settle()
    }
    this.now = Math.max(this.now, end)
  }
}

async function settle (): Promise<void> {
  await new Promise<void>((resolve) => setImmediate(resolve))
}
