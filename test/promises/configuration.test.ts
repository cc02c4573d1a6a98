/** Promise: an accepted configuration is in force everywhere within seconds and never reverts. */

import { expect } from 'chai'
import type { Cluster, HostAnswer, HostProcess } from '../support/hostProcess.ts'
import { call, waitUntil } from '../support/hostProcess.ts'
import type { Platform } from '../support/platform.ts'
import { startPlatform } from '../support/platform.ts'

const hosts = [{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }, { name: 'tabarbour-1', place: 'Tabarbour' }]

describe('configuration', function () {
  this.timeout(40_000)
  let platform: Platform
  let cluster: Cluster

  beforeEach(async () => {
    platform = await startPlatform({ engines: 1 })
    cluster = await platform.startCluster(hosts, { log: { freshness: 2000, timeout: 1000, long_poll: 500, checkpoint_interval: 500, checkpoint_entries: 5 } })
    await platform.configure(cluster)
  })

  afterEach(async () => {
    await cluster.stop()
    await platform.close()
  })

  async function laneOn (host: HostProcess): Promise<Record<string, unknown>> {
    const [lane] = await host.rows('show lanes where name = desk')
    return lane ?? {}
  }

  async function complete (host: HostProcess): Promise<HostAnswer> {
    return await call(host.address, '/v1/lanes/desk/completions', { body: { prompt: 'x', max_tokens: 4, deadline_ms: 3000 } })
  }

  function codeOf (answer: HostAnswer): string {
    return (answer.body.error as { code: string } | undefined)?.code ?? 'none'
  }

  it('is in force on all hosts within three seconds', async () => {
    const began = Date.now()
    await cluster.order('set lane desk priority 3')
    await waitUntil(async () => (await Promise.all(cluster.hosts.map(laneOn))).every((lane) => lane.priority === 3), 3000, 'priority 3 everywhere')
    expect(Date.now() - began).to.be.below(3000)
  })

  /*
   * Symptom: two operators are both told that their change holds.
   * Sequence: both read revision N and order a change at two hosts at the same time.
   * Cause: a host that decides by its own state does not know of the other.
   */
  it('gives one of two racing operators the change and tells the other what beat him', async () => {
    for (let round = 0; round < 10; round++) {
      const { revision } = await laneOn(cluster.host(0))
      const answers = await Promise.all([1, 2].map(async (priority) => await cluster.host(priority).command(`set lane desk priority ${priority} if revision = ${String(revision)}`, { wait: true })))
      const [won, lost] = answers[0]?.status === 200 ? answers : [...answers].reverse()
      expect(won?.status).to.equal(200)
      expect(lost === undefined ? '' : codeOf(lost)).to.equal('revisionConflict')
      expect((lost?.body.error as { revision: number }).revision).to.equal(won?.body.revision)
    }
  })

  /*
   * Symptom: for a while a host serves by an older configuration than it did before.
   * Sequence: hosts freeze, wake, are killed and started again while operators order changes.
   * Cause: a state found anew from an older checkpoint or peer replaces a newer one.
   */
  it('never goes back on any host, through freezes, restarts and checkpoints', async () => {
    const seen = new Map<string, number>()
    const reverts: string[] = []
    const watching = new AbortController()
    const watch = cluster.hosts.map(async (host) => {
      while (!watching.signal.aborted) {
        try {
          const health = await host.health()
          const life = String(health.host)
          if ((seen.get(life) ?? 0) > Number(health.revision)) reverts.push(`${life} from ${seen.get(life)} to ${String(health.revision)}`)
          seen.set(life, Number(health.revision))
        } catch {}
        await new Promise((resolve) => setTimeout(resolve, 10))
      }
    })
    for (let round = 0; round < 12; round++) {
      await cluster.order(`set lane desk priority ${round % 9}`)
      if (round === 2) cluster.host(1).freeze()
      if (round === 4) {
        await cluster.host(2).kill()
        cluster.host(2).start()
      }
      if (round === 8) cluster.host(1).wake()
    }
    await waitUntil(async () => (await Promise.all(cluster.hosts.map(laneOn))).every((lane) => lane.priority === 2), 5000, 'the last change is everywhere')
    watching.abort()
    await Promise.all(watch)
    expect(reverts).to.deep.equal([])
  })

  /*
   * Symptom: a host that was replaced during an outage of the log serves nothing, or by no lanes.
   * Sequence: the log is down; a host is started.
   * Cause: the state can only be had from the log, unless a peer gives its own.
   */
  it('comes from a peer to a host that starts while the log is down', async () => {
    await cluster.order('set lane desk priority 7')
    platform.log.log.faults.down = true
    await cluster.host(2).kill()
    cluster.host(2).start()
    await waitUntil(async () => (await laneOn(cluster.host(2))).priority === 7, 8000, 'the state of a peer')
    await waitUntil(async () => (await complete(cluster.host(2))).status === 200, 8000, 'it serves')
  })

  it('keeps all hosts serving while the log is down', async () => {
    platform.log.log.faults.down = true
    await new Promise((resolve) => setTimeout(resolve, 4000))
    for (const host of cluster.hosts) expect((await complete(host)).status).to.equal(200)
    expect((await cluster.host(0).command('set lane desk priority 1')).status).to.equal(503)
  })

  /*
   * Symptom: a host serves by a configuration that was changed long ago.
   * Sequence: it reaches neither the log nor any other host; operators change things meanwhile.
   * Cause: without news it cannot tell "nothing changed" from "I do not hear of it".
   */
  it('is not served by a host that hears of nothing: it refuses as not run', async () => {
    platform.log.log.faults.down = true
    await Promise.all([cluster.host(1).kill(), cluster.host(2).kill()])
    await waitUntil(async () => codeOf(await complete(cluster.host(0))) === 'stale', 8000, 'the lone host is stale')
    const answer = await complete(cluster.host(0))
    expect(answer.body.error).to.include({ number: 1006, effect: 'not-run' })
  })

  /*
   * Symptom: a woken host goes on by records it never read.
   * Sequence: it is frozen for longer than the log keeps entries.
   * Cause: the next entry that the log still has is not the next entry.
   */
  it('is found anew by a host frozen past the retention of the log', async () => {
    cluster.host(1).freeze()
    platform.log.log.faults.retainEntries = 3
    for (let round = 0; round < 10; round++) await cluster.host(0).command(`set lane desk priority ${1 + round % 8}`)
    await waitUntil(() => platform.log.log.stream('control').first > 10, 5000, 'the log has forgotten')
    cluster.host(1).wake()
    await waitUntil(async () => (await laneOn(cluster.host(1))).priority === 2 && (await cluster.host(1).health()).fresh === true, 8000, 'the state is found anew')
    expect(cluster.host(1).output).to.contain('the log no longer has the next entry')
  })

  it('outlives all hosts being replaced at once, by checkpoint and tail', async () => {
    platform.log.log.faults.retainEntries = 4
    for (let round = 0; round < 8; round++) await cluster.order(`set lane desk priority ${round}`)
    await waitUntil(() => platform.log.log.stream('control').first > 4, 5000, 'the log has forgotten the beginning')
    const newest = (): number => (JSON.parse(platform.log.log.entries('checkpoint').at(-1) ?? '{"offset":0}') as { offset: number }).offset
    await waitUntil(() => newest() >= platform.log.log.stream('control').first, 3000, 'a checkpoint within retention')
    await Promise.all(cluster.hosts.map(async (host) => { await host.kill() }))
    for (const host of cluster.hosts) host.start()
    await waitUntil(async () => (await Promise.all(cluster.hosts.map(laneOn))).every((lane) => lane.priority === 7), 10_000, 'the configuration is back')
  })

  /*
   * Symptom: hosts that cannot find a state wait in silence.
   * Sequence: the log has forgotten the beginning, its checkpoints are gone or broken.
   * Cause: retention shorter than the time between checkpoints, or a fault of the log.
   */
  it('is not invented where none can be found: the hosts raise an alarm and refuse', async () => {
    await Promise.all(cluster.hosts.map(async (host) => { await host.kill() }))
    platform.log.log.stream('checkpoint').entries.splice(0)
    platform.log.log.stream('control').first += 1
    cluster.host(0).start()
    await waitUntil(() => cluster.host(0).output.includes('no state can be found'), 8000, 'the alarm')
    expect(codeOf(await complete(cluster.host(0)))).to.equal('stale')
  })

  it('repeats a command with the same id without doing it twice', async () => {
    platform.log.log.faults.loseAnswers = 2
    const first = await cluster.host(0).command('set lane desk priority 5', { id: 'change-1' })
    const second = await cluster.host(1).command('set lane desk priority 5', { id: 'change-1' })
    expect([first.status, second.status]).to.deep.equal([200, 200])
    expect(second.body.revision).to.equal(first.body.revision)
  })
})
