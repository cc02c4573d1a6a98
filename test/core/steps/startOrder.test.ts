/** Which waiting item gets the next slot, replayed on two steps that are asked at once. */

import { expect } from 'chai'
import { ItemLengths } from '../../../src/core/common/steps/itemLengths.ts'
import type { WaitingItem } from '../../../src/core/common/steps/startOrder.ts'
import { compareStarts } from '../../../src/core/common/steps/startOrder.ts'
import { allPolicies, ModelDay } from '../../../tools/bench/steps/day.ts'
import { drawDay } from '../../../tools/bench/steps/draws.ts'
import { readShape } from '../../../tools/bench/steps/shape.ts'

const waiting = (details: Partial<WaitingItem> = {}): WaitingItem => ({ rank: 'wanted', ranBefore: false, remainingMs: 1000, dueAtMs: 7500, ...details })
const order = (...items: WaitingItem[]): number[] => [...items].sort(compareStarts).map((item) => items.indexOf(item))

describe('the order in which waiting items start', () => {
  // What happened: after an outage two steps were asked within 0.5 s. The items of the second waited until all
  // of the first had slots; its longest one, of 7.4 s, waited for 1.0 s and came after the step was due.
  it('is that of their latest starts, whichever step they are of', () => {
    expect(order(waiting({ remainingMs: 600 }), waiting({ remainingMs: 5000, dueAtMs: 8000 }), waiting({ remainingMs: 3000 }))).to.deep.equal([1, 2, 0])
  })

  it('has broken runs first, and those that nobody may wait for last', () => {
    expect(order(waiting({ rank: 'spare', remainingMs: 2500 }), waiting(), waiting({ rank: 'carried' }), waiting({ ranBefore: true, remainingMs: 10 }))).to.deep.equal([3, 2, 1, 0])
  })

  it('is the one that was planned while nothing is known of lengths', () => {
    const lengths = new ItemLengths()
    expect([lengths.known, lengths.remainingMs({ expectedTokens: 900, events: 4 })]).to.deep.equal([false, 0])
    expect(order(waiting({ remainingMs: 0 }), waiting({ remainingMs: 0 }), waiting({ remainingMs: 0, dueAtMs: 7000 }))).to.deep.equal([2, 0, 1])
  })

  it('has the wanted groups sooner where a trainer was held up', () => {
    const shape = readShape('tools/bench/steps/long-items.toml')
    if (!shape.ok) throw new Error(shape.message)
    const wanted = (urgency: boolean): number => [1, 2, 3, 4, 5, 6, 7, 8].flatMap((seed) => new ModelDay(shape.value, drawDay(shape.value, seed), { ...allPolicies, urgency }).run().map(({ wantedMs }) => wantedMs ?? 12_000)).reduce((sum, time) => sum + time, 0)
    expect(wanted(true)).to.be.lessThan(wanted(false) * 0.99)
  })
})

describe('the lengths of items', () => {
  it('are learned from whole ones, and an item that outruns its estimate is expected to go on', () => {
    const lengths = new ItemLengths()
    lengths.note(600, 10, 400)
    lengths.note(600, 0, 400)
    expect([lengths.remainingEvents({ expectedTokens: 1200, events: 5 }), lengths.remainingMs({ expectedTokens: 1200, events: 5 })]).to.deep.equal([15, 600])
    expect(lengths.remainingEvents({ expectedTokens: 1200, events: 100 })).to.equal(60)
    for (let item = 0; item < 400; item++) lengths.note(600, 20, undefined)
    expect(lengths.remainingMs({ expectedTokens: 1200, events: 0 })).to.be.closeTo(40 * 40, 5)
  })
})
