/** Orders of rented targets: what is ordered, when it is ordered again, and when targets are given up. */

import { expect } from 'chai'
import type { FleetCounts } from '../../../src/core/common/fleet/cheapestFleet.ts'
import { FleetDemand, slotsNeeded, SURPLUS_MS } from '../../../src/core/common/fleet/fleetDemand.ts'
import type { FleetInput, FleetOrder, OutstandingOrder } from '../../../src/core/common/fleet/fleetPlan.ts'
import { planFleet } from '../../../src/core/common/fleet/fleetPlan.ts'
import { newSeededChance } from '../../support/manualClock.ts'

const NOW = 1_000_000
const bounds = { minimum: 0, maximum: 8, bootMs: 1500, spotPrice: 0.3, prices: new Map([['a', 1], ['b', 1], ['c', 1]]) }

function newInput (details: Partial<FleetInput> = {}): FleetInput {
  return { nowMs: NOW, bounds, slotsPerTarget: 6, models: 1, demand: 0, largestDemand: undefined, present: new Map(), outstanding: [], unavailable: [], grownAtMs: NOW, reducedAtMs: new Map(), reductionsFromMs: 0, ...details }
}

function applied (present: ReadonlyMap<string, FleetCounts>, orders: readonly FleetOrder[]): Map<string, FleetCounts> {
  const counts = new Map(present)
  for (const { place, rental, count } of orders) counts.set(place, { ...(counts.get(place) ?? { regular: 0, spot: 0 }), [rental]: count })
  return counts
}

function totalOf (present: ReadonlyMap<string, FleetCounts>): number {
  return [...present.values()].reduce((sum, { regular, spot }) => sum + regular + spot, 0)
}

function meets (present: ReadonlyMap<string, FleetCounts>, demand: number): boolean {
  const counts = [...present.values()]
  const regular = counts.reduce((sum, each) => sum + each.regular, 0)
  return regular * 6 * 2 >= demand && (demand === 0 || counts.every(({ spot }) => (totalOf(present) - spot) * 6 >= demand)) && totalOf(present) >= 2
}

/** Enough for 36 slots, with four targets more than needed. */
const ample = new Map([['a', { regular: 2, spot: 2 }], ['b', { regular: 2, spot: 2 }], ['c', { regular: 2, spot: 2 }]])
const lastGrowth = NOW - SURPLUS_MS

