/**
 * Measures goodput and refusals at offered loads from half to three times the capacity, and goodput after the
 * overload. Compares admission control by the home of each shard with a baseline without it, in which hosts
 * forward every request and the engines queue.
 */

import { request } from 'undici'
import { keys } from '../../test/support/hostProcess.ts'
import { startTestPlatform } from '../../test/support/platform.ts'
import type { Experiment } from './report.ts'
import { spread } from './report.ts'

const RUNS_PER_LOAD = 3
const LOAD_DURATION_SECONDS = 3
const DEADLINE_MS = 600
const ENGINE_COUNT = 4
const SLOTS_PER_ENGINE = 4
const OFFERED_LOADS = [0.5, 1, 1.5, 2, 3] as const
/** Duration of an answer of 16 tokens, in milliseconds: prefill (5 ms) and 4 steps of 20 ms. */
const SERVICE_MS = 85

interface LoadOutcome { readonly good: number, readonly refused: number, readonly late: number, readonly refusalMs: number, readonly p99: number }

/** Sends requests at a constant rate, independent of the answers, and counts answers within the deadline, refusals and late answers. */
async function measureLoad (addresses: readonly string[], lane: string, perSecond: number): Promise<LoadOutcome> {
  const latencies: number[] = []
  const refusalLatencies: number[] = []
  let late = 0
  const sendRequest = async (index: number): Promise<void> => {
    const began = performance.now()
    try {
      const answer = await request(`${addresses[index % addresses.length] ?? ''}/v1/lanes/${lane}/completions`, {
        method: 'POST',
        headers: { 'content-type': 'application/json', authorization: `Bearer ${keys.caller}` },
        body: JSON.stringify({ prompt: `p${index % 40}`, max_tokens: 16, deadline_ms: DEADLINE_MS }),
        signal: AbortSignal.timeout(DEADLINE_MS * 3)
      })
      await answer.body.dump()
      const took = performance.now() - began
      if (answer.statusCode === 200 && took <= DEADLINE_MS) latencies.push(took)
      else if (answer.statusCode === 503 || answer.statusCode === 429) refusalLatencies.push(took)
      else late++
    } catch {
      late++
    }
  }
  const total = Math.round(perSecond * LOAD_DURATION_SECONDS)
  const pending: Promise<void>[] = []
  const began = performance.now()
  for (let index = 0; index < total; index++) {
    const dueAt = began + index * 1000 / perSecond
    const delayMs = dueAt - performance.now()
    if (delayMs > 0) await new Promise((resolve) => setTimeout(resolve, delayMs))
    pending.push(sendRequest(index))
  }
  await Promise.all(pending)
  latencies.sort((a, b) => a - b)
  refusalLatencies.sort((a, b) => a - b)
  return { good: latencies.length / LOAD_DURATION_SECONDS, refused: refusalLatencies.length / total, late: late / total, refusalMs: refusalLatencies[Math.floor(refusalLatencies.length * 0.9)] ?? 0, p99: latencies[Math.floor(latencies.length * 0.99)] ?? 0 }
}

export async function measureAdmission (): Promise<Experiment> {
  const capacity = ENGINE_COUNT * SLOTS_PER_ENGINE * 1000 / SERVICE_MS
  const figures: object[] = []
  const points: { series: string, x: number, y: number }[] = []
  for (const way of ['homes', 'engines queue'] as const) {
    const platform = await startTestPlatform({ engines: ENGINE_COUNT, engine: { slots: SLOTS_PER_ENGINE, stepMs: 20, tokensPerStep: 4, answerTokens: 200, prefillMs: 5, prefixes: 100 } })
    const cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }, { name: 'abdali-2', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }, { name: 'marka-2', place: 'Marka' }])
    try {
      await platform.configure(cluster)
      await cluster.execute('set lane desk callerLimit 100000')
      if (way === 'engines queue') await cluster.execute(...platform.engines.map((_, index) => `set target drafter-${index} slots 4096`))
      const addresses = cluster.hosts.map(({ address }) => address)
      await measureLoad(addresses, 'desk', capacity / 2)
      for (const load of OFFERED_LOADS) {
        const runs: LoadOutcome[] = []
        for (let run = 0; run < RUNS_PER_LOAD; run++) {
          runs.push(await measureLoad(addresses, 'desk', capacity * load))
          await new Promise((resolve) => setTimeout(resolve, 700))
        }
        const goodput = spread(runs.map((run) => run.good))
        figures.push({ way, offeredOverCapacity: load, goodPerSecond: goodput, refusedShare: spread(runs.map(({ refused }) => refused)), lateShare: spread(runs.map((run) => run.late)), refusalMsP90: spread(runs.map(({ refusalMs }) => refusalMs)), p99: spread(runs.map(({ p99 }) => p99)) })
        points.push({ series: way, x: load, y: goodput.median })
      }
      const recovery = await measureLoad(addresses, 'desk', capacity * 0.7)
      figures.push({ way, afterOverload: recovery })
    } finally {
      await cluster.stop()
      await platform.close()
    }
  }
  return { name: 'admission', figures: { capacityPerSecond: Math.round(capacity), deadlineMs: DEADLINE_MS, outcomes: figures }, plot: { title: 'Answers in time, by load offered', x: 'offered load over capacity', y: 'answers in time a second', mark: 'line', points } }
}
