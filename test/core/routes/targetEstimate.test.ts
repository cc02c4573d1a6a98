/** Expected answer times and room of targets, and the choice among them, with and without reported slowdowns. */

import { expect } from 'chai'
import fc from 'fast-check'
import { chooseTarget } from '../../../src/core/common/routes/targetChoice.ts'
import type { TargetLoad } from '../../../src/core/common/routes/targetEstimate.ts'
import { expectedAnswerMs, hasRoom, presentSlowdown, requestsAhead } from '../../../src/core/common/routes/targetEstimate.ts'
import { newTargetDefinition } from '../../support/routes.ts'

const idle: TargetLoad = { definition: newTargetDefinition({ id: 'a' }), inFlight: 0, report: undefined, reportAgeMs: Number.POSITIVE_INFINITY, sentSinceReport: 0, answerMs: 30, suspect: false, reportsSlowdown: true }
const load = (details: Partial<TargetLoad> = {}): TargetLoad => ({ ...idle, ...details })
const reported = (running: number, waiting: number, slowdown?: number): TargetLoad['report'] => ({ running, waiting, slots: 6, ...(slowdown === undefined ? {} : { slowdown }) })

describe('the estimate for a service whose targets report no slowdown', () => {
  /** The expected time as it was before targets reported slowdowns. */
  function formerAnswerMs ({ definition, inFlight, report, reportAgeMs, answerMs = 40, suspect }: TargetLoad): number {
    const ahead = Math.max(inFlight, report !== undefined && reportAgeMs < 400 ? report.running + report.waiting : 0)
    return answerMs * (1 + Math.floor(ahead / definition.slots) + ahead / definition.slots) + (definition.place === 'here' ? 0 : 4) + (suspect ? 60_000 : 0)
  }

  function formerChoice (loads: readonly TargetLoad[], random: number): TargetLoad | undefined {
    const times = loads.map((each) => Math.round(formerAnswerMs(each)))
    const best = loads.filter((_, index) => times[index] === Math.min(...times))
    return best[Math.floor(random * best.length)]
  }

  const anyLoad = fc.record({
    place: fc.constantFrom('here', 'there'),
    inFlight: fc.nat(40),
    report: fc.option(fc.record({ running: fc.nat(6), waiting: fc.nat(24), slots: fc.constant(6) }), { nil: undefined }),
    reportAgeMs: fc.constantFrom(0, 50, 399, 400, 5000, Number.POSITIVE_INFINITY),
    sentSinceReport: fc.nat(40),
    answerMs: fc.option(fc.double({ min: 1, max: 500, noNaN: true }), { nil: undefined }),
    suspect: fc.boolean()
  }).map(({ place, ...details }): TargetLoad => ({ ...details, reportsSlowdown: false, definition: newTargetDefinition({ id: 'x', place }) }))

  it('gives the same times and choices as before, whatever the number of hosts', () => {
    // Guards against a deployment whose targets report three figures and that is served otherwise than before.
    fc.assert(fc.property(fc.array(anyLoad, { minLength: 1, maxLength: 6 }), fc.double({ min: 0, max: 0.999, noNaN: true }), fc.nat(100), (loads, random, liveHosts) => {
      for (const each of loads) expect(expectedAnswerMs(each, 'here')).to.equal(formerAnswerMs(each))
      expect(chooseTarget(loads, 'here', random, { targets: loads.length, slots: loads.length * 6, liveHosts })).to.equal(formerChoice(loads, random))
    }))
  })

  for (const { name, given, expected } of [
    { name: 'is there with one request less than slots and two', given: { inFlight: 7 }, expected: true },
    { name: 'is used up by own requests', given: { inFlight: 8 }, expected: false },
    { name: 'is used up by a recent report', given: { report: reported(6, 2), reportAgeMs: 399 }, expected: false },
    { name: 'is there if the report is old', given: { report: reported(6, 2), reportAgeMs: 400 }, expected: true }
  ]) {
    it(`room ${name}`, () => { expect(hasRoom(load({ reportsSlowdown: false, ...given }))).to.equal(expected) })
  }
})