describe('the plan of a fleet', () => {
  it('orders two targets for each model without any demand', () => {
    const { orders } = planFleet(newInput({ models: 2 }))
    expect(totalOf(applied(new Map(), orders))).to.equal(4)
  })

  it('orders nothing more once its orders have taken effect', () => {
    // Guards against oscillation: a plan that is not satisfied by its own result orders for ever.
    const chance = newSeededChance(1)
    const upTo = (limit: number): number => Math.floor(chance.next() * (limit + 1))
    for (let run = 0; run < 300; run++) {
      const present = new Map(['a', 'b', 'c'].map((place) => [place, { regular: upTo(3), spot: upTo(3) }]))
      const demand = upTo(80)
      const input = newInput({ present, demand, largestDemand: demand, unavailable: upTo(2) === 0 ? [{ place: 'a', rental: 'spot', untilMs: NOW + 1 }] : [] })
      const { orders, isShort } = planFleet(input)
      const after = applied(present, orders)
      expect(planFleet({ ...input, present: after }).orders, JSON.stringify([...present, demand])).to.deep.equal([])
      expect(isShort || meets(after, demand)).to.equal(true)
      expect(orders.every(({ count, former }) => count > former)).to.equal(true)
    }
  })

  it('counts an outstanding order until the boot time and three seconds have passed, and sends it again then', () => {
    // Guards against targets that are ordered twice while they boot, and against a lost order that is waited for.
    const { orders: [first] } = planFleet(newInput({ models: 1, bounds: { ...bounds, prices: new Map([['a', 1]]) } }))
    if (first === undefined) throw new Error('no order')
    const outstanding: OutstandingOrder = { place: first.place, rental: first.rental, count: first.count, countBefore: first.former, sentAtMs: NOW, confirmed: true }
    const later = (afterMs: number): readonly FleetOrder[] => planFleet(newInput({ bounds: { ...bounds, prices: new Map([['a', 1]]) }, nowMs: NOW + afterMs, outstanding: [outstanding] })).orders
    expect(later(4499)).to.deep.equal([])
    expect(later(4500)).to.deep.equal([{ ...first, why: 'again' }])
  })

  it('repeats an unanswered order only while it is needed', () => {
    // Guards against an order that is repeated after the demand has gone.
    const present = new Map([['a', { regular: 2, spot: 0 }]])
    const outstanding: OutstandingOrder[] = [{ place: 'b', rental: 'regular', count: 3, countBefore: 0, sentAtMs: NOW, confirmed: false }]
    const orders = (demand: number): unknown => planFleet(newInput({ present, outstanding, demand })).orders.map(({ place, count, why }) => [place, count, why])
    expect(orders(0)).to.deep.equal([])
    expect(orders(30)).to.deep.equal([['b', 3, 'again']])
  })

  it('no longer waits for an order after targets of that kind have gone', () => {
    // Guards against an absolute number of an order that is taken for targets to come after the earlier ones were reclaimed.
    const present = new Map([['a', { regular: 2, spot: 0 }], ['b', { regular: 1, spot: 0 }]])
    const outstanding: OutstandingOrder[] = [{ place: 'c', rental: 'spot', count: 4, countBefore: 3, sentAtMs: NOW, confirmed: true }]
    expect(totalOf(applied(present, planFleet(newInput({ present, outstanding, demand: 36 })).orders))).to.be.at.least(6)
  })

  it('does not order where targets are unavailable or have no price', () => {
    const present = new Map([['unpriced', { regular: 1, spot: 0 }]])
    const { orders } = planFleet(newInput({ present, demand: 60, unavailable: [{ place: 'a', rental: 'spot', untilMs: NOW + 1 }, { place: 'a', rental: 'regular', untilMs: NOW + 1 }, { place: 'c', rental: 'regular', untilMs: NOW + 1 }, { place: 'b', rental: 'regular', untilMs: NOW }] }))
    expect(orders.map(({ place, rental }) => `${rental} ${place}`).sort()).to.deep.equal(['regular b', 'spot b', 'spot c'])
  })

  it('is short where the bounds do not allow what is needed', () => {
    const { orders, isShort, needed } = planFleet(newInput({ demand: 600 }))
    expect([isShort, needed >= 100, totalOf(applied(new Map(), orders))]).to.deep.equal([true, true, 24])
  })

  it('gives up one target in each failure domain after a surplus of a minute', () => {
    const input = newInput({ present: ample, demand: 0, largestDemand: 12, grownAtMs: lastGrowth })
    const { orders } = planFleet(input)
    expect(orders.map(({ place, why, count, former }) => [place, why, former - count])).to.deep.equal([['a', 'surplus', 1], ['b', 'surplus', 1], ['c', 'surplus', 1]])
    const tooEarly: Partial<FleetInput>[] = [
      { grownAtMs: lastGrowth + 1 },
      { reducedAtMs: new Map([...ample.keys()].map((place) => [place, NOW - 9999])) },
      { reductionsFromMs: NOW + 1 },
      { largestDemand: undefined },
      { outstanding: [{ place: 'a', rental: 'spot', count: 3, countBefore: 2, sentAtMs: NOW, confirmed: false }] }
    ]
    for (const details of tooEarly) expect(planFleet({ ...input, ...details }).orders, JSON.stringify(details)).to.deep.equal([])
  })

  it('never gives up targets that the largest demand of the last minute needs', () => {
    // Guards against oscillation: targets that are given up and ordered again for the same demand.
    const chance = newSeededChance(2)
    const upTo = (limit: number): number => Math.floor(chance.next() * (limit + 1))
    for (let run = 0; run < 100; run++) {
      let present = new Map(['a', 'b', 'c'].map((place) => [place, { regular: upTo(4), spot: upTo(4) }]))
      const largestDemand = upTo(60)
      const isMetFirst = meets(present, largestDemand)
      for (let round = 0; round < 12; round++) {
        const { orders } = planFleet(newInput({ present, demand: 0, largestDemand, grownAtMs: lastGrowth }))
        const reductions = orders.filter(({ why }) => why === 'surplus')
        if (reductions.length === 0) break
        present = applied(present, reductions)
        expect(meets(present, largestDemand)).to.equal(true)
      }
      if (isMetFirst) expect(planFleet(newInput({ present, demand: largestDemand, largestDemand })).orders).to.deep.equal([])
    }
  })

  it('does not convert kinds into each other', () => {
    const present = new Map([['a', { regular: 3, spot: 0 }], ['b', { regular: 3, spot: 0 }], ['c', { regular: 0, spot: 0 }]])
    const { orders } = planFleet(newInput({ present, demand: 36, largestDemand: 36, grownAtMs: lastGrowth }))
    expect(orders).to.deep.equal([])
  })
})

