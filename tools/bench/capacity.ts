/**
 * Slopes for docs/CAPACITY.md: what the fold costs by record and by thing kept, what admission costs
 * by grants held, and what a resting host costs by number of hosts.
 */

import { asHostId, asTargetName } from '../../src/base/common/ids.ts'
import type { FoldState } from '../../src/core/common/fold/fold.ts'
import { emptyState, foldEntry, snapshot } from '../../src/core/common/fold/fold.ts'
import type { ControlRecord } from '../../src/core/common/fold/records.ts'
import { encodeEnvelope } from '../../src/core/common/fold/records.ts'
import type { AcquireRequest } from '../../src/core/common/routing/shardAdmission.ts'
import { ShardAdmission } from '../../src/core/common/routing/shardAdmission.ts'
import { call, keys } from '../../test/support/hostProcess.ts'
import { startPlatform } from '../../test/support/platform.ts'
import { claim, command, outcome, pull, sampleOf, samples, stateWithSubscription, submit } from '../../test/support/records.ts'
import { usageOf } from './processUsage.ts'
import type { Experiment } from './report.ts'

const RECORDS = 20_000
/** As many targets as letter 1's size has accelerators: each is checked against all of its pool. */
const TARGETS = 2400
const RESTING_SECONDS = 8
/** Time for the news of the start to have gone round. */
const SETTLE_MS = 15_000
const HOST_COUNTS = [4, 12, 24, 48] as const

interface RecordCost { readonly kind: string, readonly microsecondsEach: number, readonly charactersEach: number, readonly heapBytesEach: number }

function target (index: number): ControlRecord {
  return command({ verb: 'create', kind: 'target', name: `target-${index}`, properties: { pool: 'drafter', address: `http://10.0.${Math.floor(index / 250)}.${index % 250}:8000`, place: `place-${index % 4}`, slots: 16 } })
}

function measureRecords (kind: string, make: (index: number) => ControlRecord, prepare: (state: FoldState) => void = () => undefined, count = RECORDS): RecordCost {
  const state = stateWithSubscription()
  prepare(state)
  const entries = Array.from({ length: count }, (_, index) => encodeEnvelope([make(index)]))
  const characters = entries.reduce((sum, entry) => sum + entry.length, 0) / count
  globalThis.gc?.()
  const heap = process.memoryUsage().heapUsed
  const began = performance.now()
  for (const entry of entries) foldEntry(state, state.offset, entry)
  const elapsed = performance.now() - began
  globalThis.gc?.()
  const grown = process.memoryUsage().heapUsed - heap
  return { kind, microsecondsEach: Math.round(elapsed * 1000 / count), charactersEach: Math.round(characters), heapBytesEach: Math.round(grown / count) }
}

function recordCosts (): RecordCost[] {
  const pool = (state: FoldState): void => { foldEntry(state, state.offset, encodeEnvelope([command({ verb: 'set', kind: 'pool', name: 'drafter', properties: { copies: 100_000 } })])) }
  return [
    measureRecords('target', target, pool, TARGETS),
    measureRecords('claim', (index) => claim(`request-${index}`, `attempt-${index}-0123456789abcdef`)),
    measureRecords('claim and outcome', (index) => index % 2 === 0 ? claim(`request-${index}`, `attempt-${index}`) : outcome(`request-${index - 1}`, `attempt-${index - 1}`)),
    measureRecords('submit of 8', (index) => submit(`group-${index}`, 8)),
    measureRecords('8 samples', (index) => samples(...Array.from({ length: 8 }, (_, slot) => sampleOf(`group-${index}`, slot, 1))), (state) => { for (let index = 0; index < RECORDS; index++) foldEntry(state, state.offset, encodeEnvelope([submit(`group-${index}`, 8)])) }),
    measureRecords('pull', (index) => pull(index, 1, 512)),
    measureRecords('change of a lane', (index) => command({ verb: 'set', kind: 'lane', name: 'desk', properties: { priority: index % 9 } }), (state) => { foldEntry(state, state.offset, encodeEnvelope([command({ verb: 'create', kind: 'lane', name: 'desk', properties: { pool: 'drafter' } })])) })
  ]
}

