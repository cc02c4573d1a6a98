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

  it('keeps them under the faults of seed 3, with a request that ends its targets all the while', async () => {
    const { violations, faults } = await soak({ seed: 3, hosts: 3, lengthMs: 8000, faults: 10, fatal: true })
    expect(violations, faults.join('\n')).to.deep.equal([])
  })

  it('keeps them under the faults of seed 4, with keys that come and go and usage reports', async () => {
    const { violations, faults, answered } = await soak({ seed: 4, hosts: 3, lengthMs: 8000, faults: 10, keys: true })
    expect(violations, faults.join('\n')).to.deep.equal([])
    expect(answered).to.be.greaterThan(50)
  })

  for (const { seed, cause } of [
    { seed: 101, cause: 'the check did not know the answer of a target that sends bytes after it' },
    { seed: 110, cause: 'the same' },
    { seed: 31008, cause: "the end of a step was taken and its answer lost; the check wanted the step's other items" },
    { seed: 31015, cause: 'a target answered a request for a stream by one whole text, and the check wanted events' }
  ]) {
    it(`keeps them under seed ${seed}, which failed once: ${cause}`, async () => {
      const { violations, faults } = await soak({ seed, hosts: 4, lengthMs: 12_000, faults: 20 })
      expect(violations, faults.join('\n')).to.deep.equal([])
    })
  }
})
