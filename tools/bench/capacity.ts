/**
 * Measures the figures of docs/CAPACITY.md: the cost of the fold per record and per object kept, of
 * admission by number of grants held, and of an idle host by number of hosts.
 */

import { asHostId, asTargetName } from '../../src/base/common/ids.ts'
import type { FoldState } from '../../src/core/common/fold/fold.ts'
import { emptyState, foldEntry, snapshot } from '../../src/core/common/fold/fold.ts'
import type { ControlRecord } from '../../src/core/common/fold/records.ts'
import { encodeEnvelope } from '../../src/core/common/fold/records.ts'
import type { AcquireRequest } from '../../src/core/common/routing/admissionMessages.ts'
import { ShardAdmission } from '../../src/core/common/routing/shardAdmission.ts'
import { call, keys } from '../../test/support/hostProcess.ts'
import { startTestPlatform } from '../../test/support/platform.ts'
import { claim, command, outcome, pull, sampleOf, samples, stateWithSubscription, submit } from '../../test/support/records.ts'
import { usageOf } from './processUsage.ts'
import type { Experiment } from './report.ts'

const RECORD_COUNT = 20_000
/** One target per accelerator of the largest specified deployment. Each new target is validated against all targets of its pool. */
const TARGET_COUNT = 2400
const IDLE_MEASUREMENT_SECONDS = 8
/** Time to let gossip about the start of the hosts settle, in milliseconds. */
const SETTLE_TIME_MS = 15_000
const HOST_COUNTS = [4, 12, 24, 48] as const

interface RecordCost { readonly kind: string, readonly microsecondsEach: number, readonly charactersEach: number, readonly heapBytesEach: number }

function targetRecord (index: number): ControlRecord {
  return command({ verb: 'create', kind: 'target', name: `target-${index}`, properties: { pool: 'drafter', address: `http://10.0.${Math.floor(index / 250)}.${index % 250}:8000`, place: `place-${index % 4}`, slots: 16 } })
}

function measureRecords (kind: string, createRecord: (index: number) => ControlRecord, prepare: (state: FoldState) => void = () => undefined, count = RECORD_COUNT): RecordCost {
  const state = stateWithSubscription()
  prepare(state)
  const entries = Array.from({ length: count }, (_, index) => encodeEnvelope([createRecord(index)]))
  globalThis.gc?.()
  const heap = process.memoryUsage().heapUsed
  const began = performance.now()
  for (const entry of entries) foldEntry(state, state.offset, entry)
  const elapsed = performance.now() - began
  globalThis.gc?.()
  const heapGrowth = process.memoryUsage().heapUsed - heap
  const characters = entries.reduce((sum, entry) => sum + entry.length, 0) / count
  if (state.offset < count) throw new Error(`only ${state.offset} of ${count} entries were folded`)
  return { kind, microsecondsEach: Math.round(elapsed * 1000 / count), charactersEach: Math.round(characters), heapBytesEach: Math.round(heapGrowth / count) }
}

function measureRecordCosts (): RecordCost[] {
  const enlargePool = (state: FoldState): void => { foldEntry(state, state.offset, encodeEnvelope([command({ verb: 'set', kind: 'pool', name: 'drafter', properties: { copies: 100_000 } })])) }
  return [
    measureRecords('target', targetRecord, enlargePool, TARGET_COUNT),
    measureRecords('claim', (index) => claim(`request-${index}`, `attempt-${index}-0123456789abcdef`)),
    measureRecords('claim and outcome', (index) => index % 2 === 0 ? claim(`request-${index}`, `attempt-${index}`) : outcome(`request-${index - 1}`, `attempt-${index - 1}`)),
    measureRecords('submit of 8', (index) => submit(`group-${index}`, 8)),
    measureRecords('8 samples', (index) => samples(...Array.from({ length: 8 }, (_, slot) => sampleOf(`group-${index}`, slot, 1))), (state) => { for (let index = 0; index < RECORD_COUNT; index++) foldEntry(state, state.offset, encodeEnvelope([submit(`group-${index}`, 8)])) }),
    measureRecords('pull', (index) => pull(index, 1, 512)),
    measureRecords('change of a lane', (index) => command({ verb: 'set', kind: 'lane', name: 'desk', properties: { priority: index % 9 } }), (state) => { foldEntry(state, state.offset, encodeEnvelope([command({ verb: 'create', kind: 'lane', name: 'desk', properties: { pool: 'drafter' } })])) })
  ]
}

/** Measures the duration of one grant and its release, by the number of grants held at that time. */
function measureAdmissionCosts (): { held: number, microseconds: number }[] {
  return [8, 64, 256, 1024].map((held) => {
    const shard = new ShardAdmission()
    const targets = Math.ceil(held / 8) + 1
    shard.setTargets(Array.from({ length: targets }, (_, index) => ({ name: asTargetName(`t${index}`), address: 'http://t', slots: 8, available: true })), 0)
    let next = 0
    const newAcquireRequest = (): AcquireRequest => ({ grant: `g${next++}`, holder: asHostId('h'), workClass: 'interactive', priority: 1, flow: 'desk', share: 1, caller: 'c', callerLimit: 100_000, maximumWaitMs: 1000, exclude: [] })
    for (let index = 0; index < held; index++) shard.acquire(newAcquireRequest(), 0)
    const rounds = 2000
    const began = performance.now()
    for (let round = 0; round < rounds; round++) {
      const acquireRequest = newAcquireRequest()
      shard.acquire(acquireRequest, round)
      shard.release(acquireRequest.grant, round)
    }
    return { held, microseconds: Math.round((performance.now() - began) * 1000 / rounds) }
  })
}

