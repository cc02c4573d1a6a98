/**
 * What following the topics costs a host among 30, 90 and 300, in calls to the store and in decoded entries, and how late a host
 * that reads at intervals may know of a change or of an outage. The hosts run in one process, with the topics as a host sets
 * them up, on a shared store in memory.
 */

import { expect } from 'chai'
import { CallerAuthenticator } from '../../../src/actors/common/identity/callerAuthenticator.ts'
import { RelayedKeyedLog } from '../../../src/actors/common/store/relayedKeyedLog.ts'
import { StoreReachability } from '../../../src/actors/common/store/storeReachability.ts'
import { DisposableStore } from '../../../src/base/common/lifecycle.ts'
import type { HostRanking } from '../../../src/core/common/duties/dutyOrder.ts'
import { CANDIDATE_COUNT } from '../../../src/core/common/duties/dutyOrder.ts'
import { claimRecord, renewalRecord } from '../../../src/core/common/steps/stepRecords.ts'
import type { FollowedTopics } from '../../../src/host/node/routed/followedTopics.ts'
import { createFollowedTopics } from '../../../src/host/node/routed/followedTopics.ts'
import type { KeyedLog } from '../../../src/ports/common/keyedLog.ts'
import { presentedKey } from '../../../platform/keys.ts'
import { registryProtocol } from '../../../platform/registry.ts'
import { configuration } from '../../platform/support/fleet.ts'
import { noopMetrics, noopStateLog, unreachablePeers } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'

const STEPS = 'steps'
const TARGETS = 45
const ENTRY_PERIOD_MS = 1200
const RENEWAL_PERIOD_MS = 250
const STORE_LATENCY_MS = 3
const PROBE_TIMEOUT_MS = 500
const storeSettings = { topic: STEPS, long_poll: 1000, read_pause: 200, registry_pause: 500 }

class Store {
  readonly topics = new Map<string, MemoryKeyedLog>()
  calls = 0
  records = 0
  /** Whether calls get no answer. */
  silent = false
  /** Topic whose next read gets no answer, as on a connection that has become silent. */
  silentRead: string | undefined
  private readonly waiting = new Map<string, Set<() => void>>()

  constructor (private readonly clock: ManualClock) {}

  topic (name: string): MemoryKeyedLog {
    const topic = this.topics.get(name) ?? new MemoryKeyedLog()
    this.topics.set(name, topic)
    return topic
  }

  put (name: string, key: string, value: object | undefined): void {
    this.write(name, [{ key, value: value === undefined ? undefined : JSON.stringify(value) }])
  }

  write (name: string, records: Parameters<MemoryKeyedLog['write']>[0]): void {
    this.topic(name).write(records)
    for (const wake of [...this.waiting.get(name) ?? []]) wake()
  }

  log (name: string): KeyedLog {
    const topic = this.topic(name)
    return {
      append: async (records) => await this.answer(async () => await topic.append(records)),
      newest: async (after) => await this.answer(async () => await topic.newest(after)),
      readSome: async (from, kilobytes) => await this.answer(async () => await topic.readSome(from, kilobytes)),
      read: async (from, waitMs) => {
        const isSilent = this.silentRead === name
        if (isSilent) this.silentRead = undefined
        return await this.answer(async () => {
          if (from >= topic.entries.length && waitMs > 0) await this.waitForRecords(name, waitMs)
          const page = await topic.read(from)
          if (page.ok && page.value.type === 'entries') this.records += page.value.entries.length
          return page
        }, isSilent)
      }
    }
  }

  private async answer<T> (call: () => Promise<T>, isSilent = false): Promise<T> {
    this.calls++
    if (this.silent || isSilent) return await new Promise(() => undefined)
    await this.sleep(STORE_LATENCY_MS)
    const result = await call()
    return this.silent ? await new Promise(() => undefined) : result
  }

