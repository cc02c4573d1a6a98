/** One holder at a time, and no exclusive actions by two hosts, on a manual clock. */

import { expect } from 'chai'
import { DutyLeaseManager } from '../../../src/actors/common/duties/dutyLeaseManager.ts'
import { StepTopic } from '../../../src/actors/common/store/stepTopic.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { toDisposable } from '../../../src/base/common/lifecycle.ts'
import { failure } from '../../../src/base/common/resultCode.ts'
import type { HostRanking } from '../../../src/core/common/duties/dutyOrder.ts'
import type { KeyedLog } from '../../../src/ports/common/keyedLog.ts'

const settings = { duty: 'd', renewIntervalMs: 250, probeAfterMs: 600, leaseDurationMs: 1200, takeoverDelayMs: 3200 }

/** A host with its own connection to the store. */
class Host {
  readonly topic: StepTopic
  readonly lease: DutyLeaseManager
  cut = false
  /** Interval at which this host reads the topic, in milliseconds. */
  pollMs = 10
  readonly standing: HostRanking

  constructor (readonly name: string, clock: ManualClock, log: MemoryKeyedLog, seed: number, lost: Set<string>, life = 1) {
    // Hosts that have run for a while know each other, so each has its own rank.
    this.standing = { rank: seed % 3, hosts: 3, converged: true, small: false }
    const hostLog: KeyedLog = {
      append: async (records) => this.cut ? failure('logUnavailable', 'cut') : await log.append(records),
      readSome: async (from, kilobytes) => this.cut ? failure('logUnavailable', 'cut') : await log.readSome(from, kilobytes),
      newest: async (after) => this.cut ? failure('logUnavailable', 'cut') : await log.newest(after),
      read: async (from, waitMs) => {
        if (waitMs > 0) await new Promise<void>((resolve) => { clock.after(this.pollMs, resolve) })
        return this.cut ? failure('logUnavailable', 'cut') : await log.read(from)
      }
    }
    this.topic = new StepTopic({ log: hostLog, clock, metrics: noopMetrics, stateLog: noopStateLog, onRegained: () => toDisposable(() => undefined) }, { name: 't', pace: () => ({ type: 'long-polls', waitMs: 1000, pauseMs: 0 }) })
    this.lease = new DutyLeaseManager({ source: this.topic, log: hostLog, clock, chance: newSeededChance(seed), stateLog: noopStateLog, doubt: () => undefined, isLost: (holder) => lost.has(holder), candidacy: () => this.standing }, { ...settings, machine: name, holder: `${name}/${life}` })
    this.topic.start()
  }

  dispose (): void {
    this.lease.dispose()
    this.topic.dispose()
  }
}

