/** Tests following, appending to and relaying a keyed topic under faults of the store. */

import { expect } from 'chai'
import { GroupAppender } from '../../../src/actors/common/store/groupAppender.ts'
import { KeyedTail } from '../../../src/actors/common/store/keyedTail.ts'
import { RelayedKeyedLog } from '../../../src/actors/common/store/relayedKeyedLog.ts'
import type { Disposable } from '../../../src/base/common/lifecycle.ts'
import { Emitter, toDisposable } from '../../../src/base/common/lifecycle.ts'
import { StoreReachability } from '../../../src/actors/common/store/storeReachability.ts'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import type { KeyedEntry, KeyedLog } from '../../../src/ports/common/keyedLog.ts'
import type { PeerMethod, PeerMethods, Peers } from '../../../src/ports/common/peers.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'

const noEvent = (): Disposable => toDisposable(() => undefined)
const record = (key: string, value = key) => ({ key, value })

describe('KeyedTail', () => {
  let clock: ManualClock
  let log: MemoryKeyedLog
  let receivedKeys: string[]
  let tail: KeyedTail

  /** Delays long polls, as reads of the memory log return at once and the read loop would spin. */
  const delayedReads = (): KeyedLog => ({
    append: async (records) => await log.append(records),
    newest: async (after) => await log.newest(after),
    readSome: async (from, kilobytes) => await log.readSome(from, kilobytes),
    read: async (from, waitMs) => {
      if (waitMs > 0) await new Promise<void>((resolve) => { clock.after(20, resolve) })
      return await log.read(from)
    }
  })

  beforeEach(() => {
    clock = new ManualClock()
    log = new MemoryKeyedLog()
    receivedKeys = []
    const take = (entries: readonly KeyedEntry[]): void => { receivedKeys.push(...entries.map(({ key }) => key)) }
    tail = new KeyedTail({ log: delayedReads(), clock, metrics: noopMetrics, stateLog: noopStateLog, onRegained: noEvent }, { name: 't', pace: () => ({ type: 'long-polls', waitMs: 1000, pauseMs: 0 }) }, { reset: (entries) => { receivedKeys.push('reset'); take(entries) }, apply: take })
  })
  afterEach(() => { tail.dispose() })

  it('loads the newest records in order, then follows the topic', async () => {
    log.write([record('c'), record('a'), record('b'), record('c'), record('d'), record('e')])
    tail.start()
    await clock.advance(50)
    log.write([record('f')])
    await clock.advance(50)
    expect(receivedKeys).to.deep.equal(['reset', 'a', 'b', 'c', 'd', 'e', 'f'])
  })

  it('reloads when the history is gone', async () => {
    // Guards against a host that keeps using outdated data after it was frozen for longer than the store keeps history:
    // it asked for records that were gone and took the refusal for an outage.
    log.write([record('a')])
    tail.start()
    await clock.advance(50)
    log.write([record('b'), record('c')])
    log.first = 3
    await clock.advance(50)
    expect(receivedKeys).to.deep.equal(['reset', 'a', 'reset', 'a', 'b', 'c'])
  })

  it('continues after an outage and records when it ended', async () => {
    tail.start()
    await clock.advance(50)
    log.down = true
    await clock.advance(500)
    expect(tail.isLost).to.equal(true)
    log.down = false
    log.write([record('a')])
    await clock.advance(300)
    expect(receivedKeys).to.deep.equal(['reset', 'a'])
    expect(tail.isLost).to.equal(false)
    expect(clock.now - tail.regainedAt).to.be.lessThan(300)
  })

  it('backs off while the store is unavailable, and reads at once when it is back', async () => {
    // Guards against load from retries: while the store was unavailable for four seconds, 84 hosts used four times their usual processor
    // time. Each topic was read ten times per second, directly or through two other hosts that did not reach the store either.
    const regains = new Emitter<void>()
    let reads = 0
    const countingLog: KeyedLog = { ...delayedReads(), read: async (from, waitMs) => { reads++; return log.down ? failure('logUnavailable', 'away') : await delayedReads().read(from, waitMs) } }
    const followingTail = new KeyedTail({ log: countingLog, clock, metrics: noopMetrics, stateLog: noopStateLog, onRegained: regains.event }, { name: 't', pace: () => ({ type: 'long-polls', waitMs: 1000, pauseMs: 0 }) }, { reset: () => undefined, apply: (entries) => { receivedKeys.push(...entries.map(({ key }) => key)) } })
    followingTail.start()
    await clock.advance(50)
    log.down = true
    await clock.advance(100)
    reads = 0
    await clock.advance(8000)
    expect(reads).to.be.at.most(14)
    expect(reads).to.be.at.least(7)
    log.down = false
    log.write([record('a')])
    regains.fire()
    await clock.advance(30)
    expect(receivedKeys).to.deep.equal(['a'])
    log.down = true
    await clock.advance(150)
    log.down = false
    log.write([record('b')])
    await clock.advance(250)
    expect(receivedKeys, 'records after a short outage are read at once').to.deep.equal(['a', 'b'])
    followingTail.dispose()
  })

  it('reads at once when the store is back while a read is in progress', async () => {
    // Guards against a host that uses outdated data for most of a second after the store is back: the read that is aborted
    // then counted as a further failure of the outage, and the maximum pause followed.
    const regains = new Emitter<void>()
    const reads: number[] = []
    let mode: 'up' | 'fails' | 'hangs' = 'up'
    const failingLog: KeyedLog = {
      ...delayedReads(),
      read: async (from, waitMs, givenUp) => {
        reads.push(clock.now)
        switch (mode) {
          case 'up': return await delayedReads().read(from, waitMs)
          case 'fails': return failure('logUnavailable', 'away')
          case 'hangs': return await new Promise((resolve) => { givenUp?.addEventListener('abort', () => { resolve(failure('commandUnknown', 'given up')) }) })
        }
      }
    }
    const followingTail = new KeyedTail({ log: failingLog, clock, metrics: noopMetrics, stateLog: noopStateLog, onRegained: regains.event }, { name: 't', pace: () => ({ type: 'long-polls', waitMs: 100, pauseMs: 0 }) }, { reset: () => undefined, apply: () => undefined })
    followingTail.start()
    await clock.advance(100)
    mode = 'fails'
    await clock.advance(4000)
    mode = 'hangs'
    await clock.advance(900)
    mode = 'up'
    const back = clock.now
    regains.fire()
    await clock.advance(1000)
    followingTail.dispose()
    expect((reads.find((at) => at >= back) ?? Number.POSITIVE_INFINITY) - back).to.be.at.most(100)
  })

  it('passes a record on once though both catchUp and the loop read it', async () => {
    tail.start()
    await clock.advance(50)
    log.write([record('a'), record('b')])
    expect(await tail.catchUp()).to.equal(true)
    expect(receivedKeys).to.deep.equal(['reset', 'a', 'b'])
    await clock.advance(100)
    expect(receivedKeys).to.deep.equal(['reset', 'a', 'b'])
  })

  it('does not report to have caught up while the store is unavailable', async () => {
    tail.start()
    await clock.advance(50)
    log.down = true
    expect(await tail.catchUp()).to.equal(false)
  })
})