describe('the estimate for a service whose targets report slowdowns', () => {
  it('weights a slowdown by the age of its report', () => {
    // Guards against targets that are avoided for a slow phase that is over: it is redrawn after 600 ms.
    const at = (reportAgeMs: number): number => presentSlowdown({ report: reported(0, 0, 2.5), reportAgeMs })
    expect([0, 300, 600, 60_000].map(at)).to.deep.equal([2.5, 1.75, 1, 1])
    expect(presentSlowdown({ report: reported(0, 0), reportAgeMs: 0 })).to.equal(1)
  })

  it('bounds a reported slowdown', () => {
    // Guards against a figure of 0, which would make a target free of cost, and one that could never be corrected.
    const of = (slowdown: number): number => presentSlowdown({ report: reported(0, 0, slowdown), reportAgeMs: 0 })
    expect([0, 10_000].map((slowdown) => Number(of(slowdown).toFixed(6)))).to.deep.equal([0.1, 10])
  })

  it('counts what is ahead: the report without what was answered since, and the own sends since', () => {
    // 6 slots at 30 ms answer one request each 5 ms.
    const ahead = (details: Partial<TargetLoad>): number => Number(requestsAhead(load({ report: reported(6, 4, 1), reportAgeMs: 0, ...details })).toFixed(6))
    expect(ahead({})).to.equal(10)
    expect(ahead({ reportAgeMs: 25 })).to.equal(5)
    expect(ahead({ reportAgeMs: 5000 })).to.equal(0)
    expect(ahead({ reportAgeMs: 25, inFlight: 3, sentSinceReport: 3 })).to.equal(8)
    expect(ahead({ reportAgeMs: 5000, inFlight: 3, sentSinceReport: 1 })).to.equal(3)
    // Sends that were answered without a report no longer wait at the target.
    expect(ahead({ reportAgeMs: 5000, inFlight: 0, sentSinceReport: 30 })).to.equal(0)
    // A slow target has answered less since its report.
    expect(ahead({ report: reported(6, 4, 2), reportAgeMs: 25 })).to.be.within(7, 8)
  })

  it('uses only own requests and pace if reports are missing or stale', () => {
    // Guards against a decision by a report of the distant past: a host with 0.12 requests per second has no other.
    const stale = load({ report: reported(6, 24, 2.5), reportAgeMs: 8000, inFlight: 2, sentSinceReport: 2 })
    expect(expectedAnswerMs(stale, 'here')).to.equal(expectedAnswerMs(load({ inFlight: 2 }), 'here'))
    expect(hasRoom(load({ report: reported(6, 24, 1), reportAgeMs: 8000, inFlight: 7, sentSinceReport: 7 }))).to.equal(true)
    expect(hasRoom(load({ report: reported(6, 24, 1), reportAgeMs: 8000, inFlight: 8, sentSinceReport: 8 }))).to.equal(false)
  })

  it('expects a nearly full and a slow target to answer later', () => {
    const times = [load(), load({ report: reported(5, 0, 1), reportAgeMs: 0 }), load({ report: reported(6, 6, 1), reportAgeMs: 0 }), load({ report: reported(6, 6, 2.5), reportAgeMs: 0 })].map((each) => expectedAnswerMs(each, 'here'))
    expect(times.map(Math.round)).to.deep.equal([30, 55, 150, 375])
  })
})

describe('the choice among targets that report slowdowns', () => {
  const targets = (...times: number[]): TargetLoad[] => times.map((answerMs, index) => load({ answerMs, definition: newTargetDefinition({ id: `t${index}` }) }))
  const shares = (loads: readonly TargetLoad[], liveHosts: number, slots = 6): number[] => {
    const counts = loads.map(() => 0)
    for (let draw = 0; draw < 1000; draw++) {
      const index = loads.indexOf(chooseTarget(loads, 'here', (draw + 0.5) / 1000, { targets: loads.length, slots: loads.length * slots, liveHosts }) as TargetLoad)
      counts[index] = (counts[index] ?? 0) + 1
    }
    return counts
  }

  it('is random among up to three, inversely to the square of the expected time', () => {
    // Guards against 73 hosts that see the same report and all send to the same target.
    expect(shares(targets(30, 30, 60), 73).map((count) => Math.round(count / 10))).to.deep.equal([44, 45, 11])
  })

  it('is the better of two among more, if their slots are fewer than the hosts', () => {
    const counts = shares(targets(30, 31, 32, 90), 73)
    expect(counts.map((count) => Math.round(count / 10))).to.deep.equal([50, 33, 17, 0])
  })

  it('is the best of all if there are fewer hosts than slots', () => {
    expect(shares(targets(30, 31, 32, 90), 5)).to.deep.equal([1000, 0, 0, 0])
  })

  it('avoids a suspect target', () => {
    const loads = targets(30, 30, 30).map((each, index) => ({ ...each, suspect: index === 0 }))
    expect(shares(loads, 73)[0]).to.equal(0)
  })
})
