/**
 * Slopes for docs/CAPACITY.md: what the fold costs by record and by thing kept, what admission costs
 * by grants held, and what a resting host costs by number of hosts.
 */

import { asHostId, asTargetName } from '../../src/base/common/ids.ts'
import type { FoldState } from '../../src/core/common/fold/fold.ts'
import { emptyState, foldEntry, snapshot } from '../../src/core/common/fold/fold.ts'
import type { ControlRecord } from '../../src/core/common/fold/records.ts'
import { encodeEnvelope } from '../../src/core/common/fold/records.ts'
import type { AcquireRequest } from '../../src/core/common/routing/admissionMessages.ts'
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
  globalThis.gc?.()
  const heap = process.memoryUsage().heapUsed
  const began = performance.now()
  for (const entry of entries) foldEntry(state, state.offset, entry)
  const elapsed = performance.now() - began
  globalThis.gc?.()
  const grown = process.memoryUsage().heapUsed - heap
  const characters = entries.reduce((sum, entry) => sum + entry.length, 0) / count
  if (state.offset < count) throw new Error('entries were not folded')
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

/** What a resting deployment is like. */
interface RestingShape { readonly hosts: number, readonly targets: number, readonly appendsPerSecond: number }

interface RestingCost extends RestingShape { readonly coreShare: number, readonly residentMegabytes: number, readonly peerCallsPerSecond: number, readonly peerBytesPerSecond: number }

/** What a host costs that serves nothing; default periods of the settings. */
async function restingCost (shape: RestingShape): Promise<RestingCost> {
  const { hosts, targets, appendsPerSecond } = shape
  const platform = await startPlatform({ engines: 2 })
  const names = Array.from({ length: hosts }, (_, index) => ({ name: `host-${index}`, place: `place-${index % 4}` }))
  const cluster = await platform.startCluster(names, { membership: { probe_period: 500, probe_timeout: 250, suspicion: 1500, full_exchange: 10_000 }, orders: { reconcile: 500, host_list: 2000 }, host: {} })
  try {
    await platform.configure(cluster)
    await cluster.order(`set pool drafter copies ${targets + 2}`)
    for (let index = 2; index < targets; index++) await cluster.order(`create target more-${index} pool drafter address "${platform.engines[index % 2]?.address ?? ''}" place place-${index % 4}`)
    const ticks = appendsPerSecond === 0 ? undefined : setInterval(() => { platform.log.log.append('control', encodeEnvelope([{ kind: 'tick', id: 'tick', at: Date.now() }])) }, 1000 / appendsPerSecond)
    await new Promise((resolve) => setTimeout(resolve, SETTLE_MS))
    const measured = cluster.hosts.slice(0, 4)
    const look = async (): Promise<{ processorMs: number, residentMegabytes: number, calls: number, characters: number }[]> => await Promise.all(measured.map(async (host) => {
      const metrics = (await call(host.address, '/v1/metrics', { key: keys.operator })).body as Record<string, number>
      return { ...usageOf(host.pid), calls: metrics['peers.calls'] ?? 0, characters: metrics['peers.characters'] ?? 0 }
    }))
    const before = await look()
    await new Promise((resolve) => setTimeout(resolve, RESTING_SECONDS * 1000))
    const after = await look()
    clearInterval(ticks)
    const mean = (pick: (one: (typeof after)[number]) => number, base: typeof after): number => base.reduce((sum, one) => sum + pick(one), 0) / base.length
    const rate = (pick: (one: (typeof after)[number]) => number): number => (mean(pick, after) - mean(pick, before)) / RESTING_SECONDS
    return {
      ...shape,
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

export async function measureFold (): Promise<Experiment> {
  const records = recordCosts()
  const admission = admissionCosts()
  return {
    name: 'fold',
    figures: { records, admission, emptySnapshotCharacters: snapshot(emptyState()).length },
    plot: { title: 'One grant and its release', x: 'grants held meanwhile', y: 'microseconds', mark: 'line', points: admission.map(({ held, microseconds }) => ({ series: 'grant', x: held, y: microseconds })) }
  }
}

export async function measureResting (): Promise<Experiment> {
  const resting: RestingCost[] = []
  for (const hosts of HOST_COUNTS) resting.push(await restingCost({ hosts, targets: 2, appendsPerSecond: 0 }))
  for (const targets of [40, 80]) resting.push(await restingCost({ hosts: 4, targets, appendsPerSecond: 0 }))
  for (const appendsPerSecond of [20, 100]) resting.push(await restingCost({ hosts: 4, targets: 2, appendsPerSecond }))
  return {
    name: 'resting',
    figures: { resting },
    plot: {
      title: 'A resting host, by number of hosts',
      x: 'hosts',
      y: 'share of a core in percent, kilobytes a second',
      mark: 'line',
      points: resting.slice(0, HOST_COUNTS.length).flatMap(({ hosts, coreShare, peerBytesPerSecond }) => [{ series: 'core, percent', x: hosts, y: coreShare * 100 }, { series: 'peers, KB/s', x: hosts, y: peerBytesPerSecond / 1000 }])
    }
  }
}
