/** A host whose link to the store goes silent, while other hosts reach it. */

import { expect } from 'chai'
import { RelayedKeyedLog } from '../../../src/actors/common/store/relayedKeyedLog.ts'
import { StoreReach } from '../../../src/actors/common/store/storeReach.ts'
import type { Result } from '../../../src/base/common/resultCode.ts'
import { success } from '../../../src/base/common/resultCode.ts'
import type { KeyedLog, KeyedRecord } from '../../../src/ports/common/keyedLog.ts'
import type { Peers } from '../../../src/ports/common/peers.ts'
import { quietMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'

/** A store that answers this host after so long. */
class LateLog implements KeyedLog {
  readonly store = new MemoryKeyedLog()

  constructor (private readonly clock: ManualClock, public answerMs: number) {}

  async append (records: readonly KeyedRecord[]): Promise<Result<number>> { return await this.late(async () => await this.store.append(records)) }
  async read (from: number, waitMs: number): ReturnType<KeyedLog['read']> { return await this.late(async () => await this.store.read(from), waitMs) }
  async readSome (from: number, kilobytes: number): ReturnType<KeyedLog['readSome']> { return await this.late(async () => await this.store.readSome(from, kilobytes)) }
  async newest (after: string | undefined): ReturnType<KeyedLog['newest']> { return await this.late(async () => await this.store.newest(after)) }

  private async late<T> (call: () => Promise<T>, extraMs = 0): Promise<T> {
    await new Promise<void>((resolve) => { if (Number.isFinite(this.answerMs)) this.clock.after(this.answerMs + extraMs, resolve) })
    return await call()
  }
}

/** Time from the last renewal that was read back after which other hosts take a duty over, less what a relayed renewal needs, in milliseconds. */
const RENEWED_BY_MS = 1200 - 250 - 50

describe('a store that goes silent for one host', () => {
  // What happened: the link from the host that ran the steps to the store was cut without a word. Each of
  // its calls waited for 1.2 s before the host went another way; by then its lease had ended, another host took
  // the steps over, and 1.9 s of the progress of all items was lost: two steps of a day came 2.4 s late.
  let clock: ManualClock
  let direct: LateLog
  let asked: string[]
  let relayed: RelayedKeyedLog
  let reach: StoreReach

  beforeEach(() => {
    clock = new ManualClock()
    direct = new LateLog(clock, 5)
    asked = []
    const peers: Peers = {
      call: async (address, method) => {
        asked.push(`${address} ${method}`)
        return success(method === 'store.append' ? success(7) : success({ type: 'entries', entries: [], end: 7 })) as never
      }
    }
    reach = new StoreReach(clock, async () => (await direct.newest('~')).ok)
    relayed = new RelayedKeyedLog({ peers, helpers: () => ['one'], reach, metrics: quietMetrics }, direct, 't')
  })
  afterEach(() => { reach.dispose() })

  const ended = async <T> (call: Promise<T>, withinMs: number): Promise<T | undefined> => {
    let result: T | undefined
    call.then((value) => { result = value }).catch(() => undefined)
    await clock.advance(withinMs)
    return result
  }

  it('is known to be silent before a lease ends, and what follows goes through another host', async () => {
    expect(await ended(relayed.append([{ key: 'renewal', value: '1' }]), 10)).to.deep.equal(success(0))
    direct.answerMs = Number.POSITIVE_INFINITY
    expect(await ended(relayed.append([{ key: 'renewal', value: '2' }]), RENEWED_BY_MS)).to.deep.include({ ok: false, code: 'commandUnknown' })
    expect(await ended(relayed.append([{ key: 'renewal', value: '3' }]), 10)).to.deep.equal(success(7))
    expect(asked).to.deep.equal(['one store.append'])
  })

  it('does not keep a read that waits for records', async () => {
    direct.answerMs = Number.POSITIVE_INFINITY
    const read = relayed.read(0, 1000)
    relayed.append([{ key: 'renewal', value: '2' }]).catch(() => undefined)
    expect(await ended(read, RENEWED_BY_MS)).to.deep.include({ ok: true })
    expect(asked).to.deep.equal(['one store.read'])
  })

  it('is asked once more where the connection of a read alone is silent, and an append is not', async () => {
    // Symptom: connections to the store went silent, new ones worked, and a host read a configuration 2.2 s late: probes over a new
    // connection were answered, so the read that waited on a silent one was left to its own limit.
    const reads: number[] = []
    const read = direct.read.bind(direct)
    direct.read = async (from, waitMs) => {
      reads.push(clock.now)
      return reads.length === 1 ? await new Promise(() => undefined) : await read(from, waitMs)
    }
    const began = clock.now
    expect(await ended(relayed.read(0, 1000), 1205 + 1010)).to.deep.include({ ok: true })
    expect(reads.map((at) => at - began)).to.deep.equal([0, 1205])
    expect([asked, reach.reached]).to.deep.equal([[], true])
    let appends = 0
    direct.append = async () => {
      appends++
      return await new Promise(() => undefined)
    }
    expect(await ended(relayed.append([{ key: 'k', value: '1' }]), 1000)).to.equal(undefined)
    expect(appends).to.equal(1)
  })

  it('is not taken for silent while it is slow', async () => {
    direct.answerMs = 260
    for (let call = 0; call < 10; call++) expect(await ended(relayed.append([{ key: `k${call}`, value: '1' }]), 300)).to.deep.equal(success(call))
    expect([asked, reach.reached]).to.deep.equal([[], true])
    // Slower yet: what was seen of it stretches the time that it is given.
    direct.answerMs = 420
    for (let call = 10; call < 20; call++) expect(await ended(relayed.append([{ key: `k${call}`, value: '1' }]), 500)).to.deep.equal(success(call))
    expect([asked, reach.reached]).to.deep.equal([[], true])
  })
})