/** Size of an idle deployment and the rate of entries in its control log. */
interface IdleDeployment { readonly hosts: number, readonly targets: number, readonly appendsPerSecond: number }

interface IdleHostCost extends IdleDeployment { readonly coreShare: number, readonly residentMegabytes: number, readonly peerCallsPerSecond: number, readonly peerBytesPerSecond: number }

/** Measures the resources that a host uses while it serves no requests, with the default intervals of the settings. */
async function measureIdleHost (shape: IdleDeployment): Promise<IdleHostCost> {
  const { hosts, targets, appendsPerSecond } = shape
  const platform = await startTestPlatform({ engines: 2 })
  const names = Array.from({ length: hosts }, (_, index) => ({ name: `host-${index}`, place: `place-${index % 4}` }))
  const cluster = await platform.startCluster(names, { membership: { probe_period: 500, probe_timeout: 250, suspicion: 1500, full_exchange: 10_000 }, orders: { reconcile: 500, host_list: 2000 }, host: {} })
  try {
    await platform.configure(cluster)
    await cluster.execute(`set pool drafter copies ${targets + 2}`)
    for (let index = 2; index < targets; index++) await cluster.execute(`create target more-${index} pool drafter address "${platform.engines[index % 2]?.address ?? ''}" place place-${index % 4}`)
    const appendTimer = appendsPerSecond === 0 ? undefined : setInterval(() => { platform.log.log.append('control', encodeEnvelope([{ kind: 'tick', id: 'tick', at: Date.now() }])) }, 1000 / appendsPerSecond)
    await new Promise((resolve) => setTimeout(resolve, SETTLE_TIME_MS))
    const measuredHosts = cluster.hosts.slice(0, 4)
    const readUsage = async (): Promise<{ processorMs: number, residentMegabytes: number, calls: number, characters: number }[]> => await Promise.all(measuredHosts.map(async (host) => {
      const metrics = (await call(host.address, '/v1/metrics', { key: keys.operator })).body as Record<string, number>
      return { ...usageOf(host.pid), calls: metrics['peers.calls'] ?? 0, characters: metrics['peers.characters'] ?? 0 }
    }))
    const before = await readUsage()
    await new Promise((resolve) => setTimeout(resolve, IDLE_MEASUREMENT_SECONDS * 1000))
    const after = await readUsage()
    clearInterval(appendTimer)
    const mean = (pick: (one: (typeof after)[number]) => number, base: typeof after): number => base.reduce((sum, one) => sum + pick(one), 0) / base.length
    const ratePerSecond = (pick: (one: (typeof after)[number]) => number): number => (mean(pick, after) - mean(pick, before)) / IDLE_MEASUREMENT_SECONDS
    return {
      ...shape,
      coreShare: Math.round(ratePerSecond(({ processorMs }) => processorMs) / 10 * 100) / 10_000,
      residentMegabytes: Math.round(mean(({ residentMegabytes }) => residentMegabytes, after)),
      peerCallsPerSecond: Math.round(ratePerSecond(({ calls }) => calls) * 10) / 10,
      peerBytesPerSecond: Math.round(ratePerSecond(({ characters }) => characters))
    }
  } finally {
    await cluster.stop()
    await platform.close()
  }
}

export async function measureFold (): Promise<Experiment> {
  const records = measureRecordCosts()
  const admission = measureAdmissionCosts()
  return {
    name: 'fold',
    figures: { records, admission, emptySnapshotCharacters: snapshot(emptyState()).length },
    plot: { title: 'Cost of one grant and its release', x: 'grants held', y: 'microseconds', mark: 'line', points: admission.map(({ held, microseconds }) => ({ series: 'grant', x: held, y: microseconds })) }
  }
}

export async function measureIdleHosts (): Promise<Experiment> {
  const costs: IdleHostCost[] = []
  for (const hosts of HOST_COUNTS) costs.push(await measureIdleHost({ hosts, targets: 2, appendsPerSecond: 0 }))
  for (const targets of [40, 80]) costs.push(await measureIdleHost({ hosts: 4, targets, appendsPerSecond: 0 }))
  for (const appendsPerSecond of [20, 100]) costs.push(await measureIdleHost({ hosts: 4, targets: 2, appendsPerSecond }))
  return {
    name: 'resting',
    figures: { resting: costs },
    plot: {
      title: 'Cost of an idle host by number of hosts',
      x: 'hosts',
      y: 'share of a core in percent, kilobytes per second',
      mark: 'line',
      points: costs.slice(0, HOST_COUNTS.length).flatMap(({ hosts, coreShare, peerBytesPerSecond }) => [{ series: 'core, percent', x: hosts, y: coreShare * 100 }, { series: 'peers, KB/s', x: hosts, y: peerBytesPerSecond / 1000 }])
    }
  }
}