/** Microseconds for one grant and its release, by the number of grants held meanwhile. */
function admissionCosts (): { held: number, microseconds: number }[] {
  return [8, 64, 256, 1024].map((held) => {
    const shard = new ShardAdmission()
    const targets = Math.ceil(held / 8) + 1
    shard.setTargets(Array.from({ length: targets }, (_, index) => ({ name: asTargetName(`t${index}`), address: 'http://t', slots: 8, available: true })), 0)
    let next = 0
    const request = (): AcquireRequest => ({ grant: `g${next++}`, holder: asHostId('h'), workClass: 'interactive', priority: 1, flow: 'desk', share: 1, caller: 'c', callerLimit: 100_000, maximumWaitMs: 1000, exclude: [] })
    for (let index = 0; index < held; index++) shard.acquire(request(), 0)
    const rounds = 2000
    const began = performance.now()
    for (let round = 0; round < rounds; round++) {
      const one = request()
      shard.acquire(one, round)
      shard.release(one.grant, round)
    }
    return { held, microseconds: Math.round((performance.now() - began) * 1000 / rounds) }
  })
}

interface RestingCost { readonly hosts: number, readonly coreShare: number, readonly residentMegabytes: number, readonly peerCallsPerSecond: number, readonly peerBytesPerSecond: number }

/** What a host costs that serves nothing, by the number of hosts; default periods of the settings. */
async function restingCost (hosts: number): Promise<RestingCost> {
  const platform = await startPlatform({ engines: 2 })
  const names = Array.from({ length: hosts }, (_, index) => ({ name: `host-${index}`, place: `place-${index % 4}` }))
  const cluster = await platform.startCluster(names, { membership: { probe_period: 500, probe_timeout: 250, suspicion: 1500, full_exchange: 10_000 }, orders: { reconcile: 500, host_list: 2000 }, host: {} })
  try {
    await platform.configure(cluster)
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
    const measured = cluster.hosts.slice(0, 4)
    const look = async (): Promise<{ processorMs: number, residentMegabytes: number, calls: number, characters: number }[]> => await Promise.all(measured.map(async (host) => {
      const metrics = (await call(host.address, '/v1/metrics', { key: keys.operator })).body as Record<string, number>
      return { ...usageOf(host.pid), calls: metrics['peers.calls'] ?? 0, characters: metrics['peers.characters'] ?? 0 }
    }))
    const before = await look()
    await new Promise((resolve) => setTimeout(resolve, RESTING_SECONDS * 1000))
    const after = await look()
    const mean = (pick: (one: (typeof after)[number]) => number, base: typeof after): number => base.reduce((sum, one) => sum + pick(one), 0) / base.length
    const rate = (pick: (one: (typeof after)[number]) => number): number => (mean(pick, after) - mean(pick, before)) / RESTING_SECONDS
    return {
      hosts,
      coreShare: Math.round(rate(({ processorMs }) => processorMs) / 10 * 100) / 10_000,
      residentMegabytes: Math.round(mean(({ residentMegabytes }) => residentMegabytes, after)),
      peerCallsPerSecond: Math.round(rate(({ calls }) => calls) * 10) / 10,
      peerBytesPerSecond: Math.round(rate(({ characters }) => characters))
    }
  } finally {
    await cluster.stop()
    await platform.close()
  }
}

export async function measureCapacity (): Promise<Experiment> {
  const records = recordCosts()
  const empty = emptyState()
  for (let index = 0; index < 1; index++) foldEntry(empty, index, encodeEnvelope([]))
  const admission = admissionCosts()
  const resting: RestingCost[] = []
  for (const hosts of HOST_COUNTS) resting.push(await restingCost(hosts))
  return {
    name: 'capacity',
    figures: { records, admission, resting, emptySnapshotCharacters: snapshot(empty).length },
    plot: {
      title: 'A resting host, by number of hosts',
      x: 'hosts',
      y: 'share of a core in percent, kilobytes a second',
      mark: 'line',
      points: resting.flatMap(({ hosts, coreShare, peerBytesPerSecond }) => [{ series: 'core, percent', x: hosts, y: coreShare * 100 }, { series: 'peers, KB/s', x: hosts, y: peerBytesPerSecond / 1000 }])
    }
  }
}
