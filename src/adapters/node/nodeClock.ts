/** Clock and random source of the Node.js process. */

import { randomInt, randomUUID } from 'node:crypto'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro'
import type { Disposable } from '../../base/common/lifecycle.ts'
import { toDisposable } from '../../base/common/lifecycle.ts'
import type { RandomSource, Clock } from '../../ports/common/clock.ts'

/** A timer that fires later than this was delayed by a pause of this process, in milliseconds. */
const MAX_TIMER_DELAY_MS = 50

/**
 * Runs a task after a delay. After a pause of this process, timers would fire before the data that arrived meanwhile has been
 * read, so a time limit would end a stream that was never silent. A late task therefore runs after two further turns of the
 * event loop: in one of them a connection may still be about to ask for data.
 */
function startTimer (delayMs: number, task: () => void): Disposable {
  const dueAt = performance.now() + delayMs
  let immediate: NodeJS.Immediate | undefined
  const timer = setTimeout(() => {
    if (performance.now() - dueAt <= MAX_TIMER_DELAY_MS) return task()
    immediate = setImmediate(() => { immediate = setImmediate(task) })
  }, delayMs)
  return toDisposable(() => {
    clearTimeout(timer)
    clearImmediate(immediate)
  })
}

export class NodeClock implements Clock {
  monotonic (): number {
    return performance.now()
  }

  wall (): number {
    return Date.now()
  }

  after (delayMs: number, task: () => void): Disposable {
    return startTimer(delayMs, task)
  }

  every (periodMs: number, task: () => void): Disposable {
    const timer = setInterval(task, periodMs)
    return toDisposable(() => { clearInterval(timer) })
  }
}

const TWO_TO_32 = 2 ** 32

export class NodeRandomSource implements RandomSource {
  private readonly generator: RandomGenerator

  constructor (seed: number = randomInt(2 ** 31)) {
    this.generator = xoroshiro128plus(seed)
  }

  next (): number {
    return (this.generator.unsafeNext() >>> 0) / TWO_TO_32
  }

  id (): string {
    return randomUUID()
  }
}