  private async waitForRecords (name: string, waitMs: number): Promise<void> {
    const waiting = this.waiting.get(name) ?? new Set()
    this.waiting.set(name, waiting)
    await new Promise<void>((resolve) => {
      const done = (): void => {
        timer.dispose()
        waiting.delete(done)
        resolve()
      }
      const timer = this.clock.after(waitMs, done)
      waiting.add(done)
    })
  }

  private async sleep (milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => { this.clock.after(milliseconds, resolve) })
  }
}

interface Host {
  readonly topics: FollowedTopics
  readonly reachability: StoreReachability
}

class Deployment {
  readonly clock = new ManualClock()
  readonly store = new Store(this.clock)
  readonly hosts: Host[] = []
  private readonly disposables = new DisposableStore()
  private readonly details = new Map<number, object>()

  /** @param ranks ranks of the hosts that run; the deployment has `count` hosts */
  constructor (readonly count: number, ranks: readonly number[], private readonly targets = TARGETS) {
    this.store.put(registryProtocol.operatorTopic, 'config', configuration(1))
    for (let index = 0; index < targets; index++) this.putTarget(index, 0)
    this.store.write(STEPS, [claimRecord({ duty: 'steps', holder: 'm0/1', term: 1 }, 'n')])
    for (const rank of ranks) this.hosts.push(this.startHost({ rank, hosts: count, converged: true, small: false }))
  }

  get host (): Host {
    const [host] = this.hosts
    if (host === undefined) throw new Error('no host')
    return host
  }

  /** Writes the entry of a target; its later heartbeats keep the details. */
  putTarget (index: number, seq: number, details: object = this.details.get(index) ?? {}): void {
    this.details.set(index, details)
    this.store.put(registryProtocol.targetTopic, `target-${index}`, { service: 's', addr: `10.0.0.${index}:80`, zone: 'z', version: 'v1', slots: 6, state: 'ready', cold_left_ms: 0, seq, born: 5, ...details })
  }

  /** Writes heartbeats of the targets and renewals of the holder until disposed. */
  startWriting (): void {
    let seq = 1
    let target = 0
    let renewals = 0
    this.disposables.add(this.clock.every(ENTRY_PERIOD_MS / this.targets, () => {
      this.putTarget(target, seq)
      target = (target + 1) % this.targets
      if (target === 0) seq++
    }))
    this.disposables.add(this.clock.every(RENEWAL_PERIOD_MS, () => { this.store.write(STEPS, [renewalRecord({ duty: 'steps', holder: 'm0/1', term: 1 }, ++renewals)]) }))
  }

  /** Advances the time until a condition holds and returns how long that took. */
  async timeUntil (condition: () => boolean): Promise<number> {
    const startedAt = this.clock.now
    while (!condition() && this.clock.now - startedAt < 20_000) await this.clock.advance(10)
    return this.clock.now - startedAt
  }

  dispose (): void {
    this.disposables.dispose()
  }

  private async probe (): Promise<boolean> {
    return await new Promise((resolve) => {
      this.clock.after(PROBE_TIMEOUT_MS, () => { resolve(false) })
      this.store.log(STEPS).newest('~').then(({ ok }) => { resolve(ok) }, () => { resolve(false) })
    })
  }

  private startHost (standing: HostRanking): Host {
    const { clock } = this
    const metrics = noopMetrics
    const services = { clock, metrics, stateLog: noopStateLog }
    const reachability = this.disposables.add(new StoreReachability(clock, async () => await this.probe()))
    const relays = { peers: unreachablePeers, helpers: () => [], reach: reachability, metrics }
    const keyedLog = (name: string): KeyedLog => new RelayedKeyedLog(relays, this.store.log(name), name)
    const topics = createFollowedTopics({ settings: { store: storeSettings }, services, disposables: this.disposables } as never, { standing: { current: standing } } as never, { reachability, keyedLog } as never)
    topics.start()
    return { topics, reachability }
  }
}

