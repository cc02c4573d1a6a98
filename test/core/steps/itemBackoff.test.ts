/** The delays of an item under which engines crash, and what a fatal item costs the other items of its step. */

import { expect } from 'chai'
import { ItemBackoff, itemBackoffMs } from '../../../src/core/common/steps/itemBackoff.ts'

describe('an item under which engines crash', () => {
  it('runs again at once after two crashes, and after at most a second however many there are', () => {
    // Guards against an item that is never placed again because several engines crashed under it.
    expect([0, 1, 2, 3, 4, 5, 6, 7, 1000].map(itemBackoffMs)).to.deep.equal([0, 0, 0, 100, 200, 400, 800, 1000, 1000])
  })

  it('waits and goes behind the others only while engines crash in a row without progress', () => {
    const backoff = new ItemBackoff()
    const crash = (progressed: boolean, nowMs: number): void => { backoff.recordRun({ crashed: true, progressed }, nowMs) }
    const state = (nowMs: number): [boolean, boolean] => [backoff.mayStart(nowMs), backoff.hasLostPrecedence]
    expect(state(0)).to.deep.equal([true, false])
    crash(false, 0)
    crash(false, 10)
    expect(state(10)).to.deep.equal([true, false])
    crash(false, 20)
    expect([state(119), state(120)]).to.deep.equal([[false, true], [true, true]])
    backoff.recordRun({ crashed: false, progressed: false }, 200)
    expect(state(200)).to.deep.equal([true, true])
    crash(true, 300)
    expect(state(300)).to.deep.equal([true, false])
  })

  it('is placed again sooner than its step is due, and a fatal one crashes few engines', () => {
    // Load: an item crashes each engine 60 ms after it starts, for 15 s.
    const runs = (delayMs: (crashes: number) => number): number[] => {
      const startedAt: number[] = []
      for (let now = 0; now < 15_000; now += 60 + delayMs(startedAt.length)) startedAt.push(now)
      return startedAt
    }
    const spaced = runs(itemBackoffMs)
    const atOnce = runs(() => 0)
    const longestPauseMs = Math.max(...spaced.slice(1).map((at, index) => at - (spaced[index] ?? 0)))
    expect(longestPauseMs).to.be.below(1500)
    expect(spaced.length).to.be.below(atOnce.length / 10)
  })
})