describe('the demand of steps', () => {
  it('finishes the items a second before they are due', () => {
    expect(slotsNeeded({ remainingMs: Array(100).fill(1000), timeLeftMs: 7000 })).to.equal(20)
    expect(slotsNeeded({ remainingMs: [1000, 1000], timeLeftMs: 20_000 })).to.equal(1)
    expect(slotsNeeded({ remainingMs: [], timeLeftMs: -1 })).to.equal(0)
  })

  it('is a slot for each item once the time is short', () => {
    for (const timeLeftMs of [-500, 0, 1000, 2000, 2001]) expect(slotsNeeded({ remainingMs: [1000, 800, 900], timeLeftMs })).to.equal(3)
  })

  it('does not grow much for one item that takes nearly all the time', () => {
    // Guards against a fleet that is ordered because of a straggler, which already has its slot.
    expect(slotsNeeded({ remainingMs: [...Array<number>(50).fill(500), 3900], timeLeftMs: 5000 })).to.equal(1 + Math.ceil(50 * 500 / 3500))
    expect(slotsNeeded({ remainingMs: [...Array<number>(50).fill(500), 9000], timeLeftMs: 5000 })).to.equal(1 + Math.ceil(50 * 500 / 3500))
  })

  it('suffices for random items, the longest of which start first', () => {
    const chance = newSeededChance(3)
    for (let run = 0; run < 300; run++) {
      const remainingMs = Array.from({ length: 1 + Math.floor(chance.next() * 60) }, () => 50 + 3000 * chance.next() ** 3).sort((a, b) => b - a)
      const timeLeftMs = 2000 + 6000 * chance.next()
      const ends: number[] = Array<number>(slotsNeeded({ remainingMs, timeLeftMs })).fill(0)
      for (const ms of remainingMs) {
        const slot = ends.indexOf(Math.min(...ends))
        ends[slot] = (ends[slot] ?? 0) + ms
      }
      expect(Math.max(...ends)).to.be.at.most(Math.max(timeLeftMs - 1000, remainingMs[0] ?? 0) + 1e-6)
    }
  })

  it('fades within ten seconds, and its maximum is kept for a minute', () => {
    const demand = new FleetDemand()
    demand.record(40, 0)
    demand.record(0, 5000)
    expect([demand.current(5000), demand.current(10_000), demand.largest(59_999), demand.largest(60_000)]).to.deep.equal([20, 0, undefined, 40])
    demand.record(10, 60_000)
    demand.record(0, 60_001)
    expect(demand.largest(60_001)).to.equal(10)
  })

  it('justifies no reduction before it has been known for a minute', () => {
    // Guards against a new holder that gives up targets because it does not know the demand yet.
    const demand = new FleetDemand()
    demand.record(0, 0)
    demand.record(undefined, 30_000)
    demand.record(0, 31_000)
    expect([demand.largest(60_000), demand.largest(91_000)]).to.deep.equal([undefined, 0])
  })
})