async function costOf (count: number): Promise<{ calls: number, records: number, decoded: number }> {
  const decode = registryProtocol.target.bind(registryProtocol)
  let decoded = 0
  const deployment = new Deployment(count, Array.from({ length: count }, (_, rank) => rank))
  const { clock, store } = deployment
  Object.assign(registryProtocol, { target: (record: Parameters<typeof decode>[0]) => { decoded++; return decode(record) } })
  try {
    deployment.startWriting()
    await clock.advance(2500)
    const before = { calls: store.calls, records: store.records, decoded }
    await clock.advance(6000)
    const perHost = (number: number): number => number / 6 / count
    return { calls: perHost(store.calls - before.calls), records: perHost(store.records - before.records), decoded: perHost(decoded - before.decoded) }
  } finally {
    Object.assign(registryProtocol, { target: decode })
    deployment.dispose()
  }
}

describe('the cost of following the topics', function () {
  this.timeout(240_000)

  it('is flat from 30 to 300 hosts, and at most half of that of long polls', async () => {
    // Guards against a store and hosts that are busy with renewals and heartbeats: with long polls, this test
    // counts 7.0 calls a second and host among 30 hosts, 5.9 among 90 and 3.4 among 300, and 37 decoded entries.
    const costs = new Map<number, Awaited<ReturnType<typeof costOf>>>()
    for (const count of [30, 90, 300]) costs.set(count, await costOf(count))
    const measured = JSON.stringify([...costs])
    for (const { records, decoded } of costs.values()) {
      expect(records, measured).to.be.at.most(45)
      expect(decoded, measured).to.equal(0)
    }
    expect(costs.get(30)?.calls, measured).to.be.at.most(7 / 2)
    expect(costs.get(90)?.calls, measured).to.be.at.most(5.9 / 2)
    expect(costs.get(300)?.calls, measured).to.be.at.most(3.4)
    expect(costs.get(300)?.calls, measured).to.be.at.most(1.1 * (costs.get(30)?.calls ?? 0))
    if (process.env['HOST_COST_PRINT'] !== undefined) console.log(measured)
  })
})

