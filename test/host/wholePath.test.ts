/** End-to-end tests with separate processes: operators, callers, services and trainers. */

import { expect } from 'chai'
import type { Cluster } from '../support/hostProcess.ts'
import { call, keys, waitUntil } from '../support/hostProcess.ts'
import type { TestPlatform } from '../support/platform.ts'
import { startTestPlatform } from '../support/platform.ts'

describe('end-to-end path', () => {
  let platform: TestPlatform
  let cluster: Cluster

  before(async () => {
    platform = await startTestPlatform({ engines: 2, services: 1 })
    cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }])
    await platform.configure(cluster)
  })

  after(async () => {
    await cluster.stop()
    await platform.close()
  })

  it('returns a complete completion with the weight versions that produced it', async () => {
    const answer = await call(cluster.host(0).address, '/v1/lanes/desk/completions', { body: { prompt: 'Dear family', max_tokens: 16 } })
    expect(answer.status).to.equal(200)
    expect(answer.body.whole).to.equal(true)
    expect(answer.body.segments).to.deep.equal([{ version: 1, from: 0, to: answer.body.tokens }])
  })

  it('calls a service', async () => {
    const answer = await call(cluster.host(1).address, '/v1/lanes/bookings/services/status/12')
    expect(answer.status).to.equal(200)
    expect(answer.body.path).to.equal('/status/12')
  })

  it('runs a call once even if it is repeated, also on another host', async () => {
    const headers = { 'x-request-id': 'entry-1', 'x-issued-at': String(Date.now()), 'x-idempotent': 'false' }
    const first = await call(cluster.host(0).address, '/v1/lanes/bookings/services/ledger', { headers, body: { flat: 12 } })
    expect(first.status).to.equal(200)
    await waitUntil(async () => (await call(cluster.host(1).address, '/v1/lanes/bookings/services/ledger', { headers, body: { flat: 12 } })).status === 200, 3000, 'outcome known everywhere')
    const second = await call(cluster.host(1).address, '/v1/lanes/bookings/services/ledger', { headers, body: { flat: 12 } })
    expect(second.body).to.deep.equal(first.body)
    expect(platform.services[0]?.service.ran.filter(({ id }) => id === 'entry-1')).to.have.length(1)
  })

  it('delivers each sample of a submitted group to the trainer exactly once', async () => {
    const groups = Array.from({ length: 4 }, (_, index) => ({ id: `g${index}`, step: 0, prompt: `prompt ${index}`, samples: 4, issued_at: Date.now() }))
    const submitted = await call(cluster.host(0).address, '/v1/subscriptions/drafts/groups', { key: keys.trainer, body: { groups } })
    expect(submitted.status).to.equal(200)
    const seen = new Map<string, number>()
    let cursor = 0
    while (seen.size < 16) {
      const pulled = await call(cluster.host(cursor % 2).address, '/v1/subscriptions/drafts/pull', { key: keys.trainer, body: { cursor, version: 1, minimum: 4, wait_ms: 3000 } })
      expect(pulled.status).to.equal(200)
      cursor = pulled.body.cursor as number
      for (const sample of pulled.body.samples as { group: string, index: number, text: string, segments: { version: number }[] }[]) {
        const key = `${sample.group}/${sample.index}`
        seen.set(key, (seen.get(key) ?? 0) + 1)
        expect(sample.text).to.match(/^t0@1 /)
      }
    }
    expect([...seen.values()].every((count) => count === 1)).to.equal(true)
  })

  it('loads new weights on every engine', async () => {
    await cluster.execute('load weights 2 on pool drafter')
    await waitUntil(() => platform.engines.every(({ engine }) => engine.version === 2), 8000, 'weights 2 on all engines')
    await waitUntil(async () => (await cluster.host(0).rows('show targets where type = engine and weights = 2')).length === 2, 5000, 'targets report weights 2')
  })
})
