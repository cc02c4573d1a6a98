/** Seeded random numbers for the soak test. */

import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

export class SeededRandom {
  private readonly generator

  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
  }

  /** Returns a random integer between `least` and `most`, both inclusive. */
  intBetween (least: number, most: number): number {
    return unsafeUniformIntDistribution(least, most, this.generator)
  }

  pick<T> (values: readonly T[]): T {
    const value = values[this.intBetween(0, values.length - 1)]
    if (value === undefined) throw new Error('cannot pick from an empty list')
    return value
  }

  chance (share: number): boolean {
    return this.intBetween(0, 999) < share * 1000
  }
}
