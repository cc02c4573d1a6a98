/** Head starts for items that a step leaves over, and their effect on a simulated day of steps. */

import { expect } from 'chai'
import fc from 'fast-check'
import { minimumVersionAfterStep, maxHeadStarts, planHeadStarts } from '../../../src/core/common/steps/headStart.ts'
import type { ItemProgress } from '../../../src/core/common/steps/headStart.ts'
import { ItemLengthEstimator } from '../../../src/core/common/steps/itemLengthEstimator.ts'
import { allPolicies, DaySimulation } from '../../../tools/bench/steps/day.ts'
import { drawDay } from '../../../tools/bench/steps/draws.ts'
import type { DayShape } from '../../../tools/bench/steps/shape.ts'
import { readDayShape } from '../../../tools/bench/steps/shape.ts'

const TOKENS = 10
const lengths = new ItemLengthEstimator()
lengths.recordItem(TOKENS, 1, 40)
const progress = (id: string, group: string, expectedEvents: number, events: number, listed = false): ItemProgress => ({ id, group, expectedTokens: expectedEvents * TOKENS, events, listed })

describe('head starts', () => {
  // Load: a step of 20 groups of four items, of which the trainer waits for 18. It ends without the two groups with the
  // longest items. The next step but one requires them from their first token on, because their texts were generated under
  // weights that it may not use. These items took 6 to 7 of the 7.5 s in which a step is due, so the smallest interruption
  // made each step late and no delay was ever recovered.
  it('shorten the time until the wanted groups are listed by more than 7 %', () => {
    const read = readDayShape('tools/bench/steps/long-items.toml')
    if (!read.ok) throw new Error(read.message)
    const noOccurrences = { per_day: 0, least_s: 0, most_s: 0 }
    const shape: DayShape = { ...read.value, store_away: noOccurrences, holder_lost: noOccurrences, engine_slow: { ...noOccurrences, factor: 1 }, engine_lost: noOccurrences }
    // A step that the trainer never submitted counts as one it gave up on.
    const wanted = (headStarts: boolean): number[] => [1, 2, 3, 4, 5, 6].flatMap((seed) => new DaySimulation(shape, drawDay(shape, seed), { ...allPolicies, headStarts }).run().slice(2).map(({ wantedMs }) => wantedMs ?? 12_000))
    const mean = (values: readonly number[]): number => values.reduce((sum, value) => sum + value, 0) / values.length
    expect(mean(wanted(true))).to.be.lessThan(mean(wanted(false)) * 0.93)
  })

  it('go to the groups with the longest remaining time except those carried over, longest item first', () => {
    const items = [progress('a', 'a', 10, 10, true), progress('b', 'b', 20, 5), progress('c', 'c', 90, 5), progress('d', 'd', 100, 5), progress('e', 'e', 60, 5), progress('f', 'f', 70, 5)]
    expect(planHeadStarts({ wantedGroups: 4, items, carriedOver: new Set(['d']) }, lengths)).to.deep.equal(['c', 'f', 'e'])
    // Fewer groups can be left over than the step waits for, so the shortest of them is certainly among the wanted ones.
    expect(planHeadStarts({ wantedGroups: 6, items, carriedOver: new Set() }, lengths)).to.deep.equal(['d', 'c'])
  })

  it('account for items beyond their estimate and for listed items of a group', () => {
    const items = [progress('short', 'a', 10, 80), progress('told', 'b', 60, 50), progress('done', 'a', 10, 150, true), progress('c', 'c', 10, 10, true)]
    expect(planHeadStarts({ wantedGroups: 2, items, carriedOver: new Set(['b']) }, lengths)).to.deep.equal(['done', 'short'])
  })

  it('are not planned once the wanted groups are complete', () => {
    expect(planHeadStarts({ wantedGroups: 1, items: [progress('a', 'a', 10, 10, true), progress('b', 'b', 90, 5)], carriedOver: new Set() }, lengths)).to.deep.equal([])
  })

  it('use at most a sixth of the slots, and half of that while items wait', () => {
    expect([maxHeadStarts(48, false), maxHeadStarts(48, true), maxHeadStarts(5, false)]).to.deep.equal([8, 4, 0])
  })

  it('contain only items of the step, each once', () => {
    fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom('a', 'b', 'c', 'd'), fc.nat(300), fc.nat(200), fc.boolean()), { maxLength: 30 }), fc.nat(5), (rows, wantedGroups) => {
      const items = rows.map(([group, expected, events, listed], index) => progress(`i${index}`, group, expected, events, listed))
      const ids = planHeadStarts({ wantedGroups, items, carriedOver: new Set(['d']) }, lengths)
      expect(new Set(ids).size).to.equal(ids.length)
      for (const id of ids) expect(items.find((item) => item.id === id)?.group).to.be.a('string').and.not.equal('d')
    }))
  })

  it('use weights allowed in the step that is submitted after this one has ended', () => {
    // Two steps are open: what the older one leaves over is submitted again in the next step, after it has ended.
    expect([minimumVersionAfterStep(4, 1, 1), minimumVersionAfterStep(5, 0, 1), minimumVersionAfterStep(4, 0, 0), minimumVersionAfterStep(4, 2, 1)]).to.deep.equal([6, 7, 5, 7])
  })
})
