/** The load of the event loop over the last second. */

import type { EventLoopUtilization } from 'node:perf_hooks'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { EventLoopLoad } from '../../src/adapters/node/eventLoopLoad.ts'
import { NodeClock } from '../../src/adapters/node/nodeClock.ts'
import { ManualClock } from '../support/manualClock.ts'

describe('the load of the event loop', () => {
  it('is that of the last second, however often it is queried', () => {
    // Guards against an average since the start, and against one over the time since the last query, which may be milliseconds.
    const clock = new ManualClock()
    let active = 0
    const measure = (current?: EventLoopUtilization, former?: EventLoopUtilization): EventLoopUtilization => {
      if (current === undefined || former === undefined) return { active, idle: clock.now - active, utilization: 0 }
      const busy = current.active - former.active
      return { active: busy, idle: 0, utilization: busy / (busy + current.idle - former.idle) }
    }
    const load = new EventLoopLoad(clock, measure)
    const run = (durationMs: number, share: number): number => {
      let last = 0
      for (let passed = 0; passed < durationMs; passed += 20) {
        clock.freeze(20)
        active += 20 * share
        last = load.fraction()
      }
      return last
    }
    expect(run(3000, 0.2)).to.be.closeTo(0.2, 0.001)
    expect(run(500, 1), 'half a second of full load').to.be.closeTo(0.6, 0.05)
    expect(run(600, 1), 'a second of full load').to.be.closeTo(1, 0.001)
    expect(run(1100, 0)).to.be.closeTo(0, 0.001)
  })

  it('rises while this process computes', async () => {
    // Guards against a measurement that counts only the time between two turns of the event loop, and so misses a long one.
    const clock = new NodeClock()
    const load = new EventLoopLoad(clock)
    await sleep(300)
    const idle = load.fraction()
    const until = clock.monotonic() + 300
    while (clock.monotonic() < until) { /* keeps the event loop busy */ }
    expect(load.fraction()).to.be.above(idle)
  })
})
