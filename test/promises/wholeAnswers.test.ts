/** Tests the guarantees that a caller gets the whole answer to its own request and that each token is attributed to the weight version that generated it. */

import { expect } from 'chai'
import type { Cluster } from '../support/hostProcess.ts'
import { call, keys, waitUntil } from '../support/hostProcess.ts'
import { findAttributionErrors } from '../support/attributionChecks.ts'
import type { TestPlatform } from '../support/platform.ts'
import { startTestPlatform } from '../support/platform.ts'
import { streamCompletion } from '../support/streams.ts'

describe('whole answers', function () {
  this.timeout(40_000)
  let platform: TestPlatform
  let cluster: Cluster

  beforeEach(async () => {
    platform = await startTestPlatform({ engines: 2, engine: { slots: 4, stepMs: 20, answerTokens: 80 } })
    cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }], { limits: { target_silence: 1000, heartbeat: 200 } })
    await platform.configure(cluster)
  })

  afterEach(async () => {
    await cluster.stop()
    await platform.close()
  })

  const body = { prompt: 'When is flat 12 free?', max_tokens: 100 }

  /** Returns the engine that is running a request. */
  function runningEngine (): TestPlatform['engines'][number] {
    const found = platform.engines.find(({ engine }) => engine.runs.some(({ state }) => state === 'running'))
    if (found === undefined) throw new Error('no engine is running a request')
    return found
  }

  /*
   * Guards against a truncated answer that is reported as whole. The engine fails in the middle of a stream, and the
   * end of the connection is mistaken for the end of the answer.
   */
  it('continue on another engine when one fails in mid-stream', async () => {
    let isCut = false
    const outcome = await streamCompletion(cluster.host(0).address, {
      body,
      onText: () => {
        if (isCut) return
        isCut = true
        runningEngine().engine.faults.cutAfterParts = 2
      }
    })
    expect(outcome.whole).to.equal(true)
    expect(findAttributionErrors(outcome.text, outcome.segments)).to.deep.equal([])
    expect(platform.engines.flatMap(({ engine }) => engine.runs.map(({ state }) => state)).sort()).to.deep.equal(['cut', 'whole'])
  })

  for (const fault of ['cutAfterParts', 'endAfterParts'] as const) {
    it(`are not reported as whole when no engine can finish them: ${fault}`, async () => {
      for (const { engine } of platform.engines) engine.faults[fault] = 2
      const outcome = await streamCompletion(cluster.host(0).address, { body })
      expect(outcome.whole).to.equal(false)
      expect(outcome.error).to.include({ effect: 'unknown-outcome' })
    })
  }

  /*
   * Guards against a caller that waits forever although other engines are available. The connection to the engine
   * goes silent but stays open, and only a timeout of the host's own can end it.
   */
  it('continue on another engine when a stream goes silent, with heartbeats in between', async () => {
    let isSilenced = false
    const outcome = await streamCompletion(cluster.host(0).address, {
      body,
      onText: () => {
        if (isSilenced) return
        isSilenced = true
        runningEngine().engine.faults.silent = true
      }
    })
    expect(outcome.whole).to.equal(true)
    expect(outcome.heartbeats).to.be.greaterThan(1)
    expect(findAttributionErrors(outcome.text, outcome.segments)).to.deep.equal([])
  })

  /** Slows the engines down so that a stream lasts for more than a second and a command issued meanwhile takes effect during it. */
  function slowDown (): void {
    for (const { engine } of platform.engines) Object.assign(engine.options, { stepMs: 70 })
  }

  it('list every version when weights change in mid-stream', async () => {
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
    expect(findAttributionErrors(outcome.text, outcome.segments)).to.deep.equal([])
  })

  it('list the actual version of an engine that changed its weights without a load order', async () => {
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
    expect(findAttributionErrors(outcome.text, outcome.segments)).to.deep.equal([])
  })

  it('come from the ordered version in the end, also on an engine whose weight load failed once', async () => {
    for (const { engine } of platform.engines) engine.faults.failLoads = 1
    await cluster.execute('load weights 3 on pool drafter')
    await waitUntil(() => platform.engines.every(({ engine }) => engine.version === 3), 8000, 'weights 3 on all engines')
  })

  it('go to the caller that sent the request, even if two callers use the same id', async () => {
    const [mine, theirs] = await Promise.all([
      streamCompletion(cluster.host(0).address, { body: { ...body, id: 'same', prompt: 'mine', max_tokens: 20 } }),
      streamCompletion(cluster.host(0).address, { key: keys.stranger, body: { ...body, id: 'same', prompt: 'theirs and longer', max_tokens: 30 } })
    ])
    expect([mine.whole, theirs.whole]).to.deep.equal([true, true])
    expect(mine.segments.at(-1)?.to).to.be.at.most(20)
  })

  it('can be cancelled only by the caller that requested them', async () => {
    const stream = streamCompletion(cluster.host(0).address, { body: { ...body, id: 'long' } })
    await waitUntil(() => platform.engines.some(({ engine }) => engine.runs.some(({ state }) => state === 'running')), 3000, 'the request runs')
    expect((await call(cluster.host(0).address, '/v1/requests/long/cancel', { method: 'POST', key: keys.stranger })).status).to.equal(404)
    expect((await call(cluster.host(0).address, '/v1/requests/long/cancel', { method: 'POST' })).status).to.equal(200)
    const outcome = await stream
    expect(outcome.whole).to.equal(false)
    expect(outcome.error).to.include({ code: 'cancelled' })
    await waitUntil(() => platform.engines.every(({ engine }) => engine.runs.every(({ state }) => state !== 'running')), 3000, 'the engine has stopped the request')
  })
})
