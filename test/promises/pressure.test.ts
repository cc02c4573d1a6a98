/** Interactive requests beside more rollouts than there are slots, on processes. */

import { expect } from 'chai'
import type { Cluster } from '../support/hostProcess.ts'
import { call, keys } from '../support/hostProcess.ts'
import type { Platform } from '../support/platform.ts'
import { startPlatform } from '../support/platform.ts'

describe('interactive requests under rollouts', function () {
  this.timeout(40_000)
  let platform: Platform
  let cluster: Cluster

  before(async () => {
    platform = await startPlatform({ engines: 2, places: ['Abdali'], engine: { slots: 3, stepMs: 15, answerTokens: 100 } })
    cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }])
    await platform.configure(cluster)
    for (const name of ['a', 'b', 'c']) await cluster.order(`create subscription ${name} pool drafter trainer trainer maximumTokens 100`)
  })

  after(async () => {
    await cluster.stop()
    await platform.close()
  })

  /*
   * Symptom: with many rollouts waiting, interactive requests take seconds and hosts suspect each
   * other, though copies and processors are idle.
   * Sequence: rollouts of a host wait in the queue of a home elsewhere, each holding a connection
   * to it; when all connections are held, releases and probes wait for one, and what they would
   * set free is what the waiting rollouts wait for.
   * Cause: calls that wait and calls that set free shared one bounded set of connections.
   */
  it('are served at once while hundreds of rollouts wait for slots elsewhere', async () => {
    const groups = Array.from({ length: 25 }, (_, index) => ({ id: `g${index}`, step: 0, prompt: `prompt ${index}`, samples: 4, issued_at: Date.now() }))
    for (const name of ['a', 'b', 'c']) {
      const answer = await call(cluster.host(0).address, `/v1/subscriptions/${name}/groups`, { key: keys.trainer, body: { groups } })
      expect(answer.status).to.equal(200)
    }
    await new Promise((resolve) => setTimeout(resolve, 1000))
    const waits: number[] = []
    for (let round = 0; round < 12; round++) {
      const began = Date.now()
      const answer = await call(cluster.host(1).address, '/v1/lanes/desk/completions', { body: { prompt: 'x', max_tokens: 4 } })
      expect(answer.status).to.equal(200)
      waits.push(Date.now() - began)
    }
    expect(Math.max(...waits), waits.join(' ')).to.be.below(600)
  })
})
