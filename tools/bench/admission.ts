/**
 * Goodput and refusals from half to three times the capacity, and the time to recover: admission by
 * homes against a baseline without it, in which hosts send everything on and engines queue.
 */

import { request } from 'undici'
import { keys } from '../../test/support/hostProcess.ts'
import { startPlatform } from '../../test/support/platform.ts'
import type { Experiment } from './report.ts'
import { spread } from './report.ts'

const RUNS = 3
const SECONDS = 3
const DEADLINE_MS = 600
const ENGINES = 4
const SLOTS = 4
const OFFERED = [0.5, 1, 1.5, 2, 3] as const
/** Milliseconds of an answer of 16 tokens: prefill and 4 steps of 20 ms. */
const SERVICE_MS = 85

interface Outcome { readonly good: number, readonly refused: number, readonly late: number, readonly refusalMs: number, readonly p99: number }

async function offer (addresses: readonly string[], lane: string, perSecond: number): Promise<Outcome> {
  const waits: number[] = []
  const refusals: number[] = []
  let late = 0
  const ask = async (index: number): Promise<void> => {
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
      if (answer.statusCode === 200 && took <= DEADLINE_MS) waits.push(took)
      else if (answer.statusCode === 503 || answer.statusCode === 429) refusals.push(took)
      else late++
    } catch {
      late++
    }
  }
  const total = Math.round(perSecond * SECONDS)
  const asked: Promise<void>[] = []
  const began = performance.now()
  for (let index = 0; index < total; index++) {
    const due = began + index * 1000 / perSecond
    const wait = due - performance.now()
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait))
    asked.push(ask(index))
  }
  await Promise.all(asked)
  waits.sort((a, b) => a - b)
  refusals.sort((a, b) => a - b)
  return { good: waits.length / SECONDS, refused: refusals.length / total, late: late / total, refusalMs: refusals[Math.floor(refusals.length * 0.9)] ?? 0, p99: waits[Math.floor(waits.length * 0.99)] ?? 0 }
}

export async function measureAdmission (): Promise<Experiment> {
  const capacity = ENGINES * SLOTS * 1000 / SERVICE_MS
  const figures: object[] = []
  const points: { series: string, x: number, y: number }[] = []
  for (const way of ['homes', 'engines queue'] as const) {
    const platform = await startPlatform({ engines: ENGINES, engine: { slots: SLOTS, stepMs: 20, tokensPerStep: 4, answerTokens: 200, prefillMs: 5, prefixes: 100 } })
    const cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }, { name: 'abdali-2', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }, { name: 'marka-2', place: 'Marka' }])
    try {
      await platform.configure(cluster)
      await cluster.order('set lane desk callerLimit 100000')
      if (way === 'engines queue') await cluster.order(...platform.engines.map((_, index) => `set target drafter-${index} slots 4096`))
      const addresses = cluster.hosts.map(({ address }) => address)
      await offer(addresses, 'desk', capacity / 2)
      for (const load of OFFERED) {
        const runs: Outcome[] = []
        for (let run = 0; run < RUNS; run++) {
          runs.push(await offer(addresses, 'desk', capacity * load))
          await new Promise((resolve) => setTimeout(resolve, 700))
        }
        const good = spread(runs.map((run) => run.good))
        figures.push({ way, offeredOverCapacity: load, goodPerSecond: good, refusedShare: spread(runs.map(({ refused }) => refused)), lateShare: spread(runs.map((run) => run.late)), refusalMsP90: spread(runs.map(({ refusalMs }) => refusalMs)), p99: spread(runs.map(({ p99 }) => p99)) })
        points.push({ series: way, x: load, y: good.median })
      }
      const after = await offer(addresses, 'desk', capacity * 0.7)
      figures.push({ way, afterOverload: after })
    } finally {
      await cluster.stop()
      await platform.close()
    }
  }
  return { name: 'admission', figures: { capacityPerSecond: Math.round(capacity), deadlineMs: DEADLINE_MS, outcomes: figures }, plot: { title: 'Answers in time, by load offered', x: 'offered load over capacity', y: 'answers in time a second', mark: 'line', points } }
}
