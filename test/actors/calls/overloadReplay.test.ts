/** Replays of more calls than the targets can serve, with and without call queues. */

import { expect } from 'chai'
import type { CallOutcome } from '../../support/queueHarness.ts'
import { QueueHarness } from '../../support/queueHarness.ts'
import { newSeededChance } from '../../support/manualClock.ts'
import { newRoute } from '../../support/routes.ts'

const HOSTS = 6
const DURATION_MS = 8000
const CALLS_PER_SECOND = 120
/** Two targets with four slots at 100 ms per call. */
const TARGET = { slots: 4, queue: 8, workMs: 100 }
const CAPACITY = 80 * DURATION_MS / 1000
const OBJECTIVE_MS = 300
const TIMEOUT_MS = 1500
const SEEDS = [1, 2, 3, 4, 5, 6]
const urgent = newRoute({ priority: 0, objectiveMs: OBJECTIVE_MS, timeoutMs: TIMEOUT_MS })
const patient = newRoute({ priority: 5, objectiveMs: OBJECTIVE_MS, timeoutMs: TIMEOUT_MS })

interface ReplayedCall extends CallOutcome {
  readonly rank: number
  /** Time since the caller's first attempt. */
  readonly totalMs: number
  readonly isRetry: boolean
}

/** Sends calls at random times, one third of them with rank 0, each at a random host. Callers that retry return once, after the time that the refusal states. */
async function replay (seed: number, { queued, retries }: { readonly queued: boolean, readonly retries: boolean }): Promise<ReplayedCall[]> {
  const harness = new QueueHarness({ a: TARGET, b: TARGET }, HOSTS, { queued })
  const chance = newSeededChance(seed)
  const replayed: ReplayedCall[] = []
  const failures: unknown[] = []
  const call = async (rank: number, waitMs: number, isRetry: boolean): Promise<void> => {
    const outcome = await harness.call(harness.host(Math.floor(chance.next() * HOSTS)), rank === 0 ? urgent : patient, { waitMs })
    replayed.push({ ...outcome, rank, totalMs: TIMEOUT_MS - waitMs + outcome.tookMs, isRetry })
    if (outcome.result.ok || isRetry || !retries) return
    const remainingMs = waitMs - outcome.tookMs
    const pauseMs = Math.min(outcome.result.retryAfterMs ?? 0, remainingMs / 3)
    send(pauseMs, rank, remainingMs - pauseMs, true)
  }
  const send = (afterMs: number, rank: number, waitMs: number, isRetry: boolean): void => {
    harness.clock.after(afterMs, () => { call(rank, waitMs, isRetry).catch((error: unknown) => { failures.push(error) }) })
  }
  const calls = DURATION_MS / 1000 * CALLS_PER_SECOND
  for (let index = 0; index < calls; index++) send(chance.next() * DURATION_MS, index % 3 === 0 ? 0 : 5, TIMEOUT_MS, false)
  await harness.clock.advance(DURATION_MS + 2 * TIMEOUT_MS)
  expect(failures).to.deep.equal([])
  expect(replayed.filter(({ isRetry }) => !isRetry)).to.have.length(calls)
  return replayed
}

async function replayAll (options: { readonly queued: boolean, readonly retries: boolean }): Promise<ReplayedCall[]> {
  const replays: ReplayedCall[][] = []
  for (const seed of SEEDS) replays.push(await replay(seed, options))
  return replays.flat()
}

const isInTime = ({ result, totalMs }: ReplayedCall): boolean => result.ok && totalMs <= OBJECTIVE_MS
const isRefused = ({ result }: ReplayedCall): boolean => !result.ok
function shareInTime (calls: readonly ReplayedCall[], rank: number): number {
  const ofRank = calls.filter((call) => call.rank === rank)
  return ofRank.filter(isInTime).length / ofRank.length
}

