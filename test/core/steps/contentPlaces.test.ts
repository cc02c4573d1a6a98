/** Which stretches of a topic are read for records whose places are known. */

import { expect } from 'chai'
import fc from 'fast-check'
import { stretchesOf } from '../../../src/core/common/steps/contentPlaces.ts'

describe('the places of contents', () => {
  it('are read in one stretch where they stand close together, else each by itself', () => {
    expect(stretchesOf([{ offset: 12, characters: 1000 }, { offset: 10, characters: 1000 }, { offset: 90, characters: 100 }])).to.deep.equal([
      { from: 10, kilobytes: 4 },
      { from: 90, kilobytes: 1 }
    ])
    expect(stretchesOf([])).to.deep.equal([])
  })

  it('begin a stretch or lie within one, and never ask for more than the store gives', () => {
    fc.assert(fc.property(fc.array(fc.record({ offset: fc.nat(300), characters: fc.nat(2_000_000) }), { maxLength: 40 }), (places) => {
      const stretches = stretchesOf(places)
      for (const { offset } of places) expect(stretches.some(({ from }, index) => from <= offset && offset < (stretches[index + 1]?.from ?? Number.POSITIVE_INFINITY))).to.equal(true)
      for (const { from, kilobytes } of stretches) {
        expect(places.some(({ offset }) => offset === from)).to.equal(true)
        expect(kilobytes).to.be.within(1, 1024)
      }
    }), { numRuns: 100, seed: 3 })
  })
})