describe('a host that reads at intervals', function () {
  this.timeout(60_000)
  let deployment: Deployment

  const start = async (count: number, rank: number, offsetMs = 0): Promise<Host> => {
    deployment = new Deployment(count, [rank], 2)
    deployment.startWriting()
    await deployment.clock.advance(4000 + offsetMs)
    return deployment.host
  }
  afterEach(() => { deployment.dispose() })

  for (const { count, boundMs } of [{ count: 12, boundMs: 2000 }, { count: 90, boundMs: 3000 }, { count: 300, boundMs: 3000 }]) {
    it(`uses a configuration and stops using a draining target within ${boundMs} ms among ${count} hosts, on a silent connection too`, async () => {
      for (const offsetMs of [0, 430, 890, 1370, 1730]) {
        for (const silentTopic of [undefined, registryProtocol.operatorTopic, registryProtocol.targetTopic]) {
          const { topics } = await start(count, 11, offsetMs)
          deployment.store.silentRead = silentTopic
          if (silentTopic !== undefined) await deployment.timeUntil(() => deployment.store.silentRead === undefined)
          deployment.store.put(registryProtocol.operatorTopic, 'config', configuration(2))
          deployment.putTarget(1, 7, { state: 'draining' })
          const inForceMs = await deployment.timeUntil(() => topics.operator.routes?.version === 2 && topics.targets.available('s').length === 1)
          expect(inForceMs, `${silentTopic ?? 'no silent read'} ${offsetMs}`).to.be.at.most(boundMs)
          deployment.dispose()
        }
      }
    })
  }

  it('knows a named version at once', async () => {
    for (const rank of [0, 20]) {
      const { topics } = await start(90, rank)
      deployment.store.put(registryProtocol.operatorTopic, 'version/m', { model: 'm', version: 4 })
      expect(await deployment.timeUntil(() => topics.operator.version('m')?.version === 4)).to.be.at.most(50)
      deployment.dispose()
    }
  })

  it('reads the steps at once while a caller waits, and when it is asked to read to the end', async () => {
    for (const offsetMs of [0, 300, 600]) {
      const { topics } = await start(90, 20, offsetMs)
      const waiting = topics.topic.readWithoutPause()
      await deployment.clock.advance(10)
      for (let renewal = 0; renewal < 4; renewal++) {
        const end = deployment.store.topic(STEPS).entries.length
        deployment.store.write(STEPS, [renewalRecord({ duty: 'steps', holder: 'm0/1', term: 1 }, 1000 + renewal)])
        expect(await deployment.timeUntil(() => topics.topic.position > end)).to.be.at.most(20)
      }
      waiting.dispose()
      await deployment.clock.advance(1500)
      const end = deployment.store.topic(STEPS).entries.length
      let caughtUp: boolean | undefined
      topics.topic.catchUp().then((read) => { caughtUp = read }, () => undefined)
      expect(await deployment.timeUntil(() => caughtUp === true && topics.topic.position >= end)).to.be.at.most(20)
      deployment.dispose()
    }
  })

  it('detects a silent store as soon as a host that reads with long polls, and reads at once when the store is back', async () => {
    // A long poll of 1 s is late after 1.2 s, and a probe then takes 0.35 s. Guards against intervals that delay the detection.
    for (const rank of [0, 20]) {
      for (const offsetMs of [0, 170, 430, 660, 890, 1130]) {
        const { topics, reachability } = await start(90, rank, offsetMs)
        deployment.store.silent = true
        expect(await deployment.timeUntil(() => !reachability.isReachable), `rank ${rank}, offset ${offsetMs}`).to.be.at.most(1570)
        await deployment.clock.advance(2000)
        expect([topics.operator.isLost, topics.topic.isLost]).to.deep.equal([true, true])
        deployment.store.silent = false
        deployment.putTarget(1, 9, { state: 'draining' })
        expect(await deployment.timeUntil(() => topics.targets.available('s').length === 1)).to.be.at.most(250)
        deployment.dispose()
      }
    }
  })

  it('accepts no key longer than the revocation bound after the last read of the configuration', async () => {
    const tenants = [{ name: 'w', api_keys: ['key-1'] }]
    const key = presentedKey(['authorization', 'Token key-1'])
    for (const isOutage of [false, true]) {
      const { topics } = await start(90, 20)
      const authenticator = new CallerAuthenticator({ operator: topics.operator, clock: deployment.clock }, { maxRevocationDelayMs: 4000 })
      const accepts = async (): Promise<boolean> => {
        let accepted: boolean | undefined
        authenticator.authenticate(key, false).then((caller) => { accepted = caller.ok }, () => undefined)
        await deployment.timeUntil(() => accepted !== undefined)
        return accepted === true
      }
      deployment.store.put(registryProtocol.operatorTopic, 'config', { ...configuration(2), tenants })
      await deployment.clock.advance(100)
      for (let tenth = 0; tenth < 50; tenth++) {
        expect(await accepts(), 'a valid key, at any time between two reads').to.equal(true)
        await deployment.clock.advance(100)
      }
      deployment.store.silent = isOutage
      deployment.store.put(registryProtocol.operatorTopic, 'config', { ...configuration(3), tenants: [] })
      const revokedAt = deployment.clock.now
      while (await accepts()) await deployment.clock.advance(50)
      expect(deployment.clock.now - revokedAt).to.be.at.most(isOutage ? 5000 : 100)
      deployment.dispose()
    }
  })

  it('reads the targets at once when something begins to depend on them', async () => {
    const { topics } = await start(300, CANDIDATE_COUNT)
    deployment.putTarget(1, 9, { state: 'draining' })
    topics.targetTopic.endPause()
    expect(await deployment.timeUntil(() => topics.targets.available('s').length === 1)).to.be.at.most(50)
  })
})
