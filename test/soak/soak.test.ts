/** Runs the soak test briefly with fixed seeds, and with each seed that has failed before. */

import { expect } from 'chai'
import { runSoak } from './soak.ts'

describe('the soak', function () {
  this.timeout(120_000)

  for (const seed of [1, 2]) {
    it(`keeps the promises under the faults of seed ${seed}`, async () => {
      const { violations, faults, answered, steps } = await runSoak({ seed, hosts: 3, lengthMs: 8000, faults: 12 })
      expect(violations, faults.join('\n')).to.deep.equal([])
      expect(answered).to.be.greaterThan(50)
      expect(steps).to.be.greaterThan(3)
    })
  }

  it('keeps the promises under the faults of seed 3, with a recurring request that crashes its targets', async () => {
    const { violations, faults } = await runSoak({ seed: 3, hosts: 3, lengthMs: 8000, faults: 10, fatal: true })
    expect(violations, faults.join('\n')).to.deep.equal([])
  })

  it('keeps the promises under the faults of seed 4, with keys that are issued and revoked and usage reports', async () => {
    const { violations, faults, answered } = await runSoak({ seed: 4, hosts: 3, lengthMs: 8000, faults: 10, keys: true })
    expect(violations, faults.join('\n')).to.deep.equal([])
    expect(answered).to.be.greaterThan(50)
  })

  for (const { seed, cause } of [
    { seed: 101, cause: 'the check did not expect extra bytes after the answer of a target' },
    { seed: 110, cause: 'extra bytes after the answer of a target' },
    { seed: 31008, cause: "the request to end a step took effect but its answer was lost; the check expected the step's other items" },
    { seed: 31015, cause: 'a target answered a streaming request with a single text, and the check expected events' }
  ]) {
    it(`keeps the promises under seed ${seed}, which failed before: ${cause}`, async () => {
      const { violations, faults } = await runSoak({ seed, hosts: 4, lengthMs: 12_000, faults: 20 })
      expect(violations, faults.join('\n')).to.deep.equal([])
    })
  }
})
