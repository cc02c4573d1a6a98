/** Placement of requests on targets that report how slowly they work, by replays of many hosts without network. */

import { expect } from 'chai'
import { TargetPlacement, chooseFrom } from '../../../src/actors/common/routes/targetPlacement.ts'
import type { ChoiceServices } from '../../../src/actors/common/routes/targetPlacement.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { createHash } from '../../../src/adapters/node/xxHash.ts'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import type { LoadReport } from '../../../src/core/common/routes/target.ts'
import type { Hash } from '../../../src/ports/common/hash.ts'
import { noopStateLog } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import type { PlacementReplayOptions, PlacementReplayResult } from '../../support/placementReplay.ts'
import { fractionInTime, lookUp, replayPlacement, score } from '../../support/placementReplay.ts'
import { newTargetDefinition } from '../../support/routes.ts'

const HOSTS = 73
const SLOTS = 6
const SEEDS = [1, 2, 3]
const LOOK_UP_MS = 30
const SLOW_FACTOR = 2.5
const NOISE = { fraction: 0.15, factor: SLOW_FACTOR, periodMs: 600 }
const deployment = { hosts: HOSTS, slots: SLOTS, queue: 24, noise: NOISE, keepAliveMs: 5000, warmUpMs: 5000, durationMs: 15_000 }
/** Requests per second that three targets answer of which one is slow, with the noise. */
const CAPACITY = (2 + 1 / SLOW_FACTOR) * SLOTS / LOOK_UP_MS * 1000 / (1 - NOISE.fraction + NOISE.fraction * SLOW_FACTOR)

async function replaySeeds (options: Omit<PlacementReplayOptions, 'seed'>, seeds: readonly number[] = SEEDS): Promise<PlacementReplayResult[]> {
  const replays: PlacementReplayResult[] = []
  for (const seed of seeds) replays.push(await replayPlacement({ ...options, seed }))
  return replays
}

function sumOf (replays: readonly PlacementReplayResult[], value: (replay: PlacementReplayResult) => number): number {
  return replays.reduce((sum, replay) => sum + value(replay), 0)
}

const connectionsPerSend = (replays: readonly PlacementReplayResult[]): number => sumOf(replays, ({ connections }) => connections) / sumOf(replays, ({ sends }) => sends)
const inTime = (replays: readonly PlacementReplayResult[], route = lookUp): number => fractionInTime(replays.flatMap(({ results }) => results), route)

describe('requests of many hosts to three targets of which one is slow', function () {
  this.timeout(60_000)
  const loaded = { ...deployment, reportIntervalMs: 400, targetPaces: [1, 1, SLOW_FACTOR], calls: [{ route: lookUp, workMs: LOOK_UP_MS, perSecond: CAPACITY * 0.75 }] }

  it('are answered in time at three quarters of the capacity', async () => {
    // Guards against targets whose queues fill up because all hosts send to the one that was idle in the last report,
    // and because late requests are sent twice although the load explains why they are late.
    const replays = await replaySeeds({ ...loaded, reportsSlowdown: true })
    expect(inTime(replays)).to.be.at.least(0.95)
    const former = await replaySeeds({ ...loaded, reportsSlowdown: false })
    expect(inTime(former)).to.be.below(0.94)
    // Each hedge opens a connection, and most hedges of loaded targets only add to the load.
    const sendsPerCall = (each: readonly PlacementReplayResult[]): number => sumOf(each, ({ sends }) => sends) / sumOf(each, ({ results }) => results.length)
    expect(sendsPerCall(replays)).to.be.below(1.05)
    expect(sendsPerCall(former)).to.be.above(1.2)
  })

  it('avoid a slow target that always reports its usual speed', async () => {
    // Guards against a false figure that is believed: the measured pace corrects it.
    const [replay] = await replaySeeds({ ...loaded, reportsSlowdown: true, falseSlowdowns: { 2: 1 }, noise: { ...NOISE, fraction: 0 }, calls: [{ route: lookUp, workMs: LOOK_UP_MS, perSecond: 100 }] }, [1])
    const [first = 0, second = 0, slow = 0] = replay?.taken ?? []
    expect(slow).to.be.below(0.25 * (first + second + slow))
    expect(inTime(replay === undefined ? [] : [replay])).to.be.at.least(0.99)
  })

  it('are answered in time by hosts that hear of targets only with their own answers', async () => {
    // Reports are stale most of the time then: a host has about four requests per second.
    const { reportIntervalMs: _, ...unheard } = loaded
    expect(inTime(await replaySeeds({ ...unheard, reportsSlowdown: true }))).to.be.at.least(inTime(await replaySeeds({ ...unheard, reportsSlowdown: false })) + 0.02)
  })
})