describe('GroupAppender', () => {
  const clock = new ManualClock()
  let log: MemoryKeyedLog
  let appender: GroupAppender
  const keys = (): string[] => log.entries.map(({ key }) => key.split('/')[0] ?? '')

  beforeEach(() => {
    log = new MemoryKeyedLog()
    appender = new GroupAppender({ log, clock, chance: newSeededChance(1), metrics: noopMetrics }, { maxCallCharacters: 100 })
  })

  const append = (name: string, timeoutMs = 1000): ReturnType<GroupAppender['append']> => appender.append((nonce) => [record(`${name}/${nonce}`)], timeoutMs)

  it('batches appends that arrive while a call is in progress', async () => {
    const all = Promise.all(['a', 'b', 'c', 'd'].map(async (name) => await append(name)))
    await clock.advance(10)
    expect((await all).every(({ ok }) => ok)).to.equal(true)
    expect(log.appends).to.equal(2)
    expect(keys()).to.deep.equal(['a', 'b', 'c', 'd'])
  })

  it('keeps to the maximum size of a call', async () => {
    const big = Promise.all(['a', 'b', 'c'].map(async (name) => await appender.append(() => [record(name, 'x'.repeat(60))], 1000)))
    await clock.advance(10)
    await big
    expect(log.appends).to.equal(3)
  })

  it('writes again with another key after a lost answer', async () => {
    // Guards against two results that change positions after a restart: an append whose answer was lost was repeated with
    // the same key, and the later record replaced the earlier one and its position.
    log.loseAnswers = 1
    const done = append('a')
    await clock.advance(200)
    expect((await done).ok).to.equal(true)
    expect(log.entries).to.have.length(2)
    expect(new Set(log.entries.map(({ key }) => key)).size).to.equal(2)
  })

  it('reports that nothing was appended only if every attempt was refused', async () => {
    log.down = true
    const refused = append('a', 300)
    await clock.advance(500)
    expect(await refused).to.include({ ok: false, code: 'logUnavailable' })
    log.down = false
    log.delayAppends = 1
    const unknown = append('b', 50)
    await clock.advance(10)
    log.down = true
    await clock.advance(500)
    expect(await unknown).to.include({ ok: false, code: 'commandUnknown' })
  })
})

