/** Tests a host whose link to the store goes silent while other hosts still reach the store. */

import { expect } from 'chai'
import { RelayedKeyedLog } from '../../../src/actors/common/store/relayedKeyedLog.ts'
import { StoreReachability } from '../../../src/actors/common/store/storeReachability.ts'
import type { Result } from '../../../src/base/common/resultCode.ts'
import { success } from '../../../src/base/common/resultCode.ts'
import type { KeyedLog, KeyedRecord } from '../../../src/ports/common/keyedLog.ts'
import type { Peers } from '../../../src/ports/common/peers.ts'
import { noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'

/** Store that answers this host after a delay; an infinite delay makes it silent. */
class DelayedLog implements KeyedLog {
  readonly store = new MemoryKeyedLog()

  constructor (private readonly clock: ManualClock, public answerDelayMs: number) {}

  async append (records: readonly KeyedRecord[]): Promise<Result<number>> { return await this.delayed(async () => await this.store.append(records)) }
  async read (from: number, waitMs: number): ReturnType<KeyedLog['read']> { return await this.delayed(async () => await this.store.read(from), waitMs) }
  async readSome (from: number, kilobytes: number): ReturnType<KeyedLog['readSome']> { return await this.delayed(async () => await this.store.readSome(from, kilobytes)) }
  async newest (after: string | undefined): ReturnType<KeyedLog['newest']> { return await this.delayed(async () => await this.store.newest(after)) }

  private async delayed<T> (call: () => Promise<T>, extraMs = 0): Promise<T> {
    await new Promise<void>((resolve) => { if (Number.isFinite(this.answerDelayMs)) this.clock.after(this.answerDelayMs + extraMs, resolve) })
    return await call()
  }
}

/** Time after the last confirmed renewal after which other hosts take a duty over, less the time of a relayed renewal, in milliseconds. */
const RENEWAL_DEADLINE_MS = 1200 - 250 - 50

describe('a store that becomes silent for one host', () => {
  // Guards against a lease lost to a silent link: the link to the store of the host that ran the steps was cut without an
  // error. Each call waited for 1.2 s before the host used another route. By then its lease had ended, another host had
  // taken the steps over, and 1.9 s of progress of all items was lost, which made two steps 2.4 s late.
  let clock: ManualClock
  let direct: DelayedLog
  let relayCalls: string[]
  let relayedLog: RelayedKeyedLog
  let reach: StoreReachability

  beforeEach(() => {
    clock = new ManualClock()
    direct = new DelayedLog(clock, 5)
    relayCalls = []
    const peers: Peers = {
      call: async (address, method) => {
        relayCalls.push(`${address} ${method}`)
        return success(method === 'store.append' ? success(7) : success({ type: 'entries', entries: [], end: 7 })) as never
      }
    }
    reach = new StoreReachability(clock, async () => (await direct.newest('~')).ok)
    relayedLog = new RelayedKeyedLog({ peers, helpers: () => ['one'], reach, metrics: noopMetrics }, direct, 't')
  })
  afterEach(() => { reach.dispose() })

  const resultWithin = async <T> (call: Promise<T>, withinMs: number): Promise<T | undefined> => {
    let result: T | undefined
    call.then((value) => { result = value }).catch(() => undefined)
    await clock.advance(withinMs)
    return result
  }

  it('is detected before a lease ends, and further calls go through another host', async () => {
    expect(await resultWithin(relayedLog.append([{ key: 'renewal', value: '1' }]), 10)).to.deep.equal(success(0))
    direct.answerDelayMs = Number.POSITIVE_INFINITY
    expect(await resultWithin(relayedLog.append([{ key: 'renewal', value: '2' }]), RENEWAL_DEADLINE_MS)).to.deep.include({ ok: false, code: 'commandUnknown' })
    expect(await resultWithin(relayedLog.append([{ key: 'renewal', value: '3' }]), 10)).to.deep.equal(success(7))
    expect(relayCalls).to.deep.equal(['one store.append'])
  })

  it('does not block a read that waits for records', async () => {
    direct.answerDelayMs = Number.POSITIVE_INFINITY
    const read = relayedLog.read(0, 1000)
    relayedLog.append([{ key: 'renewal', value: '2' }]).catch(() => undefined)
    expect(await resultWithin(read, RENEWAL_DEADLINE_MS)).to.deep.include({ ok: true })
    expect(relayCalls).to.deep.equal(['one store.read'])
  })

  it('gets a read again if only the connection of the read is silent, but not an append', async () => {
    // Guards against a configuration that is read 2.2 s late: existing connections to the store went silent and new ones worked. The
    // probes over a new connection were answered, so the read on a silent connection waited for its own timeout.
    const reads: number[] = []
    const read = direct.read.bind(direct)
    direct.read = async (from, waitMs) => {
      reads.push(clock.now)
      return reads.length === 1 ? await new Promise(() => undefined) : await read(from, waitMs)
    }
    const began = clock.now
    expect(await resultWithin(relayedLog.read(0, 1000), 1205 + 1010)).to.deep.include({ ok: true })
    expect(reads.map((at) => at - began)).to.deep.equal([0, 1205])
    expect([relayCalls, reach.isReachable]).to.deep.equal([[], true])
    let appends = 0
    direct.append = async () => {
      appends++
      return await new Promise(() => undefined)
    }
    expect(await resultWithin(relayedLog.append([{ key: 'k', value: '1' }]), 1000)).to.equal(undefined)
    expect(appends).to.equal(1)
  })

  it('is not considered silent while it is only slow', async () => {
    direct.answerDelayMs = 260
    for (let call = 0; call < 10; call++) expect(await resultWithin(relayedLog.append([{ key: `k${call}`, value: '1' }]), 300)).to.deep.equal(success(call))
    expect([relayCalls, reach.isReachable]).to.deep.equal([[], true])
    // The store becomes slower still: the allowed time grows with the measured answer times.
    direct.answerDelayMs = 420
    for (let call = 10; call < 20; call++) expect(await resultWithin(relayedLog.append([{ key: `k${call}`, value: '1' }]), 500)).to.deep.equal(success(call))
    expect([relayCalls, reach.isReachable]).to.deep.equal([[], true])
  })
})
