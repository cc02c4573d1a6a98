/** A short soak of fixed seeds, and each seed that ever failed, with its cause. */

import { expect } from 'chai'
import { soak } from './soak.ts'

describe('the soak', function () {
  this.timeout(120_000)

  for (const seed of [1, 2]) {
    it(`keeps the promises under the faults of seed ${seed}`, async () => {
      const { violations, faults, answered, steps } = await soak({ seed, hosts: 3, lengthMs: 8000, faults: 12 })
      expect(violations, faults.join('\n')).to.deep.equal([])
      expect(answered).to.be.greaterThan(50)
      expect(steps).to.be.greaterThan(3)
    })
  }
})
