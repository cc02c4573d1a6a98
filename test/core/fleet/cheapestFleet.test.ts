/** Compares the cheapest fleet with the optimum that is found by trying all fleets. `CASES=3000 SEED=1` runs more random cases. */

import { expect } from 'chai'
import type { CheapestFleet, FleetCounts, FleetRequirement, PlaceLimits } from '../../../src/core/common/fleet/cheapestFleet.ts'
import { cheapestFleet } from '../../../src/core/common/fleet/cheapestFleet.ts'
import { newSeededChance } from '../../support/manualClock.ts'

const CASES = Number(process.env['CASES'] ?? 400)
const SEED = Number(process.env['SEED'] ?? 1)

function fleets (places: readonly PlaceLimits[]): FleetCounts[][] {
  const [first, ...others] = places
  if (first === undefined) return [[]]
  const rest = fleets(others)
  const all: FleetCounts[][] = []
  for (let regular = first.lower.regular; regular <= Math.min(first.upper.regular, first.maximum); regular++) {
    for (let spot = first.lower.spot; spot <= Math.min(first.upper.spot, first.maximum - regular); spot++) {
      for (const each of rest) all.push([{ regular, spot }, ...each])
    }
  }
  return all
}

function missingOf (places: readonly PlaceLimits[], fleet: readonly FleetCounts[], { surviving, regular, total }: FleetRequirement): number {
  const all = fleet.reduce((sum, each) => sum + each.regular + each.spot, 0)
  const largestLoss = Math.max(...fleet.map(({ spot }) => spot))
  const needed = Math.max(total, surviving === 0 ? 0 : surviving + largestLoss)
  const belowMinimum = fleet.reduce((sum, each, index) => sum + Math.max(0, (places[index]?.minimum ?? 0) - each.regular - each.spot), 0)
  return Math.max(0, needed - all) + Math.max(0, regular - fleet.reduce((sum, each) => sum + each.regular, 0)) + belowMinimum
}

function priceOf (places: readonly PlaceLimits[], fleet: readonly FleetCounts[]): number {
  return fleet.reduce((sum, { regular, spot }, index) => sum + regular * (places[index]?.regularPrice ?? 0) + spot * (places[index]?.spotPrice ?? 0), 0)
}

function inOrder (places: readonly PlaceLimits[], { counts }: CheapestFleet): FleetCounts[] {
  return places.map(({ place }) => counts.get(place) ?? { regular: 0, spot: 0 })
}

const free = { lower: { regular: 0, spot: 0 }, upper: { regular: 9, spot: 9 }, minimum: 0, maximum: 9 }
const places = (prices: readonly number[], spotPrice: number, limits: Partial<PlaceLimits> = {}): PlaceLimits[] =>
  prices.map((regularPrice, index) => ({ ...free, place: `p${index}`, regularPrice, spotPrice: regularPrice * spotPrice, ...limits }))

describe('the cheapest fleet', () => {
  it('is the optimum of all fleets in random small cases', () => {
    const chance = newSeededChance(SEED)
    const upTo = (limit: number): number => Math.floor(chance.next() * (limit + 1))
    for (let run = 0; run < CASES; run++) {
      const spotPrice = [0, 0.2, 0.5, 1, 1.5][upTo(4)] ?? 1
      const limits = Array.from({ length: 1 + upTo(2) }, (_, index): PlaceLimits => {
        const lower = { regular: upTo(1), spot: upTo(1) }
        const maximum = Math.max(lower.regular + lower.spot, 1 + upTo(3))
        const regularPrice = upTo(4) / 2
        return { place: `p${index}`, regularPrice, spotPrice: regularPrice * spotPrice, lower, upper: { regular: upTo(4) === 0 ? lower.regular : 9, spot: upTo(4) === 0 ? lower.spot : 9 }, minimum: upTo(1), maximum }
      })
      const surviving = upTo(6)
      const requirement = { surviving, regular: Math.ceil(surviving / 2), total: upTo(4) }
      const all = fleets(limits).map((fleet) => ({ missing: missingOf(limits, fleet, requirement), price: priceOf(limits, fleet) }))
      const least = Math.min(...all.map(({ missing }) => missing))
      const price = Math.min(...all.filter(({ missing }) => missing === least).map((fleet) => fleet.price))
      const found = cheapestFleet(limits, requirement)
      const counts = inOrder(limits, found)
      const context = `case ${run}: ${JSON.stringify({ limits, requirement, counts })}`
      expect([found.missing, missingOf(limits, counts, requirement)], context).to.deep.equal([least, least])
      expect(priceOf(limits, counts), context).to.be.closeTo(price, 1e-3)
    }
  })

  it('carries the demand without the spot targets of any one failure domain, and half of it with regular targets', () => {
    // Guards against a plan that counts a group of spot targets that may be gone at once.
    const limits = places([1, 1, 1], 0.3)
    const counts = inOrder(limits, cheapestFleet(limits, { surviving: 6, regular: 3, total: 0 }))
    const all = counts.reduce((sum, each) => sum + each.regular + each.spot, 0)
    for (const { spot } of counts) expect(all - spot).to.be.at.least(6)
    expect(counts.reduce((sum, { regular }) => sum + regular, 0)).to.equal(3)
  })

  it('is spread evenly where prices are equal', () => {
    const limits = places([1, 1, 1], 1.5)
    expect(inOrder(limits, cheapestFleet(limits, { surviving: 6, regular: 3, total: 0 }))).to.deep.equal(Array(3).fill({ regular: 2, spot: 0 }))
  })

  it('uses another failure domain, then the regular kind, where spot targets are not available', () => {
    const [first, ...others] = places([1, 1.1, 1.2], 0.3)
    if (first === undefined) throw new Error('no failure domain')
    const withoutFirst = [{ ...first, upper: { regular: 9, spot: 0 } }, ...others]
    expect(inOrder(withoutFirst, cheapestFleet(withoutFirst, { surviving: 2, regular: 1, total: 0 }))).to.deep.equal([{ regular: 1, spot: 0 }, { regular: 0, spot: 1 }, { regular: 0, spot: 1 }])
    const withoutSpot = places([1, 1.1, 1.2], 0.3, { upper: { regular: 9, spot: 0 } })
    expect(inOrder(withoutSpot, cheapestFleet(withoutSpot, { surviving: 2, regular: 1, total: 0 }))).to.deep.equal([{ regular: 2, spot: 0 }, { regular: 0, spot: 0 }, { regular: 0, spot: 0 }])
  })

  it('comes as close as the bounds allow, and tells how many targets are missing', () => {
    const limits = places([1, 1], 0.3, { maximum: 2 })
    const found = cheapestFleet(limits, { surviving: 6, regular: 3, total: 0 })
    expect(inOrder(limits, found).map(({ regular, spot }) => regular + spot)).to.deep.equal([2, 2])
    expect(found.missing).to.equal(2)
  })

  it('exists without any failure domain', () => {
    expect(cheapestFleet([], { surviving: 2, regular: 1, total: 0 }).missing).to.be.greaterThan(0)
    expect(cheapestFleet([], { surviving: 0, regular: 0, total: 0 }).missing).to.equal(0)
  })
})
