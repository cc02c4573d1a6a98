/** Promise: every sample reaches its trainer exactly once, none older than the bound, rightly attributed. */

import { expect } from 'chai'
import type { Cluster } from '../support/hostProcess.ts'
import { waitUntil } from '../support/hostProcess.ts'
import type { Platform } from '../support/platform.ts'
import { startPlatform } from '../support/platform.ts'
import { Trainer } from '../support/trainer.ts'

const hosts = [{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }, { name: 'tabarbour-1', place: 'Tabarbour' }]

describe('exactly once', function () {
  this.timeout(60_000)
  let platform: Platform
  let cluster: Cluster
  let trainer: Trainer

  beforeEach(async () => {
    platform = await startPlatform({ engines: 2, engine: { slots: 4, stepMs: 8, answerTokens: 60 } })
    cluster = await platform.startCluster(hosts)
    await platform.configure(cluster)
    trainer = new Trainer(cluster.hosts)
  })

  afterEach(async () => {
    await cluster.stop()
    await platform.close()
  })

  function judge (): void {
    expect({ taken: trainer.taken.size, twice: trainer.takenTwice, faults: trainer.faults }).to.deep.equal({ taken: trainer.expected, twice: 0, faults: [] })
  }

  async function homeOfDrafts (): Promise<string> {
    const [row] = await cluster.host(0).rows('show subscriptions')
    return String(row?.home).split('/')[0] ?? ''
  }

  /*
   * Symptom: samples come twice, or the trainer waits for ever.
   * Sequence: the log takes records and their answers are lost; the trainer loses answers too.
   * Cause: whoever takes a lost answer for a failure writes the record again as a new one.
   */
  it('through lost answers of the log and of pulls', async () => {
    await trainer.submit(6, 4)
    let round = 0
    await trainer.pullAll(25_000, async () => {
      platform.log.log.faults.loseAnswers = 1
      await trainer.pull({ loseAnswer: round++ % 2 === 0, waitMs: 50 })
    })
    judge()
  })

  /*
   * Symptom: a step never completes after a host died.
   * Sequence: the home of the subscription is killed while its rollouts run.
   * Cause: what only the home knew is gone; the next home must plan from the log alone.
   */
  it('through the death of the home of the subscription', async () => {
    await trainer.submit(6, 4)
    await trainer.pull({ waitMs: 300 })
    await cluster.named(await homeOfDrafts()).kill()
    await trainer.pullAll(25_000)
    judge()
  })

  /*
   * Symptom: slots are delivered twice after a host woke up.
   * Sequence: the home is frozen, another takes over, the first wakes and finishes its rollouts.
   * Cause: two homes each record a sample for the same slot.
   */
  it('through a home that is frozen and wakes', async () => {
    await trainer.submit(8, 4)
    await trainer.pull({ waitMs: 300 })
    const home = cluster.named(await homeOfDrafts())
    home.freeze()
    setTimeout(() => { home.wake() }, 3000)
    await trainer.pullAll(30_000)
    judge()
  })

  /*
   * Symptom: samples that were finished while the log was down are lost, or too old when they come.
   * Sequence: the log is down for seconds in the middle of a step; weights move on after it.
   * Cause: a finished sample is nowhere but in its host's memory until the log has it.
   */
  it('through an outage of the log and a change of weights', async () => {
    await trainer.submit(8, 4)
    await trainer.pull({ waitMs: 300 })
    platform.log.log.faults.down = true
    await new Promise((resolve) => setTimeout(resolve, 2500))
    platform.log.log.faults.down = false
    await waitUntil(async () => {
      await cluster.order('load weights 2 on pool drafter')
      return true
    }, 5000, 'the log takes orders again')
    trainer.version = 2
    await trainer.pullAll(25_000)
    judge()
  })

  it('while weights change again and again', async () => {
    await trainer.submit(10, 4)
    let newest = 1
    const publish = setInterval(() => {
      newest++
      cluster.host(0).command(`load weights ${newest} on pool drafter`).then((answer) => { if (answer.status === 200) trainer.version = newest }, () => undefined)
    }, 700)
    await trainer.pullAll(40_000, () => { if (newest > 8) clearInterval(publish) })
    clearInterval(publish)
    judge()
  })

  /*
   * Symptom: a trainer that was away for long finds its samples gone.
   * Sequence: samples are recorded and not pulled; the log forgets the entries that hold their texts.
   * Cause: entries are kept for a limited time, undelivered or not.
   */
  it('for a trainer that stays away longer than the log keeps entries', async () => {
    await cluster.stop()
    cluster = await platform.startCluster(hosts, { log: { payload_refresh: 1000, checkpoint_interval: 800 } })
    // Only now: hosts that need longer to start than the log keeps entries find no state, which is another matter.
    platform.log.log.faults.retainMs = 3000
    await waitUntil(async () => (await cluster.host(0).rows('show subscriptions')).length === 1, 5000, 'configuration is there').catch(async () => { await platform.configure(cluster) })
    trainer = new Trainer(cluster.hosts)
    await trainer.submit(4, 4)
    await waitUntil(async () => (await cluster.host(0).rows('show subscriptions'))[0]?.ready === 4, 15_000, 'all groups are ready')
    await new Promise((resolve) => setTimeout(resolve, 7000))
    expect(platform.log.log.stream('payload').first).to.be.greaterThan(0)
    await trainer.pullAll(10_000)
    judge()
  })
})
