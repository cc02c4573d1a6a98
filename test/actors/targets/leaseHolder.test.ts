/** Leases on a clock that the test moves: a lapse never lets a second author act unnoticed. */

import { expect } from 'chai'
import type { FoldView } from '../../../src/actors/common/log/controlLog.ts'
import { LeaseHolder } from '../../../src/actors/common/targets/leaseHolder.ts'
import type { HostId, ShardKey } from '../../../src/base/common/ids.ts'
import { asHostId } from '../../../src/base/common/ids.ts'
import { success } from '../../../src/base/common/resultCode.ts'
import type { FoldState } from '../../../src/core/common/fold/fold.ts'
import { emptyState } from '../../../src/core/common/fold/fold.ts'
import type { ControlRecord } from '../../../src/core/common/fold/records.ts'
import { quietLog, quietMetrics } from '../../support/fakeHost.ts'
import { ManualClock, seededChance } from '../../support/manualClock.ts'
import { fold } from '../../support/records.ts'

const shard = 'drafter@Abdali' as ShardKey
const settings = { durationMs: 1000, flightMs: 200 }

/** Two holders over one fold that both see at once; `delayMs` is how long an append takes. */
function world (): { clock: ManualClock, state: FoldState, holder: (name: string, seed: number, delayMs?: number) => LeaseHolder } {
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
    chance: seededChance(seed),
    metrics: quietMetrics,
    stateLog: quietLog
  }, settings, asHostId(name) as HostId, shard)
  return { clock, state, holder }
}

describe('a lease', () => {
  it('is taken when nobody holds it and refused to another meanwhile', async () => {
    const { holder } = world()
    const [a, b] = [holder('a', 1), holder('b', 2)]
    await a.keep()
    b.observe()
    await b.keep()
    expect([a.fenceNow(), b.fenceNow()]).to.deep.equal([1, undefined])
  })

  /*
   * Symptom: two hosts order an engine that does not check the fencing number.
   * Sequence: the holder sleeps past its lease; a successor takes it; the holder wakes and goes on.
   * Cause: the holder's last check was before it slept.
   */
  it('is not used by a holder that slept past it', async () => {
    const { clock, holder } = world()
    const a = holder('a', 1)
    await a.keep()
    clock.freeze(1001)
    expect(a.fenceNow()).to.equal(undefined)
  })

  it('counts from before it was asked for, so that a slow append does not lengthen it', async () => {
    const { clock, holder } = world()
    const a = holder('a', 1, 400)
    const kept = a.keep()
    await clock.advance(400)
    await kept
    clock.freeze(599)
    expect(a.fenceNow()).to.equal(1)
    clock.freeze(1)
    expect(a.fenceNow()).to.equal(undefined)
  })

  /*
   * Symptom: an order of the former holder arrives after the successor's first.
   * Sequence: the holder sends an order at the last moment; it is under way for a while.
   * Cause: a successor that only waits out the lease does not wait for what was sent under it.
   */
  it('is taken over only after its duration and the longest flight of an order', async () => {
    const { clock, holder } = world()
    const [a, b] = [holder('a', 1), holder('b', 2)]
    await a.keep()
    b.observe()
    clock.freeze(1200)
    await b.keep()
    expect(b.fenceNow()).to.equal(undefined)
    clock.freeze(1)
    await b.keep()
    expect(b.fenceNow()).to.equal(2)
  })

  it('renewed in between is not taken over', async () => {
    const { clock, holder } = world()
    const [a, b] = [holder('a', 1), holder('b', 2)]
    await a.keep()
    b.observe()
    clock.freeze(900)
    await a.keep()
    b.observe()
    clock.freeze(900)
    await b.keep()
    expect([a.fenceNow(), b.fenceNow()]).to.deep.equal([1, undefined])
  })

  it('given back is free at once, with a higher fencing number', async () => {
    const { holder } = world()
    const [a, b] = [holder('a', 1), holder('b', 2)]
    await a.keep()
    await a.end()
    b.observe()
    await b.keep()
    expect([a.fenceNow(), b.fenceNow()]).to.deep.equal([undefined, 3])
  })
})
