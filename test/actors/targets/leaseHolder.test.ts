/** Leases under a manually advanced clock: after an expiry, no two holders may order at the same time. */

import { expect } from 'chai'
import type { FoldView } from '../../../src/actors/common/log/controlLog.ts'
import { LeaseHolder } from '../../../src/actors/common/targets/leaseHolder.ts'
import type { HostId, ShardKey } from '../../../src/base/common/ids.ts'
import { asHostId } from '../../../src/base/common/ids.ts'
import { success } from '../../../src/base/common/resultCode.ts'
import type { FoldState } from '../../../src/core/common/fold/fold.ts'
import { emptyState } from '../../../src/core/common/fold/fold.ts'
import type { ControlRecord } from '../../../src/core/common/fold/records.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { fold } from '../../support/records.ts'

const shard = 'drafter@Abdali' as ShardKey
const settings = { durationMs: 1000, maxInFlightMs: 200 }

/** Creates holders over one fold that all of them see at once; `delayMs` is the duration of an append. */
function createFixture (): { clock: ManualClock, state: FoldState, holder: (name: string, seed: number, delayMs?: number) => LeaseHolder } {
  const clock = new ManualClock()
  const state = emptyState()
  const holder = (name: string, seed: number, delayMs = 0): LeaseHolder => new LeaseHolder({
    fold: { state, fresh: true } as unknown as FoldView,
    appender: {
      decide: async (record: ControlRecord) => {
        if (delayMs > 0) await new Promise<void>((resolve) => { clock.after(delayMs, resolve) })
        const [result] = fold(state, record)
        return success({ record, result: result ?? success(undefined) })
      }
    },
    clock,
    chance: newSeededChance(seed),
    metrics: noopMetrics,
    stateLog: noopStateLog
  }, settings, asHostId(name) as HostId, shard)
  return { clock, state, holder }
}

describe('a lease', () => {
  it('is acquired when nobody holds it, and refused to another host meanwhile', async () => {
    const { holder } = createFixture()
    const [a, b] = [holder('a', 1), holder('b', 2)]
    await a.acquireOrRenew()
    b.observe()
    await b.acquireOrRenew()
    expect([a.currentFence(), b.currentFence()]).to.deep.equal([1, undefined])
  })

  /*
   * Guards against two hosts ordering an engine that does not check the fencing token: the holder is suspended
   * beyond its lease, a successor acquires it, and the holder resumes with a check that it made before.
   */
  it('is not used by a holder that was suspended beyond its expiry', async () => {
    const { clock, holder } = createFixture()
    const a = holder('a', 1)
    await a.acquireOrRenew()
    clock.freeze(1001)
    expect(a.currentFence()).to.equal(undefined)
  })

  it('is counted from before it was requested, so that a slow append does not extend it', async () => {
    const { clock, holder } = createFixture()
    const a = holder('a', 1, 400)
    const kept = a.acquireOrRenew()
    await clock.advance(400)
    await kept
    clock.freeze(599)
    expect(a.currentFence()).to.equal(1)
    clock.freeze(1)
    expect(a.currentFence()).to.equal(undefined)
  })

  /*
   * Guards against an order of the former holder that arrives after the successor's first one: the holder sends it
   * just before the expiry, and a successor that waits only for the expiry does not wait for orders in flight.
   */
  it('is taken over only after its duration and the maximum time that an order is in flight', async () => {
    const { clock, holder } = createFixture()
    const [a, b] = [holder('a', 1), holder('b', 2)]
    await a.acquireOrRenew()
    b.observe()
    clock.freeze(1200)
    await b.acquireOrRenew()
    expect(b.currentFence()).to.equal(undefined)
    clock.freeze(1)
    await b.acquireOrRenew()
    expect(b.currentFence()).to.equal(2)
  })

  it('is not taken over if it was renewed in between', async () => {
    const { clock, holder } = createFixture()
    const [a, b] = [holder('a', 1), holder('b', 2)]
    await a.acquireOrRenew()
    b.observe()
    clock.freeze(900)
    await a.acquireOrRenew()
    b.observe()
    clock.freeze(900)
    await b.acquireOrRenew()
    expect([a.currentFence(), b.currentFence()]).to.deep.equal([1, undefined])
  })

  it('is available at once after its release, with a higher fencing token', async () => {
    const { holder } = createFixture()
    const [a, b] = [holder('a', 1), holder('b', 2)]
    await a.acquireOrRenew()
    await a.release()
    b.observe()
    await b.acquireOrRenew()
    expect([a.currentFence(), b.currentFence()]).to.deep.equal([undefined, 3])
  })
})
