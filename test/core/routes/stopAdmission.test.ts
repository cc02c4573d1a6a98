/** Which requests a stopping host accepts, on a replayed load of answers of different lengths. */

import { expect } from 'chai'
import { RecentAnswerTimes, canFinish } from '../../../src/core/common/routes/stopAdmission.ts'
import { newSeededChance } from '../../support/manualClock.ts'

describe('a stopping host', () => {
  it('accepts what its caller, its route or the recent answers show to be finished in time', () => {
    const allowedMs = 3000
    expect(canFinish({ remainingMs: Number.POSITIVE_INFINITY, allowedMs, expectedMs: Number.POSITIVE_INFINITY })).to.equal(true)
    expect(canFinish({ remainingMs: 2300, allowedMs, expectedMs: 2200 })).to.equal(true)
    expect(canFinish({ remainingMs: 2100, allowedMs, expectedMs: 2200 })).to.equal(false)
    expect(canFinish({ remainingMs: 3000, allowedMs, expectedMs: 9000 })).to.equal(true)
  })

  it('remembers the slowest of the recent answers of each route, and a limited number of routes', () => {
    const times = new RecentAnswerTimes()
    expect(times.slowestMs('a')).to.equal(undefined)
    for (const tookMs of [900, 200, 300]) times.record('a', tookMs)
    times.record('b', 50)
    expect([times.slowestMs('a'), times.slowestMs('b')]).to.deep.equal([900, 50])
    for (let answer = 0; answer < 31; answer++) times.record('a', 100)
    expect(times.slowestMs('a')).to.equal(300)
    for (let route = 0; route < 1000; route++) times.record(`other ${route}`, 1)
    expect([times.slowestMs('a'), times.slowestMs('b')]).to.deep.equal([undefined, undefined])
  })

  it('loses hardly any request and rejects hardly any that it would have finished', () => {
    // Load: a request each 20 ms until 5.5 s after the signal, of which one in ten takes 2.2 s and the others 0.2 s; callers allow 3 s, and requests end after 7.7 s.
    const chance = newSeededChance(7)
    const times = new RecentAnswerTimes()
    const tookMs = (): number => (chance.next() < 0.1 ? 2200 : 200) * (0.95 + chance.next() * 0.1)
    for (let answer = 0; answer < 200; answer++) times.record('r', tookMs())
    const requests = Array.from({ length: 275 }, (_, index) => ({ remainingMs: 7700 - index * 20, lengthMs: tookMs() }))
    const allowedMs = 3000
    const outcome = (accepts: (request: typeof requests[number]) => boolean): { lost: number, rejectedInVain: number } => ({
      lost: requests.filter((request) => accepts(request) && request.lengthMs > request.remainingMs).length,
      rejectedInVain: requests.filter((request) => !accepts(request) && request.lengthMs <= request.remainingMs).length
    })
    const chosen = outcome(({ remainingMs }) => canFinish({ remainingMs, allowedMs, expectedMs: times.slowestMs('r') ?? 0 }))
    const byAllowedTime = outcome(({ remainingMs }) => allowedMs <= remainingMs)
    const acceptingAll = outcome(() => true)
    expect(chosen.lost).to.be.at.most(acceptingAll.lost)
    expect(chosen.lost).to.be.at.most(1)
    expect(chosen.rejectedInVain).to.be.below(byAllowedTime.rejectedInVain / 2)
  })
})
