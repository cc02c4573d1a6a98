/** Tests the guarantees that a leaving target gets no new work after a few seconds and that a planned stop interrupts no request. */

import { expect } from 'chai'
import type { Cluster, HostProcess } from '../support/hostProcess.ts'
import { call, keys, waitUntil } from '../support/hostProcess.ts'
import type { TestPlatform } from '../support/platform.ts'
import { startTestPlatform } from '../support/platform.ts'
import type { StreamOutcome } from '../support/streams.ts'
import { streamCompletion } from '../support/streams.ts'
import { TestTrainer } from '../support/trainer.ts'

const hosts = [{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }, { name: 'tabarbour-1', place: 'Tabarbour' }]
const body = { prompt: 'Confirm the viewing', max_tokens: 60 }

describe('leaving and stopping', function () {
  this.timeout(40_000)
  let platform: TestPlatform
  let cluster: Cluster

  beforeEach(async () => {
    platform = await startTestPlatform({ engines: 2, services: 1, engine: { slots: 4, stepMs: 25, answerTokens: 80 } })
    cluster = await platform.startCluster(hosts, { limits: { valid_for: 1000 } })
    await platform.configure(cluster)
  })

  afterEach(async () => {
    await cluster.stop()
    await platform.close()
  })

  describe('a leaving target', () => {
    const sources: readonly { name: string, leave: () => void | Promise<void> }[] = [
      { name: 'an operator', leave: async () => { await cluster.execute('drain target drafter-0') } },
      { name: 'the host list', leave: () => { platform.hostList.set([{ address: platform.engines[0]?.address ?? '', state: 'leaving' }]) } },
      { name: 'the target itself', leave: () => { Object.assign(platform.engines[0]?.engine.faults ?? {}, { leaving: true }) } }
    ]
    for (const { name, leave } of sources) {
      it(`announced by ${name} gets no new work after two seconds, even if requests are queued`, async () => {
        const trainer = new TestTrainer(cluster.hosts)
        await trainer.submit(12, 4)
        await waitUntil(() => (platform.engines[0]?.engine.runs.length ?? 0) > 0, 5000, 'the target runs work')
        await leave()
        await new Promise((resolve) => setTimeout(resolve, 2000))
        const leftAt = Date.now()
        const pulling = trainer.pullAll(25_000)
        await Promise.all(Array.from({ length: 8 }, async (_, index) => await call(cluster.host(index % 3).address, '/v1/lanes/desk/completions', { body })))
        await pulling
        expect(platform.engines[0]?.engine.runs.filter(({ at }) => at > leftAt)).to.deep.equal([])
        expect(platform.engines[0]?.engine.refusals.filter((at) => at > leftAt)).to.deep.equal([])
        expect(platform.engines[1]?.engine.runs.some(({ at }) => at > leftAt)).to.equal(true)
      })
    }
  })

  describe('a planned stop', () => {
    async function streamsAt (host: HostProcess, count: number): Promise<StreamOutcome[]> {
      return await Promise.all(Array.from({ length: count }, async () => await streamCompletion(host.address, { body })))
    }

    /*
     * Guards against answers that are lost at every planned restart. The host is told to stop while streams, calls
     * and pulls are in flight, and callers that have cached its address send requests for another second. Answers
     * are lost if the listening socket is closed at once or the process exits with requests in flight.
     */
    it('interrupts no request that is in flight or that arrives while callers still have its address', async () => {
      const host = cluster.host(0)
      const streams = streamsAt(host, 4)
      const headers = { 'x-request-id': 'stop-1', 'x-issued-at': String(Date.now()), 'x-idempotent': 'false' }
      for (const { service } of platform.services) service.faults.delayMs = 600
      const onceOnlyCall = call(host.address, '/v1/lanes/bookings/services/ledger', { headers, body: {} })
      const pull = call(host.address, '/v1/subscriptions/drafts/pull', { key: keys.trainer, body: { cursor: 0, version: 1, wait_ms: 800 } })
      await new Promise((resolve) => setTimeout(resolve, 100))
      host.terminate()
      await waitUntil(async () => {
        const answer = await call(cluster.host(1).address, '/v1/addresses')
        return !(answer.body.addresses as { address: string }[]).some(({ address }) => address === host.address)
      }, 1000, 'the address is no longer listed')
      const late = await streamsAt(host, 2)
      expect([...await streams, ...late].map(({ whole }) => whole)).to.deep.equal([true, true, true, true, true, true])
      expect([(await onceOnlyCall).status, (await pull).status]).to.deep.equal([200, 200])
      await host.waitForExit()
      expect(host.exitCode).to.equal(0)
    })

    it('of the home of a subscription loses no sample', async () => {
      const trainer = new TestTrainer(cluster.hosts)
      await trainer.submit(8, 4)
      const [row] = await cluster.host(0).rows('show subscriptions')
      const home = cluster.hostNamed(String(row?.home).split('/')[0] ?? '')
      await new Promise((resolve) => setTimeout(resolve, 300))
      home.terminate()
      await trainer.pullAll(25_000)
      expect([trainer.duplicateCount, trainer.faults]).to.deep.equal([0, []])
      await home.waitForExit()
      expect(home.exitCode).to.equal(0)
    })

    it('of two hosts at once while the log is down interrupts no request', async () => {
      const streams = Promise.all([streamsAt(cluster.host(0), 3), streamsAt(cluster.host(1), 3)])
      await new Promise((resolve) => setTimeout(resolve, 150))
      platform.log.log.faults.down = true
      cluster.host(0).terminate()
      cluster.host(1).terminate()
      expect((await streams).flat().every(({ whole }) => whole)).to.equal(true)
      await Promise.all([cluster.host(0).waitForExit(), cluster.host(1).waitForExit()])
      expect([cluster.host(0).exitCode, cluster.host(1).exitCode]).to.deep.equal([0, 0])
      expect((await streamsAt(cluster.host(2), 1))[0]?.whole).to.equal(true)
    })
  })
})
