/** Load of a deployment of many hosts on the store and on the holder of the duty. It must not grow faster than the number of hosts. */

import { expect } from 'chai'
import { DutyLeaseManager } from '../../../src/actors/common/duties/dutyLeaseManager.ts'
import { StepTopic } from '../../../src/actors/common/store/stepTopic.ts'
import { toDisposable } from '../../../src/base/common/lifecycle.ts'
import type { HostRanking } from '../../../src/core/common/duties/dutyOrder.ts'
import { CANDIDATE_COUNT } from '../../../src/core/common/duties/dutyOrder.ts'
import { stepsPace } from '../../../src/core/common/steps/followPace.ts'
import type { KeyedLog } from '../../../src/ports/common/keyedLog.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'

const STORE_LATENCY_MS = 4
const USUAL_PAUSE_MS = 200

/** Hosts that share a store. Reads wait for records, like the long polls of the store. */
class Deployment {
  readonly log = new MemoryKeyedLog()
  readonly leases: DutyLeaseManager[] = []
  readonly topics: StepTopic[] = []
  readonly unresponsive = new Set<number>()
  claims = 0
  doubts = 0
  reads = 0

  constructor (private readonly clock: ManualClock, hosts: number, settled: boolean) {
    for (let rank = 0; rank < hosts; rank++) this.add(rank, { rank, hosts, converged: settled, small: rank >= hosts / 4 })
  }

  get holders (): number[] {
    return this.leases.flatMap((lease, rank) => lease.holds && !this.unresponsive.has(rank) ? [rank] : [])
  }

  dispose (): void {
    for (const item of [...this.leases, ...this.topics]) item.dispose()
  }

  /** One generator for all hosts, as generators with adjacent seeds start with similar values. */
  private readonly chance = newSeededChance(17)

  private add (rank: number, standing: HostRanking): void {
    const { clock } = this
    const log = this.createLog(rank)
    const topic = new StepTopic({ log, clock, metrics: noopMetrics, stateLog: noopStateLog, onRegained: () => toDisposable(() => undefined) }, { name: 't', pace: () => stepsPace(standing, { waitMs: 1000, pauseMs: USUAL_PAUSE_MS }) })
    const lease = new DutyLeaseManager({ source: topic, log, clock, chance: this.chance, stateLog: noopStateLog, doubt: () => { this.doubts++ }, isLost: () => false, candidacy: () => standing }, { duty: 'd', machine: `m${rank}`, holder: `m${rank}/1`, renewIntervalMs: 250, probeAfterMs: 600, leaseDurationMs: 1200, takeoverDelayMs: 3200 })
    lease.onClaim(() => { this.claims++ })
    this.topics.push(topic)
    this.leases.push(lease)
    topic.start()
  }

  private async sleep (milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => { this.clock.after(milliseconds, resolve) })
  }

  private createLog (rank: number): KeyedLog {
    return {
      append: async (records) => {
        await this.sleep(STORE_LATENCY_MS)
        // The call of an unresponsive host never returns, as if its packets were lost.
        return this.unresponsive.has(rank) ? await new Promise(() => undefined) : await this.log.append(records)
      },
      read: async (from, waitMs) => {
        this.reads++
        await this.sleep(STORE_LATENCY_MS)
        for (let waited = 0; waited < waitMs && this.log.entries.length <= from; waited += STORE_LATENCY_MS * 5) await this.sleep(STORE_LATENCY_MS * 5)
        return await this.log.read(from)
      },
      readSome: async (from, kilobytes) => await this.log.readSome(from, kilobytes),
      newest: async (after) => {
        await this.sleep(STORE_LATENCY_MS)
        return await this.log.newest(after)
      }
    }
  }
}

describe('a duty among many hosts', function () {
  this.timeout(120_000)

  for (const hosts of [12, 60, 195]) {
    it(`is claimed by few of ${hosts} hosts that start at once`, async () => {
      // Guards against claim storms: in a deployment of 195 hosts, 40 claimed within 12 ms, and 1,750 calls a second followed one
      // topic. All hosts drew their delay from the same range and read the topic as often as a candidate for the duty.
      const clock = new ManualClock()
      const deployment = new Deployment(clock, hosts, false)
      await clock.advance(2500)
      expect(deployment.holders).to.have.length(1)
      expect(deployment.claims, 'claims').to.be.at.most(6)
      deployment.dispose()
    })

    it(`is taken over within 2 s if the holder of ${hosts} hosts stops responding, with claims and probes by candidates only`, async () => {
      const clock = new ManualClock()
      const deployment = new Deployment(clock, hosts, true)
      await clock.advance(1500)
      const [first] = deployment.holders
      expect(first).to.equal(0)
      deployment.claims = 0
      deployment.reads = 0
      await clock.advance(8000)
      expect(deployment.reads / 8, 'reads per second').to.be.at.most(hosts <= 12 ? hosts * 5 : hosts / 0.9 + CANDIDATE_COUNT * 5)
      expect(deployment.reads / 8 / hosts, 'reads per second and host').to.be.at.most(hosts > 100 ? 1.25 : hosts > 12 ? 1.45 : 5)
      deployment.doubts = 0
      deployment.unresponsive.add(0)
      await clock.advance(2000)
      expect(deployment.holders).to.have.length(1)
      expect(deployment.claims, 'claims').to.be.at.most(CANDIDATE_COUNT)
      expect(deployment.doubts, 'probes: one by each candidate at each check').to.be.at.most(CANDIDATE_COUNT * 10)
      deployment.dispose()
    })

    it(`is taken over within 4 s if all candidates of ${hosts} hosts are lost at once`, async () => {
      const clock = new ManualClock()
      const deployment = new Deployment(clock, hosts, true)
      await clock.advance(1500)
      deployment.claims = 0
      for (let rank = 0; rank < CANDIDATE_COUNT; rank++) deployment.unresponsive.add(rank)
      await clock.advance(4000)
      expect(deployment.holders).to.have.length(1)
      // The unresponsive candidates claim without effect.
      expect(deployment.claims - (CANDIDATE_COUNT - 1), 'claims of others').to.be.at.most(6)
      deployment.dispose()
    })
  }
})
