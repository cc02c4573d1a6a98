/** Tests the guarantee that every sample reaches its trainer exactly once, within the staleness limit and attributed to the right weight versions. */

import { expect } from 'chai'
import type { Cluster } from '../support/hostProcess.ts'
import { waitUntil } from '../support/hostProcess.ts'
import type { TestPlatform } from '../support/platform.ts'
import { startTestPlatform } from '../support/platform.ts'
import { TestTrainer } from '../support/trainer.ts'

const hosts = [{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }, { name: 'tabarbour-1', place: 'Tabarbour' }]

describe('exactly once', function () {
  this.timeout(60_000)
  let platform: TestPlatform
  let cluster: Cluster
  let trainer: TestTrainer

  beforeEach(async () => {
    platform = await startTestPlatform({ engines: 2, engine: { slots: 4, stepMs: 8, answerTokens: 60 } })
    cluster = await platform.startCluster(hosts)
    await platform.configure(cluster)
    trainer = new TestTrainer(cluster.hosts)
  })

  afterEach(async () => {
    await cluster.stop()
    await platform.close()
  })

  function expectExactlyOnce (): void {
    expect({ taken: trainer.deliveryCounts.size, twice: trainer.duplicateCount, faults: trainer.faults }).to.deep.equal({ taken: trainer.submittedCount, twice: 0, faults: [] })
  }

  async function homeOfDrafts (): Promise<string> {
    const [row] = await cluster.host(0).rows('show subscriptions')
    return String(row?.home).split('/')[0] ?? ''
  }

  /*
   * Guards against samples that are delivered twice or never. The answers of the log and of pulls are lost after
   * they took effect; a writer that treats a lost answer as a failure writes the record a second time.
   */
  it('when answers of the log and of pulls are lost', async () => {
    await trainer.submit(6, 4)
    let round = 0
    await trainer.pullAll(25_000, async () => {
      platform.log.log.faults.loseAnswers = 1
      await trainer.pull({ loseAnswer: round++ % 2 === 0, waitMs: 50 })
    })
    expectExactlyOnce()
  })

  /*
   * Guards against a step that never completes after the home of its subscription was killed while rollouts run.
   * State that only this host had is lost, so the next home must plan from the log alone.
   */
  it('when the home of the subscription is killed', async () => {
    await trainer.submit(6, 4)
    await trainer.pull({ waitMs: 300 })
    await cluster.hostNamed(await homeOfDrafts()).kill()
    await trainer.pullAll(25_000)
    expectExactlyOnce()
  })

  /*
   * Guards against duplicate samples. The home is frozen, another host takes over, then the first one resumes and
   * finishes its rollouts, so that both record a sample for the same slot.
   */
  it('when the home is frozen and resumes', async () => {
    await trainer.submit(8, 4)
    await trainer.pull({ waitMs: 300 })
    const home = cluster.hostNamed(await homeOfDrafts())
    home.freeze()
    setTimeout(() => { home.resume() }, 3000)
    await trainer.pullAll(30_000)
    expectExactlyOnce()
  })

  /*
   * Guards against samples that are lost, or too old when they are delivered, after a log outage of several seconds
   * during a step, followed by a change of weights. Until the log accepts a finished sample, it exists only in the
   * memory of its host.
   */
  it('when the log has an outage and weights change after it', async () => {
    await trainer.submit(8, 4)
    await trainer.pull({ waitMs: 300 })
    platform.log.log.faults.down = true
    await new Promise((resolve) => setTimeout(resolve, 2500))
    platform.log.log.faults.down = false
    await waitUntil(async () => {
      await cluster.execute('load weights 2 on pool drafter')
      return true
    }, 5000, 'the log accepts commands again')
    trainer.version = 2
    await trainer.pullAll(25_000)
    expectExactlyOnce()
  })

  it('while weights change repeatedly', async () => {
    await trainer.submit(10, 4)
    let newest = 1
    const publish = setInterval(() => {
      newest++
      cluster.host(0).command(`load weights ${newest} on pool drafter`).then((answer) => { if (answer.status === 200) trainer.version = newest }, () => undefined)
    }, 700)
    await trainer.pullAll(40_000, () => { if (newest > 8) clearInterval(publish) })
    clearInterval(publish)
    expectExactlyOnce()
  })

  /*
   * Guards against samples that are lost for a trainer that does not pull for a long time. The log keeps entries for
   * a limited time, delivered or not, and drops those that contain the texts of the samples.
   */
  it('for a trainer that does not pull for longer than the retention period of the log', async () => {
    await cluster.stop()
    cluster = await platform.startCluster(hosts, { log: { payload_refresh: 1000, checkpoint_interval: 800 } })
    // Set only after the start: a host that takes longer to start than the retention period finds no state, which this test does not cover.
    platform.log.log.faults.retainMs = 3000
    await waitUntil(async () => (await cluster.host(0).rows('show subscriptions')).length === 1, 5000, 'the configuration is restored').catch(async () => { await platform.configure(cluster) })
    trainer = new TestTrainer(cluster.hosts)
    await trainer.submit(4, 4)
    await waitUntil(async () => (await cluster.host(0).rows('show subscriptions'))[0]?.ready === 4, 15_000, 'all groups are ready')
    await new Promise((resolve) => setTimeout(resolve, 7000))
    expect(platform.log.log.stream('payload').first).to.be.greaterThan(0)
    await trainer.pullAll(10_000)
    expectExactlyOnce()
  })
})
