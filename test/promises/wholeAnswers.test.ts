/** Promises: a caller gets the whole answer to its own request, and each token's version is the true one. */

import { expect } from 'chai'
import type { Cluster } from '../support/hostProcess.ts'
import { call, keys, waitUntil } from '../support/hostProcess.ts'
import { attributionFaults } from '../support/judge.ts'
import type { Platform } from '../support/platform.ts'
import { startPlatform } from '../support/platform.ts'
import { streamCompletion } from '../support/streams.ts'

describe('whole answers', function () {
  this.timeout(40_000)
  let platform: Platform
  let cluster: Cluster

  beforeEach(async () => {
    platform = await startPlatform({ engines: 2, engine: { slots: 4, stepMs: 20, answerTokens: 80 } })
    cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }], { limits: { target_silence: 1000, heartbeat: 200 } })
    await platform.configure(cluster)
  })

  afterEach(async () => {
    await cluster.stop()
    await platform.close()
  })

  const body = { prompt: 'When is flat 12 free?', max_tokens: 100 }

  /** The engine that works on a request now. */
  function working (): Platform['engines'][number] {
    const found = platform.engines.find(({ engine }) => engine.runs.some(({ state }) => state === 'running'))
    if (found === undefined) throw new Error('no engine works')
    return found
  }

  /*
   * Symptom: half an answer is shown to a family as if it were all.
   * Sequence: the engine dies in the middle of a stream.
   * Cause: the end of the connection is taken for the end of the answer.
   */
  it('go on at another engine when one dies in mid-stream', async () => {
    let cut = false
    const outcome = await streamCompletion(cluster.host(0).address, {
      body,
      onText: () => {
        if (cut) return
        cut = true
        working().engine.faults.cutAfterParts = 2
      }
    })
    expect(outcome.whole).to.equal(true)
    expect(attributionFaults(outcome.text, outcome.segments)).to.deep.equal([])
    expect(platform.engines.flatMap(({ engine }) => engine.runs.map(({ state }) => state)).sort()).to.deep.equal(['cut', 'whole'])
  })

  for (const fault of ['cutAfterParts', 'endAfterParts'] as const) {
    it(`are never claimed when no engine can finish them: ${fault}`, async () => {
      for (const { engine } of platform.engines) engine.faults[fault] = 2
      const outcome = await streamCompletion(cluster.host(0).address, { body })
      expect(outcome.whole).to.equal(false)
      expect(outcome.error).to.include({ effect: 'unknown-outcome' })
    })
  }

  /*
   * Symptom: an agent's screen waits for ever though other engines work.
   * Sequence: the connection to the engine goes silent and stays open.
   * Cause: nothing ends a silent connection but a bound of one's own.
   */
  it('go on elsewhere when a stream goes silent, with heartbeats meanwhile', async () => {
    let hushed = false
    const outcome = await streamCompletion(cluster.host(0).address, {
      body,
      onText: () => {
        if (hushed) return
        hushed = true
        working().engine.faults.silent = true
      }
    })
    expect(outcome.whole).to.equal(true)
    expect(outcome.heartbeats).to.be.greaterThan(1)
    expect(attributionFaults(outcome.text, outcome.segments)).to.deep.equal([])
  })

  /** Streams that last for more than a second, so that what is ordered meanwhile falls into them. */
  function slowDown (): void {
    for (const { engine } of platform.engines) Object.assign(engine.options, { stepMs: 70 })
  }

  it('name every version when weights change in mid-stream', async () => {
    slowDown()
    let ordered = false
    const outcome = await streamCompletion(cluster.host(0).address, {
      body,
      onText: () => {
        if (ordered) return
        ordered = true
        cluster.host(1).command('load weights 2 on pool drafter').catch(() => undefined)
      }
    })
    expect(outcome.segments.map(({ version }) => version)).to.deep.equal([1, 2])
    expect(attributionFaults(outcome.text, outcome.segments)).to.deep.equal([])
  })

  it('name the true version of an engine that changed without being ordered', async () => {
    let changed = false
    const outcome = await streamCompletion(cluster.host(0).address, {
      body,
      onText: () => {
        if (changed) return
        changed = true
        for (const { engine } of platform.engines) engine.version = 7
      }
    })
    expect(outcome.segments.map(({ version }) => version)).to.deep.equal([1, 7])
    expect(attributionFaults(outcome.text, outcome.segments)).to.deep.equal([])
  })

  it('bring an engine whose swap failed partway to the wanted version in the end', async () => {
    for (const { engine } of platform.engines) engine.faults.failLoads = 1
    await cluster.order('load weights 3 on pool drafter')
    await waitUntil(() => platform.engines.every(({ engine }) => engine.version === 3), 8000, 'weights 3 on all engines')
  })

  it('go to the caller who asked, also when two use the same id', async () => {
    const [mine, theirs] = await Promise.all([
      streamCompletion(cluster.host(0).address, { body: { ...body, id: 'same', prompt: 'mine', max_tokens: 20 } }),
      streamCompletion(cluster.host(0).address, { key: keys.stranger, body: { ...body, id: 'same', prompt: 'theirs and longer', max_tokens: 30 } })
    ])
    expect([mine.whole, theirs.whole]).to.deep.equal([true, true])
    expect(mine.segments.at(-1)?.to).to.be.at.most(20)
  })

  it('can be cancelled by their own caller only', async () => {
    const stream = streamCompletion(cluster.host(0).address, { body: { ...body, id: 'long' } })
    await waitUntil(() => platform.engines.some(({ engine }) => engine.runs.some(({ state }) => state === 'running')), 3000, 'it runs')
    expect((await call(cluster.host(0).address, '/v1/requests/long/cancel', { method: 'POST', key: keys.stranger })).status).to.equal(404)
    expect((await call(cluster.host(0).address, '/v1/requests/long/cancel', { method: 'POST' })).status).to.equal(200)
    const outcome = await stream
    expect(outcome.whole).to.equal(false)
    expect(outcome.error).to.include({ code: 'cancelled' })
    await waitUntil(() => platform.engines.every(({ engine }) => engine.runs.every(({ state }) => state !== 'running')), 3000, 'the engine has stopped')
  })
})