describe('connections to three targets at 0.12 requests per second and host', function () {
  this.timeout(60_000)
  const idle = { ...deployment, targetPaces: [1, 1, 1], warmUpMs: 60_000, durationMs: 120_000, calls: [{ route: lookUp, workMs: LOOK_UP_MS, perSecond: 0.12 * HOSTS }] }

  it('are opened half as often as before if targets keep idle ones for 20 seconds', async () => {
    // Guards against a connection for nearly every request: each host used all targets in turn, and all its connections expired in between.
    const options = { ...idle, keepAliveMs: 20_000 }
    const present = await replaySeeds({ ...options, reportsSlowdown: true })
    const former = await replaySeeds({ ...options, reportsSlowdown: false })
    expect(connectionsPerSend(present)).to.be.at.most(connectionsPerSend(former) / 2)
    expect(inTime(present)).to.be.at.least(0.99)
  })

  it('are opened no more often than a single connection of each host would expire, if targets keep idle ones for 5 seconds', async () => {
    // Without requests of its own, a host cannot do better: between two requests more than four seconds pass with this probability.
    const present = await replaySeeds({ ...idle, reportsSlowdown: true })
    expect(connectionsPerSend(present)).to.be.at.most(Math.exp(-0.12 * 4) + 0.03)
    expect(connectionsPerSend(present)).to.be.below(connectionsPerSend(await replaySeeds({ ...idle, reportsSlowdown: false })))
  })

  it('are shared fairly: no target is left out, beside one host that sends many background calls', async () => {
    const calls = [...idle.calls, { route: score, workMs: 43, perSecond: 72, hosts: 1, background: true }]
    const replays = await replaySeeds({ ...idle, warmUpMs: 10_000, durationMs: 30_000, reportsSlowdown: true, calls }, [1])
    for (const taken of replays[0]?.taken ?? [0]) expect(taken).to.be.within(600, 1000)
    expect([inTime(replays), inTime(replays, score)].every((fraction) => fraction >= 0.99)).to.equal(true)
  })
})

describe('hosts that have received the same reports', () => {
  let hash: Hash
  before(async () => { hash = await createHash() })

  /** Lets each host choose once, after it has received the reports of all targets; returns the number of choices of each target. */
  function choices (reports: readonly LoadReport[], mechanisms = allMechanisms): number[] {
    const counts = reports.map(() => 0)
    // The first numbers of generators with consecutive seeds are alike, so that all hosts draw from one.
    const chance = newSeededChance(1)
    for (let index = 0; index < HOSTS; index++) {
      const clock = new ManualClock()
      const table = new TargetTable({ clock, stateLog: noopStateLog })
      reports.forEach((report, target) => {
        table.set(newTargetDefinition({ id: `t${target}` }))
        table.get(`t${target}`)?.recordLoad(report)
      })
      const placement = new TargetPlacement({ hash, client: { hasIdleConnection: () => false }, machine: `h${index}`, liveHosts: () => HOSTS })
      const services: ChoiceServices = { clock, chance, place: 'here', mechanisms, placement }
      const known = table.available('s')
      const chosen = chooseFrom(services, known, known, true)
      const target = Number(chosen?.definition.id.slice(1))
      counts[target] = (counts[target] ?? 0) + 1
    }
    return counts
  }

  const reportOf = (running: number, slowdown?: number): LoadReport => ({ running, waiting: 0, slots: SLOTS, ...(slowdown === undefined ? {} : { slowdown }) })

  it('spread their requests', () => {
    // Guards against 73 requests at a target of 6 slots because it alone was idle in the report that all hosts have.
    expect(choices([reportOf(0), reportOf(2), reportOf(2)])).to.deep.equal([HOSTS, 0, 0])
    const spread = choices([reportOf(0, 1), reportOf(2, 1), reportOf(2, 1)])
    expect(Math.max(...spread)).to.be.at.most(HOSTS * 0.6)
    expect(Math.min(...spread)).to.be.at.least(HOSTS * 0.1)
  })

  it('spread them over more targets too, and use few at which work takes long', () => {
    const spread = choices([0, 0, 0, 0, 0].map((running, index) => reportOf(running, index === 0 ? SLOW_FACTOR : 1)))
    expect(Math.max(...spread)).to.be.at.most(HOSTS * 0.4)
    expect(spread[0]).to.be.below(HOSTS * 0.1)
  })

  it('are served as before if no target reports a slowdown, whatever the mechanisms', () => {
    const reports = [reportOf(1), reportOf(0), reportOf(2)]
    expect(choices(reports)).to.deep.equal([0, HOSTS, 0])
    expect(choices(reports, { ...allMechanisms, target_subset: false, target_slowdown: false })).to.deep.equal([0, HOSTS, 0])
  })
})

describe('a host with an open connection', () => {
  it('uses its target unless another is expected to be twice as fast, or a new connection is needed', async () => {
    const hash = await createHash()
    const clock = new ManualClock()
    const table = new TargetTable({ clock, stateLog: noopStateLog })
    for (const id of ['a', 'b']) {
      table.set(newTargetDefinition({ id, address: id }))
      table.get(id)?.recordAnswerTime(30)
    }
    table.get('a')?.recordLoad({ running: 0, waiting: 0, slots: SLOTS, slowdown: 1 })
    const placement = new TargetPlacement({ hash, client: { hasIdleConnection: (address) => address === 'b' }, machine: 'h', liveHosts: () => HOSTS })
    const chance = newSeededChance(1)
    const countA = (reusesConnection: boolean): number => Array.from({ length: 100 }, () => chooseFrom({ clock, chance, place: 'here', mechanisms: allMechanisms, placement }, table.available('s'), table.available('s'), reusesConnection)).filter((target) => target?.definition.id === 'a').length
    expect(countA(true)).to.equal(0)
    expect(countA(false)).to.be.within(30, 70)
    table.get('b')?.recordLoad({ running: 0, waiting: 0, slots: SLOTS, slowdown: SLOW_FACTOR })
    expect(countA(true)).to.be.above(50)
    table.get('b')?.recordLoad({ running: 0, waiting: 0, slots: SLOTS, slowdown: 1 })
    table.get('b')?.recordFailure()
    expect(countA(true)).to.equal(100)
  })
})
