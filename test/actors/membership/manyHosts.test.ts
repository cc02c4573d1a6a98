/** Tests the membership calls between many hosts, which run in one process. */

import { expect } from 'chai'
import { start } from 'nact'
import { Membership } from '../../../src/actors/common/membership/membership.ts'
import { createHash } from '../../../src/adapters/node/xxHash.ts'
import { asHostId, asFailureDomain } from '../../../src/base/common/ids.ts'
import type { Result } from '../../../src/base/common/resultCode.ts'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import { MEMBERSHIP_CONVERGENCE_MS } from '../../../src/core/common/duties/dutyOrder.ts'
import type { Hash } from '../../../src/ports/common/hash.ts'
import type { PeerHandlers, Peers } from '../../../src/ports/common/peers.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'

/** Time for which a leaving host still serves requests, less the time for which callers keep an address, in milliseconds. */
const ANNOUNCEMENT_DEADLINE_MS = 5500 - 2000

/** Time for which an idle connection to another host is kept: the server's 30 s, less the client's margin of 2 s. */
const KEPT_CONNECTION_MS = 28_000

/** Callers arrive 16 s after the hosts of a deployment start. */
const LOADS_KNOWN_WITHIN_MS = 12_000

class Cluster {
  readonly hosts: Membership[] = []
  callCount = 0
  /** Calls for which no connection to the other host was kept, as the last call to it was too long ago. */
  newConnections = 0
  private readonly lastCallAt = new Map<string, number>()
  /** Hosts that neither answer nor refuse calls. */
  readonly silent = new Set<string>()
  private readonly handlers = new Map<string, (parameters: never) => Promise<unknown>>()
  private readonly chance = newSeededChance(5)

  constructor (private readonly clock: ManualClock, private readonly hash: Hash, count: number) {
    for (let index = 0; index < count; index++) this.add(index)
  }

  countKnowingAs (host: string, status: string): number {
    return this.hosts.filter((membership, index) => !this.silent.has(`http://h${index}`) && membership.members().some((member) => member.host === host && member.status === status)).length
  }

  dispose (): void {
    for (const host of this.hosts) host.dispose()
  }

  /** Returns how long it takes until a number of hosts suspect a host that stops answering, or know it as dead. */
  async timeUntilSuspected (index: number, count: number): Promise<number> {
    const stoppedAt = this.clock.now
    this.silent.add(`http://h${index}`)
    this.hosts[index]?.dispose()
    const name = `h${index}/a`
    while (this.countKnowingAs(name, 'suspect') + this.countKnowingAs(name, 'dead') < count) await this.clock.advance(50)
    return this.clock.now - stoppedAt
  }

  private noteConnection (from: string, to: string): void {
    const pair = `${from} ${to}`
    if (this.clock.now - (this.lastCallAt.get(pair) ?? Number.NEGATIVE_INFINITY) > KEPT_CONNECTION_MS) this.newConnections++
    this.lastCallAt.set(pair, this.clock.now)
  }

  private add (index: number): void {
    const address = `http://h${index}`
    const peers: Peers = {
      call: async (to: string, method: string, parameters: unknown): Promise<Result<never>> => {
        this.callCount++
        this.noteConnection(address, to)
        await new Promise<void>((resolve) => { this.clock.after(this.silent.has(to) || this.silent.has(address) ? 250 : 2, resolve) })
        if (this.silent.has(to) || this.silent.has(address)) return failure('unknownOutcome', 'no answer')
        const handler = this.handlers.get(`${to} ${method}`)
        return handler === undefined ? failure('targetUnreachable', 'nobody') : success(await handler(parameters as never) as never)
      }
    } as Peers
    const handlers: PeerHandlers = { handle: (method, handler) => { this.handlers.set(`${address} ${method}`, handler as never) } }
    this.hosts.push(new Membership({ system: start(), peers, handlers, clock: this.clock, chance: this.chance, hash: this.hash, metrics: noopMetrics, stateLog: noopStateLog }, {
      seeds: ['http://h0', 'http://h1', 'http://h2'].filter((seed) => seed !== address), probePeriodMs: 500, probeTimeoutMs: 250, indirect: 2, suspicionMs: 1500, forgetMs: 600_000, fullExchangeIntervalMs: 10_000
    }, { host: asHostId(`h${index}/a`), address, place: asFailureDomain(`p${index % 5}`) }))
  }
}

