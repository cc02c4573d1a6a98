/** Tests the guarantee that an accepted configuration takes effect on all hosts within seconds and is never reverted. */

import { expect } from 'chai'
import type { Cluster, HostAnswer, HostProcess } from '../support/hostProcess.ts'
import { call, waitUntil } from '../support/hostProcess.ts'
import type { TestPlatform } from '../support/platform.ts'
import { startTestPlatform } from '../support/platform.ts'

const hosts = [{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }, { name: 'tabarbour-1', place: 'Tabarbour' }]

describe('configuration', function () {
  this.timeout(40_000)
  let platform: TestPlatform
  let cluster: Cluster

  beforeEach(async () => {
    platform = await startTestPlatform({ engines: 1 })
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

  it('takes effect on all hosts within three seconds', async () => {
    const began = Date.now()
    await cluster.execute('set lane desk priority 3')
    await waitUntil(async () => (await Promise.all(cluster.hosts.map(laneOn))).every((lane) => lane.priority === 3), 3000, 'priority 3 on all hosts')
    expect(Date.now() - began).to.be.below(3000)
  })

  /*
   * Guards against a lost update. Two operators read the same revision and send a conditional change to two hosts at
   * the same time; a host that decides from its own state alone accepts both.
   */
  it('accepts one of two concurrent conditional changes and reports the conflicting revision to the other operator', async () => {
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
   * Guards against a host that temporarily serves with an older configuration than before. Hosts are frozen, resumed,
   * killed and restarted while operators change the configuration, and a state that was recovered from an older
   * checkpoint or peer replaces a newer one.
   */
  it('is never reverted on any host by freezes, restarts and checkpoints', async () => {
    const newestRevisions = new Map<string, number>()
    const reverts: string[] = []
    const watching = new AbortController()
    const watch = cluster.hosts.map(async (host) => {
      while (!watching.signal.aborted) {
        try {
          const health = await host.health()
          const incarnation = String(health.host)
          if ((newestRevisions.get(incarnation) ?? 0) > Number(health.revision)) reverts.push(`${incarnation} from ${newestRevisions.get(incarnation)} to ${String(health.revision)}`)
          newestRevisions.set(incarnation, Number(health.revision))
        } catch {}
        await new Promise((resolve) => setTimeout(resolve, 10))
      }
    })
    for (let round = 0; round < 12; round++) {
      await cluster.execute(`set lane desk priority ${round % 9}`)
      if (round === 2) cluster.host(1).freeze()
      if (round === 4) {
        await cluster.host(2).kill()
        cluster.host(2).start()
      }
      if (round === 8) cluster.host(1).resume()
    }
    await waitUntil(async () => (await Promise.all(cluster.hosts.map(laneOn))).every((lane) => lane.priority === 2), 5000, 'the last change has taken effect on all hosts')
    watching.abort()
    await Promise.all(watch)
    expect(reverts).to.deep.equal([])
  })

  /*
   * Guards against a host that serves nothing, or has no lanes, because it was started during a log outage. It cannot
   * read the state from the log and must get it from a peer.
   */
  it('is transferred from a peer to a host that starts while the log is down', async () => {
    await cluster.execute('set lane desk priority 7')
    platform.log.log.faults.down = true
    await cluster.host(2).kill()
    cluster.host(2).start()
    await waitUntil(async () => (await laneOn(cluster.host(2))).priority === 7, 8000, 'the host has the state of a peer')
    await waitUntil(async () => (await complete(cluster.host(2))).status === 200, 8000, 'the host serves requests')
  })

  it('remains in use on all hosts while the log is down', async () => {
    platform.log.log.faults.down = true
    await new Promise((resolve) => setTimeout(resolve, 4000))
    for (const host of cluster.hosts) expect((await complete(host)).status).to.equal(200)
    expect((await cluster.host(0).command('set lane desk priority 1')).status).to.equal(503)
  })

  /*
   * Guards against a host that serves with an outdated configuration. It reaches neither the log nor any other host
   * while operators make changes, and cannot distinguish "nothing changed" from "no updates received".
   */
  it('is not used by an isolated host: it refuses requests as not run', async () => {
    platform.log.log.faults.down = true
    await Promise.all([cluster.host(1).kill(), cluster.host(2).kill()])
    await waitUntil(async () => codeOf(await complete(cluster.host(0))) === 'stale', 8000, 'the isolated host is stale')
    const answer = await complete(cluster.host(0))
    expect(answer.body.error).to.include({ number: 1006, effect: 'not-run' })
  })

  /*
   * Guards against a host that skips records after it resumes. It was frozen for longer than the log keeps entries,
   * so the oldest entry that the log still has does not follow the last entry that the host has read.
   */
  it('is recovered by a host that was frozen for longer than the retention of the log', async () => {
    cluster.host(1).freeze()
    platform.log.log.faults.retainEntries = 3
    for (let round = 0; round < 10; round++) await cluster.host(0).command(`set lane desk priority ${1 + round % 8}`)
    await waitUntil(() => platform.log.log.stream('control').first > 10, 5000, 'the log has dropped entries')
    cluster.host(1).resume()
    await waitUntil(async () => (await laneOn(cluster.host(1))).priority === 2 && (await cluster.host(1).health()).fresh === true, 8000, 'the state is recovered')
    expect(cluster.host(1).output).to.contain('the log no longer has the next entry')
  })

  it('survives a restart of all hosts at once, from the checkpoint and the entries after it', async () => {
    platform.log.log.faults.retainEntries = 4
    for (let round = 0; round < 8; round++) await cluster.execute(`set lane desk priority ${round}`)
    await waitUntil(() => platform.log.log.stream('control').first > 4, 5000, 'the log has dropped its first entries')
    const newest = (): number => (JSON.parse(platform.log.log.entries('checkpoint').at(-1) ?? '{"offset":0}') as { offset: number }).offset
    await waitUntil(() => newest() >= platform.log.log.stream('control').first, 3000, 'a checkpoint is newer than the oldest retained entry')
    await Promise.all(cluster.hosts.map(async (host) => { await host.kill() }))
    for (const host of cluster.hosts) host.start()
    await waitUntil(async () => (await Promise.all(cluster.hosts.map(laneOn))).every((lane) => lane.priority === 7), 10_000, 'the configuration is restored')
  })

  /*
   * Guards against hosts that wait silently when they cannot recover a state. The log has dropped its first entries
   * and has no usable checkpoint, because its retention is shorter than the checkpoint interval or the log is faulty.
   */
  it('is not replaced by an empty one if it cannot be recovered: the hosts raise an alarm and refuse requests', async () => {
    await Promise.all(cluster.hosts.map(async (host) => { await host.kill() }))
    platform.log.log.stream('checkpoint').entries.splice(0)
    platform.log.log.stream('control').first += 1
    cluster.host(0).start()
    await waitUntil(() => cluster.host(0).output.includes('no state can be found'), 8000, 'the alarm is raised')
    expect(codeOf(await complete(cluster.host(0)))).to.equal('stale')
  })

  it('is changed once by a command that is retried with the same id', async () => {
    platform.log.log.faults.loseAnswers = 2
    const first = await cluster.host(0).command('set lane desk priority 5', { id: 'change-1' })
    const second = await cluster.host(1).command('set lane desk priority 5', { id: 'change-1' })
    expect([first.status, second.status]).to.deep.equal([200, 200])
    expect(second.body.revision).to.equal(first.body.revision)
  })
})
