/** Draws of a soak, all from its seed. */

import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

export class Draw {
  private readonly random

  constructor (seed: number) {
    this.random = xoroshiro128plus(seed)
  }

  /** A whole number between two, both included. */
  between (least: number, most: number): number {
    return unsafeUniformIntDistribution(least, most, this.random)
  }

  oneOf<T> (values: readonly T[]): T {
    const value = values[this.between(0, values.length - 1)]
    if (value === undefined) throw new Error('nothing to choose from')
    return value
  }

  chance (share: number): boolean {
    return this.between(0, 999) < share * 1000
  }
}
