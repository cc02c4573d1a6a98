/** Clock and random source of the Node.js process. */

import { randomInt, randomUUID } from 'node:crypto'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro'
import type { Disposable } from '../../base/common/lifecycle.ts'
import { toDisposable } from '../../base/common/lifecycle.ts'
import type { RandomSource, Clock } from '../../ports/common/clock.ts'

export class NodeClock implements Clock {
  monotonic (): number {
    return performance.now()
  }

  wall (): number {
    return Date.now()
  }

  after (delayMs: number, task: () => void): Disposable {
    const timer = setTimeout(task, delayMs)
    return toDisposable(() => { clearTimeout(timer) })
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
