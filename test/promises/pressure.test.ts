/** Tests with host processes that interactive requests are served while more rollouts are submitted than there are slots. */

import { expect } from 'chai'
import type { Cluster } from '../support/hostProcess.ts'
import { call, keys } from '../support/hostProcess.ts'
import type { TestPlatform } from '../support/platform.ts'
import { startTestPlatform } from '../support/platform.ts'

describe('interactive requests under rollouts', function () {
  this.timeout(40_000)
  let platform: TestPlatform
  let cluster: Cluster

  before(async () => {
    platform = await startTestPlatform({ engines: 2, places: ['Abdali'], engine: { slots: 3, stepMs: 15, answerTokens: 100 } })
    cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }])
    await platform.configure(cluster)
    for (const name of ['a', 'b', 'c']) await cluster.execute(`create subscription ${name} pool drafter trainer trainer maximumTokens 100`)
  })

  after(async () => {
    await cluster.stop()
    await platform.close()
  })

  /*
   * Guards against a deadlock in which interactive requests take seconds and hosts suspect each other although
   * engines and processors are idle. Rollouts that wait in the queue of another host each occupy a connection to
   * it. If releases and probes share the same bounded connection pool, they wait for a connection, while the
   * rollouts wait for the slots that the releases would free.
   */
  it('are served without delay while hundreds of rollouts wait for slots of other hosts', async () => {
    const groups = Array.from({ length: 25 }, (_, index) => ({ id: `g${index}`, step: 0, prompt: `prompt ${index}`, samples: 4, issued_at: Date.now() }))
    for (const name of ['a', 'b', 'c']) {
      const answer = await call(cluster.host(0).address, `/v1/subscriptions/${name}/groups`, { key: keys.trainer, body: { groups } })
      expect(answer.status).to.equal(200)
    }
    await new Promise((resolve) => setTimeout(resolve, 1000))
    const latencies: number[] = []
    for (let round = 0; round < 12; round++) {
      const began = Date.now()
      const answer = await call(cluster.host(1).address, '/v1/lanes/desk/completions', { body: { prompt: 'x', max_tokens: 4 } })
      expect(answer.status).to.equal(200)
      latencies.push(Date.now() - began)
    }
    expect(Math.max(...latencies), latencies.join(' ')).to.be.below(600)
  })
})