describe('six hosts with 120 calls per second for a capacity of 80', () => {
  it('answer few calls in time without queues', async () => {
    // Shows that the replay has the fault that the queue removes: each call asks all targets again every 40 ms, independently of its rank.
    const calls = await replay(1, { queued: false, retries: false })
    expect(calls.filter(isInTime).length / CAPACITY).to.be.below(0.2)
    expect(Math.max(...calls.filter(isRefused).map(({ tookMs }) => tookMs))).to.be.above(TIMEOUT_MS / 2)
  })

  it('answer 80% of what their targets can serve in time, with urgent calls first', async function () {
    // Guards against an overload in which all calls become late, urgent ones as well as others, and each refusal comes after half of the call's time.
    this.timeout(60_000)
    const calls = await replayAll({ queued: true, retries: false })
    expect(calls.filter(isInTime).length / (CAPACITY * SEEDS.length)).to.be.at.least(0.8)
    expect(shareInTime(calls, 0)).to.be.at.least(shareInTime(calls, 5) - 0.05)
    const refusedAfterMs = calls.filter(isRefused).map(({ tookMs }) => tookMs)
    expect(Math.max(...refusedAfterMs)).to.be.at.most(TIMEOUT_MS / 2)
    expect(refusedAfterMs.filter((tookMs) => tookMs === 0).length).to.be.above(0)
  })

  it('hold no call for more than half of its time if refused callers return, and state hints that these honor', async function () {
    // Guards against callers that are held until it is too late for another host, and against hints beyond a third of the remaining time.
    this.timeout(60_000)
    const calls = await replayAll({ queued: true, retries: true })
    for (const { result, tookMs, totalMs, isRetry } of calls) {
      if (result.ok) continue
      expect(result.code).to.equal('overloaded')
      const remainingMs = TIMEOUT_MS - totalMs
      expect(result.retryAfterMs ?? 0).to.be.at.most(remainingMs / 3)
      if (!isRetry) expect(tookMs).to.be.at.most(TIMEOUT_MS / 2)
      else expect(tookMs).to.be.at.most((remainingMs + tookMs) / 2 + 1e-6)
    }
    expect(shareInTime(calls, 0)).to.be.at.least(shareInTime(calls, 5))
  })
})

describe('a host whose queue holds calls', () => {
  const steady = newRoute({ objectiveMs: 1500, timeoutMs: 2000 })

  interface SteadyLoad {
    readonly workMs: number
    readonly intervalMs: number
    readonly durationMs: number
    /** Called before each call. */
    readonly before?: (harness: QueueHarness, atMs: number) => void
  }

  /** Sends calls at a steady rate to two targets of six slots; returns the times at which refused calls arrived. */
  async function refusedAt (hosts: number, { workMs, intervalMs, durationMs, before }: SteadyLoad): Promise<number[]> {
    const target = { slots: 6, queue: 24, workMs }
    const harness = new QueueHarness({ a: target, b: target }, hosts, { queued: true })
    for (const { operator } of harness.hosts) operator.apply(1, [steady])
    const refused: number[] = []
    for (let atMs = 0; atMs < durationMs; atMs += intervalMs) {
      before?.(harness, atMs)
      harness.call(harness.host(0), steady).then(({ result }) => { if (!result.ok) refused.push(atMs) }, () => undefined)
      await harness.clock.advance(intervalMs)
    }
    await harness.clock.advance(4000)
    return refused
  }

  it('uses idle slots again after the burst of another host', async () => {
    // Guards against a queue that only replaces the calls that end: it then keeps its calls in flight as few as during the burst, for as long as the load lasts.
    const BURST_AT_MS = 1000
    const refused = await refusedAt(2, {
      workMs: 50,
      intervalMs: 10,
      durationMs: 6000,
      before: (harness, atMs) => {
        if (atMs === BURST_AT_MS) for (let index = 0; index < 120; index++) harness.call(harness.host(1), steady).catch(() => undefined)
      }
    })
    expect(refused.filter((atMs) => atMs > BURST_AT_MS + 1000)).to.deep.equal([])
  })

  it('serves all calls again within a second after its targets have refused all for a moment', async () => {
    // Guards against a send window that refusals reduced to one and that then grows by a fraction of a call per answer.
    const refused = await refusedAt(1, {
      workMs: 200,
      intervalMs: 25,
      durationMs: 5000,
      before: (harness, atMs) => {
        for (const id of ['a', 'b']) harness.client.target(id).refusesAll = atMs >= 1000 && atMs < 1200
      }
    })
    expect(refused.filter((atMs) => atMs > 2200)).to.deep.equal([])
  })
})
