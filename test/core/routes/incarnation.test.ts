/** Comparison of target incarnations: the newest reported one counts, in whatever order reports arrive. */

import { expect } from 'chai'
import fc from 'fast-check'
import { asIncarnation } from '../../../src/base/common/ids.ts'
import { compareIncarnations, IncarnationTracker } from '../../../src/core/common/routes/incarnation.ts'

const incarnation = (number: number | undefined) => number === undefined ? undefined : asIncarnation(number)

describe('incarnations of a target', () => {
  it('are compared by their numbers', () => {
    const cases: [number | undefined, number | undefined, string][] = [[undefined, undefined, 'same'], [undefined, 1, 'newer'], [1, undefined, 'untold'], [1, 1, 'same'], [1, 2, 'newer'], [2, 1, 'older'], [0, 0, 'same']]
    expect(cases.map(([known, told]) => compareIncarnations(incarnation(known), incarnation(told)))).to.deep.equal(cases.map(([,, verdict]) => verdict))
  })

  it('never go back, in whatever order entries arrive, and do not depend on those of others', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom('a', 'b'), fc.option(fc.nat(5), { nil: undefined }))), (entries) => {
      const record = new IncarnationTracker()
      const newest = new Map<string, number>()
      for (const [id, told] of entries) {
        const verdict = record.observe(id, incarnation(told))
        if (told === undefined) expect(verdict).to.equal(newest.has(id) ? 'untold' : 'same')
        else {
          const known = newest.get(id) ?? -1
          expect(verdict).to.equal(told > known ? 'newer' : told === known ? 'same' : 'older')
          newest.set(id, Math.max(known, told))
        }
      }
    }))
  })
})