describe('many hosts', function () {
  this.timeout(120_000)
  let hash: Hash
  before(async () => { hash = await createHash() })

  for (const count of [12, 60, 195]) {
    it(`know each other soon after ${count} of them start, and a leaving host notifies a bounded number of them itself`, async () => {
      // Guards against a call storm: a rolling restart of 195 hosts took 38,000 calls between hosts, as each leaving host notified all
      // others. The notified hosts disseminate the update with their probes; all must know it before the leaving host stops serving.
      const clock = new ManualClock()
      const cluster = new Cluster(clock, hash, count)
      await clock.advance(MEMBERSHIP_CONVERGENCE_MS)
      const knownCounts = cluster.hosts.map((host) => host.available().length).sort((a, b) => a - b)
      expect(knownCounts[0], 'fewest hosts known to a host when it counts as settled').to.be.at.least(count * 2 / 3)
      expect(knownCounts[count / 2 | 0], 'median number of known hosts').to.equal(count)
      await clock.advance(5000)
      expect(Math.min(...cluster.hosts.map((host) => host.available().length)), 'fewest hosts known to a host').to.equal(count)
      cluster.callCount = 0
      cluster.hosts[3]?.leave()
      expect(cluster.callCount, 'calls of the leaving host').to.be.at.most(24)
      await clock.advance(ANNOUNCEMENT_DEADLINE_MS)
      expect(cluster.countKnowingAs('h3/a', 'leaving'), 'hosts that know of the leaving host').to.equal(count)
      expect(cluster.callCount / count / (ANNOUNCEMENT_DEADLINE_MS / 1000), 'calls per second and host').to.be.at.most(2.5 + 24 / count)
      cluster.dispose()
    })
  }

  for (const count of [30, 90, 300]) {
    it(`know the loads of all ${count} hosts soon after they start, and changes of a load within seconds`, async () => {
      // Guards against hosts that receive no callers: an address answer lists only hosts whose load is known, and a host probes its neighbours only.
      const clock = new ManualClock()
      const cluster = new Cluster(clock, hash, count)
      const loads = cluster.hosts.map(() => 0)
      cluster.hosts.forEach((host, index) => { host.setProbePayload({ offset: () => 0, load: () => loads[index] ?? 0, reachesStore: () => true, pressures: () => ({}) }) })
      const countKnowing = (load: number): number => cluster.hosts.filter((host) => host.loadOf(asHostId('h3/a')) === load).length
      await clock.advance(LOADS_KNOWN_WITHIN_MS)
      for (const host of cluster.hosts) expect(host.available().filter((member) => host.loadOf(member.host) === undefined)).to.deep.equal([])
      loads[3] = 0.5
      await clock.advance(LOADS_KNOWN_WITHIN_MS)
      expect(countKnowing(0.5), 'hosts that know the present load').to.equal(count)
      cluster.dispose()
    })
  }

  for (const { count, lost } of [{ count: 30, lost: [5, 9, 13, 17, 21, 25] }, { count: 90, lost: [5, 13, 21, 29, 37, 45] }, { count: 300, lost: [5, 13] }]) {
    it(`suspect a lost host of ${count} within 2 s on average, and open few connections`, async () => {
      // Guards against the cost of connections: with probes of all others in turn, nearly each probe among 90 hosts found its
      // connection closed. Guards also against late detection, as a host is now probed by its neighbours only.
      const clock = new ManualClock()
      const cluster = new Cluster(clock, hash, count)
      await clock.advance(30_000)
      cluster.newConnections = 0
      cluster.callCount = 0
      await clock.advance(10_000)
      const [calls, connections] = [cluster.callCount, cluster.newConnections].map((number) => number / 10 / count)
      expect(calls, 'calls per second and host').to.be.at.most(2.1)
      expect(connections, 'new connections per second and host').to.be.at.most(0.15)
      const detectionMs: number[] = []
      for (const index of lost) {
        detectionMs.push(await cluster.timeUntilSuspected(index, 1))
        await clock.advance(2500)
        expect(cluster.countKnowingAs(`h${index}/a`, 'alive'), 'hosts that still take it for alive').to.be.at.most(count / 10)
      }
      expect(detectionMs.reduce((sum, ms) => sum + ms, 0) / lost.length, `mean of ${detectionMs.join(' ')} ms`).to.be.at.most(2000)
      cluster.dispose()
    })
  }
})