describe('RelayedKeyedLog', () => {
  const clock = new ManualClock()
  let direct: MemoryKeyedLog
  let relayedStore: MemoryKeyedLog
  let relayCalls: string[]
  let helpers: string[]
  let relayedLog: RelayedKeyedLog
  let helperIsSilent: boolean
  let reachability: StoreReachability

  const peers: Peers = {
    call: async <Method extends PeerMethod>(address: string, method: Method, parameters: PeerMethods[Method]['parameters']) => {
      relayCalls.push(`${address} ${method}`)
      if (helperIsSilent) return failure('unknownOutcome', 'no answer')
      if (method === 'store.append') return success(await relayedStore.append((parameters as PeerMethods['store.append']['parameters']).records)) as never
      if (method === 'store.read') return success(await relayedStore.read((parameters as PeerMethods['store.read']['parameters']).from)) as never
      return success(await relayedStore.newest(undefined)) as never
    }
  }

  beforeEach(() => {
    direct = new MemoryKeyedLog()
    relayedStore = new MemoryKeyedLog()
    relayCalls = []
    helpers = ['one', 'two', 'three']
    helperIsSilent = false
    reachability = new StoreReachability(clock, async () => !direct.down)
    relayedLog = new RelayedKeyedLog({ peers, helpers: () => helpers, reach: reachability, metrics: noopMetrics }, direct, 't')
  })

  it('calls no other host while the store answers', async () => {
    expect((await relayedLog.append([record('a')])).ok).to.equal(true)
    expect(relayCalls).to.deep.equal([])
  })

  it('appends and reads through another host when the store refuses', async () => {
    direct.down = true
    expect(await relayedLog.append([record('a')])).to.deep.equal({ ok: true, value: 0 })
    expect((await relayedLog.read(0, 100)).ok).to.equal(true)
    expect(relayCalls).to.deep.equal(['one store.append', 'one store.read'])
    expect(relayedStore.entries).to.have.length(1)
  })

  it('does not relay an append that may still be applied', async () => {
    // The caller repeats it with another key. Applied twice with one key, the record would change its position.
    direct.delayAppends = 1
    expect(await relayedLog.append([record('a')])).to.include({ code: 'commandUnknown' })
    expect(relayCalls).to.deep.equal([])
  })

  it('calls the store directly again as soon as a probe is answered, and notifies listeners', async () => {
    // Guards against a result that is listed only two seconds after the end of an outage, by when its host had lost power:
    // each call ran into its own timeout, also those begun just before the store came back.
    let notificationCount = 0
    reachability.onRegained(() => { notificationCount++ })
    direct.down = true
    await relayedLog.read(0, 100)
    await clock.advance(1000)
    await relayedLog.read(0, 100)
    expect([relayCalls.length, notificationCount]).to.deep.equal([2, 0])
    direct.down = false
    await clock.advance(200)
    expect(notificationCount).to.equal(1)
    await relayedLog.read(0, 100)
    expect(relayCalls).to.have.length(2)
  })

  it('calls at most two other hosts, and reports that nothing was appended if they are refused too', async () => {
    direct.down = true
    relayedStore.down = true
    expect(await relayedLog.append([record('a')])).to.include({ code: 'logUnavailable' })
    expect(relayCalls).to.deep.equal(['one store.append', 'two store.append'])
  })

  it('reports an unknown outcome if a relay host does not answer', async () => {
    direct.down = true
    helperIsSilent = true
    expect(await relayedLog.append([record('a')])).to.include({ code: 'commandUnknown' })
  })

  it('returns the failure of the store if there is no other host', async () => {
    direct.down = true
    helpers = []
    expect(await relayedLog.append([record('a')])).to.include({ code: 'logUnavailable' })
  })
})
