/** Which ranges of a topic are read for records whose locations are known. */

import { expect } from 'chai'
import fc from 'fast-check'
import { topicRangesFor } from '../../../src/core/common/steps/contentRanges.ts'

describe('content ranges', () => {
  it('cover nearby records in one range and distant ones separately', () => {
    expect(topicRangesFor([{ offset: 12, characters: 1000 }, { offset: 10, characters: 1000 }, { offset: 90, characters: 100 }])).to.deep.equal([
      { from: 10, kilobytes: 4 },
      { from: 90, kilobytes: 1 }
    ])
    expect(topicRangesFor([])).to.deep.equal([])
  })

  it('contain every location, start at one, and stay within the size limit of a read', () => {
    fc.assert(fc.property(fc.array(fc.record({ offset: fc.nat(300), characters: fc.nat(2_000_000) }), { maxLength: 40 }), (places) => {
      const stretches = topicRangesFor(places)
      for (const { offset } of places) expect(stretches.some(({ from }, index) => from <= offset && offset < (stretches[index + 1]?.from ?? Number.POSITIVE_INFINITY))).to.equal(true)
      for (const { from, kilobytes } of stretches) {
        expect(places.some(({ offset }) => offset === from)).to.equal(true)
        expect(kilobytes).to.be.within(1, 1024)
      }
    }), { numRuns: 100, seed: 3 })
  })
})
