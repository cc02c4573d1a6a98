/** Head starts for items that a step leaves over, and what they are worth on a day of steps. */

import { expect } from 'chai'
import fc from 'fast-check'
import { minimumAfter, mostHeadStarts, planHeadStarts } from '../../../src/core/common/steps/headStart.ts'
import type { ItemProgress } from '../../../src/core/common/steps/headStart.ts'
import { ItemLengths } from '../../../src/core/common/steps/itemLengths.ts'
import { allPolicies, ModelDay } from '../../../tools/bench/steps/day.ts'
import { drawDay } from '../../../tools/bench/steps/draws.ts'
import type { Shape } from '../../../tools/bench/steps/shape.ts'
import { readShape } from '../../../tools/bench/steps/shape.ts'

const TOKENS = 10
const lengths = new ItemLengths()
lengths.note(TOKENS, 1, 40)
const progress = (id: string, group: string, expectedEvents: number, events: number, listed = false): ItemProgress => ({ id, group, expectedTokens: expectedEvents * TOKENS, events, listed })

describe('head starts', () => {
  // Load: a step of 20 groups of four, of which the trainer waits for 18. It ends without the two groups of the
  // longest items; the step after the next has to have them, from their first token on, since they were made under weights that
  // it may not use. Six to seven of the 7.5 s in which a step is due went into such items in every step, so
  // that the smallest interruption made it late and no delay was ever made up.
  it('have the wanted groups of a step listed a tenth sooner, and make up delays', () => {
    const read = readShape('tools/bench/steps/long-items.toml')
    if (!read.ok) throw new Error(read.message)
    const quiet = { per_day: 0, least_s: 0, most_s: 0 }
    const shape: Shape = { ...read.value, store_away: quiet, holder_lost: quiet, engine_slow: { ...quiet, factor: 1 }, engine_lost: quiet }
    // A step to which the trainer never came counts as one that it gave up.
    const wanted = (headStarts: boolean): number[] => [1, 2, 3, 4, 5, 6].flatMap((seed) => new ModelDay(shape, drawDay(shape, seed), { ...allPolicies, headStarts }).run().slice(2).map(({ wantedMs }) => wantedMs ?? 12_000))
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
    expect(mean(wanted(true))).to.be.lessThan(mean(wanted(false)) * 0.93)
  })

  it('are for the groups that need the longest yet, without those that were carried, the longest item first', () => {
    const items = [progress('a', 'a', 10, 10, true), progress('b', 'b', 20, 5), progress('c', 'c', 90, 5), progress('d', 'd', 100, 5), progress('e', 'e', 60, 5), progress('f', 'f', 70, 5)]
    expect(planHeadStarts({ wantedGroups: 4, items, carried: new Set(['d']) }, lengths)).to.deep.equal(['c', 'f', 'e'])
    // Fewer groups than the step waits for can be left over, so the smallest of them is certain to be among the wanted ones.
    expect(planHeadStarts({ wantedGroups: 6, items, carried: new Set() }, lengths)).to.deep.equal(['d', 'c'])
  })

  it('count what an item has outrun its estimate by, and items of a group that are listed already', () => {
    const items = [progress('short', 'a', 10, 80), progress('told', 'b', 60, 50), progress('done', 'a', 10, 150, true), progress('c', 'c', 10, 10, true)]
    expect(planHeadStarts({ wantedGroups: 2, items, carried: new Set(['b']) }, lengths)).to.deep.equal(['done', 'short'])
  })

  it('are none once the step has what is wanted', () => {
    expect(planHeadStarts({ wantedGroups: 1, items: [progress('a', 'a', 10, 10, true), progress('b', 'b', 90, 5)], carried: new Set() }, lengths)).to.deep.equal([])
  })

  it('take a sixth of the slots, and half of that while items wait', () => {
    expect([mostHeadStarts(48, false), mostHeadStarts(48, true), mostHeadStarts(5, false)]).to.deep.equal([8, 4, 0])
  })

  it('name items of the step, each once', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c', 'd'), fc.nat(300), fc.nat(200), fc.boolean()), { maxLength: 30 }), fc.nat(5), (rows, wantedGroups) => {
      const items = rows.map(([group, expected, events, listed], index) => progress(`i${index}`, group, expected, events, listed))
      const ids = planHeadStarts({ wantedGroups, items, carried: new Set(['d']) }, lengths)
      expect(new Set(ids).size).to.equal(ids.length)
      for (const id of ids) expect(items.find((item) => item.id === id)?.group).to.be.a('string').and.not.equal('d')
    }))
  })

  it('are made under weights that the step may use which comes after this one has ended', () => {
    // Two steps are open: what the older one leaves over comes in the next, which is asked when it has ended.
    expect([minimumAfter(4, 1, 1), minimumAfter(5, 0, 1), minimumAfter(4, 0, 0), minimumAfter(4, 2, 1)]).to.deep.equal([6, 7, 5, 7])
  })
})
