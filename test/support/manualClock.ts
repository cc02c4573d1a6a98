/** A clock that tests advance, and a seeded source of random numbers. */

import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro'
import type { Disposable } from '../../src/base/common/lifecycle.ts'
import { toDisposable } from '../../src/base/common/lifecycle.ts'
import type { RandomSource, Clock } from '../../src/ports/common/clock.ts'

interface Timer {
  due: number
  readonly periodMs: number | undefined
  readonly task: () => void
}

export class ManualClock implements Clock {
  now = 1_000_000
  private suspendedMs = 0
  private readonly timers = new Set<Timer>()

  monotonic (): number {
    return this.now
  }

  wall (): number {
    return this.now + this.suspendedMs
  }

  after (delayMs: number, task: () => void): Disposable {
    return this.add({ due: this.now + delayMs, periodMs: undefined, task })
  }

  every (periodMs: number, task: () => void): Disposable {
    return this.add({ due: this.now + periodMs, periodMs, task })
  }

  /** Advances the time and runs due timers in order, with promises and actors settling in between. */
  async advance (milliseconds: number): Promise<void> {
    const end = this.now + milliseconds
    await settle()
    for (;;) {
      const next = [...this.timers].filter(({ due }) => due <= end).sort((a, b) => a.due - b.due)[0]
      if (next === undefined) break
      this.now = Math.max(this.now, next.due)
      if (next.periodMs === undefined) this.timers.delete(next)
      else next.due += next.periodMs
      next.task()
      await settle()
    }
    this.now = end
    await settle()
  }

  /** Advances the time without running timers, like a process that is frozen. */
  freeze (milliseconds: number): void {
    this.now += milliseconds
  }

  /** Advances only the wall clock, like a suspended machine. */
  suspend (milliseconds: number): void {
    this.suspendedMs += milliseconds
  }

  private add (timer: Timer): Disposable {
    this.timers.add(timer)
    return toDisposable(() => { this.timers.delete(timer) })
  }
}

/** Gives pending promises and actors 12 turns of the event loop, which is enough for them to become idle. */
export async function settle (): Promise<void> {
  for (let turn = 0; turn < 12; turn++) await new Promise<void>((resolve) => setImmediate(resolve))
}

export function newSeededChance (seed: number): RandomSource {
  const generator = xoroshiro128plus(seed)
  let next = 0
  return { next: () => (generator.unsafeNext() >>> 0) / 2 ** 32, id: () => `id-${seed}-${next++}` }
}