describe('a duty', () => {
  let clock: ManualClock
  let log: MemoryKeyedLog
  let lost: Set<string>
  let hosts: Host[]

  beforeEach(async () => {
    clock = new ManualClock()
    log = new MemoryKeyedLog()
    lost = new Set()
    hosts = ['one', 'two', 'three'].map((name, index) => new Host(name, clock, log, index + 1, lost))
    await clock.advance(1000)
  })
  afterEach(() => { for (const host of hosts) host.dispose() })

  const holders = (): Host[] => hosts.filter(({ lease }) => lease.holds)
  const holder = (): Host => {
    const [first] = holders()
    if (first === undefined) throw new Error('no host holds the duty')
    return first
  }
  const exclusiveHosts = (): string[] => hosts.filter(({ lease }) => lease.alone).map(({ name }) => name)

  it('has one holder, which may act immediately if there was no former holder', () => {
    expect(holders()).to.have.length(1)
    expect(exclusiveHosts()).to.deep.equal([holder().name])
  })

  it('is held as soon as the claim is written, after the claim was announced', async () => {
    // Guards against a takeover that takes 0.1 s longer than necessary after all hosts were lost: the new holder learned of its
    // own claim at its next regular read of the topic, and only then started to read the data that it needs.
    const first = holder()
    const others = hosts.filter((host) => host !== first)
    const told: number[] = []
    const held: number[] = []
    for (const host of others) {
      host.pollMs = 120
      host.lease.onClaim(() => { told.push(clock.now) })
      host.lease.onChange(() => { if (host.lease.holds) held.push(clock.now) })
    }
    await first.lease.release()
    await clock.advance(2000)
    expect(held).to.have.length(1)
    expect((held[0] ?? 0) - (told[0] ?? 0)).to.be.within(0, 20)
  })

  it('moves to another host when its holder is partitioned, and never lets two hosts act exclusively', async () => {
    const first = holder()
    first.cut = true
    let firstAloneUntil = clock.now
    let secondAloneFrom = 0
    for (let step = 0; step < 800; step++) {
      await clock.advance(10)
      const acting = exclusiveHosts()
      expect(acting.length).to.be.lessThan(2)
      if (acting.includes(first.name)) firstAloneUntil = clock.now
      else if (acting.length === 1 && secondAloneFrom === 0) secondAloneFrom = clock.now
    }
    expect(secondAloneFrom - firstAloneUntil).to.be.at.least(3000)
    expect(secondAloneFrom - firstAloneUntil).to.be.at.most(5000)
  })

  it('moves sooner to another host when the holder is known to be gone, with the same takeover delay', async () => {
    const first = holder()
    first.cut = true
    const cutAt = clock.now
    lost.add(`${first.name}/1`)
    while (holders().filter((host) => host !== first).length === 0) await clock.advance(10)
    expect(clock.now - cutAt).to.be.at.most(1250)
    const second = holders().find((host) => host !== first)
    while (second?.lease.alone !== true) await clock.advance(10)
    expect(clock.now - cutAt).to.be.at.least(settings.leaseDurationMs + settings.takeoverDelayMs - settings.renewIntervalMs)
  })

  it('stays with its holder during an outage of the store', async () => {
    const first = holder()
    log.down = true
    await clock.advance(6000)
    expect(exclusiveHosts()).to.deep.equal([])
    log.down = false
    await clock.advance(1000)
    expect(holders().map(({ name }) => name)).to.deep.equal([first.name])
    expect(exclusiveHosts()).to.deep.equal([first.name])
  })

  it('is claimed immediately when its holder releases it', async () => {
    const first = holder()
    await first.lease.release()
    await clock.advance(500)
    expect(holders().map(({ name }) => name)).to.not.include(first.name)
    expect(holders()).to.have.length(1)
  })

  it('does not let a holder act that resumes after another one took over', async () => {
    // Guards against an engine that follows two holders in turn: the first was frozen, the second took over, and the first sent
    // an order from before the freeze as soon as it resumed.
    const first = holder()
    first.cut = true
    await clock.advance(6000)
    expect(first.lease.alone).to.equal(false)
    first.cut = false
    for (let step = 0; step < 50; step++) {
      await clock.advance(10)
      expect(first.lease.alone).to.equal(false)
    }
    expect(first.lease.holds).to.equal(false)
  })

  it('is resumed without a takeover delay by the machine that held it when all hosts were restarted', async () => {
    // Guards against engines that keep old weights for five seconds after a power loss of all machines: another machine took
    // over the duty and had to wait until no order of the former holder could be in transit.
    const former = holder().name
    for (const host of hosts) host.dispose()
    hosts = ['one', 'two', 'three'].map((name, index) => new Host(name, clock, log, index + 10, lost, 2))
    await clock.advance(600)
    expect(exclusiveHosts()).to.deep.equal([former])
  })

  it('does not accumulate claims of former terms in the store', async () => {
    for (let turn = 0; turn < 3; turn++) {
      const first = holder()
      first.cut = true
      await clock.advance(3000)
      first.cut = false
      await clock.advance(500)
    }
    expect(log.newestEntries().filter(({ key }) => key.startsWith('claim/')).length).to.be.at.most(2)
  })
})
