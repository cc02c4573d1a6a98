/** Connections that go silent, hosts that are cut off, and membership between them, on processes. */

import { expect } from 'chai'
import { Cluster, call, waitUntil } from '../support/hostProcess.ts'
import type { Cutter } from '../support/cutter.ts'
import { startCutter } from '../support/cutter.ts'
import type { Platform } from '../support/platform.ts'
import { startPlatform } from '../support/platform.ts'

describe('silence and cuts', function () {
  this.timeout(40_000)
  let platform: Platform
  let cluster: Cluster
  const cutters = new Map<string, Cutter>()

  /** Each host is reached by the others through a forwarder of its own. */
  async function start (names: readonly { name: string, place: string }[], settings = {}): Promise<void> {
    const real = new Map<string, string>()
    for (const { name } of names) cutters.set(name, await startCutter(() => real.get(name) ?? ''))
    const logCutter = await startCutter(() => platform.log.address)
    cutters.set('log', logCutter)
    cluster = await Cluster.prepare({
      hosts: names,
      logAddress: logCutter.address,
      announced: Object.fromEntries(names.map(({ name }) => [name, cutters.get(name)?.address ?? ''])),
      settings: { log: { freshness: 2000, timeout: 800, long_poll: 400 }, ...settings }
    })
    for (const host of cluster.hosts) {
      real.set(host.name, host.address)
      host.start()
    }
    await waitUntil(async () => (await cluster.host(0).rows('show hosts')).length === names.length, 15_000, 'hosts know each other')
    await waitUntil(async () => (await Promise.all(cluster.hosts.map(async (host) => (await host.health()).fresh))).every((fresh) => fresh === true), 10_000, 'all are fresh')
  }

  beforeEach(async () => {
    platform = await startPlatform({ engines: 2, engine: { answerTokens: 20 } })
  })

  afterEach(async () => {
    await cluster.stop()
    for (const cutter of cutters.values()) await cutter.close()
    cutters.clear()
    await platform.close()
  })

  async function complete (index: number): Promise<{ status: number, code: string }> {
    const answer = await call(cluster.host(index).address, '/v1/lanes/desk/completions', { body: { prompt: 'x', max_tokens: 4, deadline_ms: 4000 } })
    return { status: answer.status, code: (answer.body.error as { code: string } | undefined)?.code ?? 'none' }
  }

  /** How many hosts callers are told of. */
  async function named (): Promise<number> {
    const answer = await call(cluster.host(0).address, '/v1/addresses')
    return (answer.body.addresses as unknown[]).length
  }

  const two = [{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }]

  /*
   * Symptom: hosts count each other dead, and homes move, though both live.
   * Sequence: all open connections between them go silent for good; new ones would work.
   * Cause: the probe goes over the connection that was lost track of, again and again.
   */
  it('do not make a host dead whose new connections work', async () => {
    await start(two)
    for (const cutter of cutters.values()) cutter.silenceOpen()
    await new Promise((resolve) => setTimeout(resolve, 3000))
    expect((await cluster.host(0).rows('show hosts')).length).to.equal(2)
    expect(cluster.hosts.map((host) => host.output).join('')).to.not.contain('host is dead')
    expect((await complete(0)).code).to.equal('notFound')
  })

  it('of the log on open connections pass, as new ones are made', async () => {
    await start(two)
    cutters.get('log')?.silenceOpen()
    await waitUntil(async () => (await cluster.host(1).command('create pool spare copies 1')).status === 200, 8000, 'an order is taken')
  })

  it('make a host dead that answers nobody, and it comes back when it does', async () => {
    await start([...two, { name: 'tabarbour-1', place: 'Tabarbour' }])
    cutters.get('marka-1')?.silenceAll()
    cluster.host(1).freeze()
    await waitUntil(async () => await named() === 2, 8000, 'it is dead')
    cutters.get('marka-1')?.heal()
    cluster.host(1).wake()
    await waitUntil(async () => await named() === 3, 8000, 'it is named again')
  })

  /*
   * Symptom: one side of a cut serves by configuration that the other has changed.
   * Sequence: a place loses the log and the other place at once; operators go on at the other side.
   * Cause: to the cut-off side it looks like an outage of the log, in which its state cannot age.
   */
  it('of the log and a whole place at once are taken for a cut: new work is refused', async () => {
    const three = [...two, { name: 'marka-2', place: 'Marka' }]
    await start(three)
    await platform.configure(cluster)
    expect((await complete(1)).status).to.equal(200)
    cutters.get('log')?.silenceAll()
    cutters.get('abdali-1')?.silenceAll()
    await cluster.host(0).kill()
    await waitUntil(async () => (await complete(1)).code === 'stale', 12_000, 'the cut-off side refuses')
    await waitUntil(async () => (await complete(2)).code === 'stale', 4000, 'all of the cut-off side refuses')
    cutters.get('log')?.heal()
    await waitUntil(async () => (await complete(1)).status === 200, 8000, 'it serves again')
  })

  /*
   * Symptom: requests hang until their deadline after a host died.
   * Sequence: the home of a shard is killed while requests wait in its queue.
   * Cause: who waits for the answer of a dead host waits for ever.
   */
  it('of a home are not waited out: its queue is asked for elsewhere', async () => {
    await start([...two, { name: 'tabarbour-1', place: 'Tabarbour' }])
    await platform.configure(cluster)
    const began = Date.now()
    cluster.host(1).freeze()
    const answers = await Promise.all(Array.from({ length: 6 }, async (_, index) => await complete(index % 2 * 2)))
    expect(answers.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200, 200, 200])
    expect(Date.now() - began).to.be.below(4000)
  })

  /*
   * Symptom: for two seconds after a host was killed, requests for its shards hang.
   * Sequence: the home of a shard is killed; requests ask it, are refused the connection, and ask
   * again until the probes' time limits have declared it suspect.
   * Cause: a refused connection says at once that nobody listens, and was treated as a silence.
   */
  it('are not what a killed host leaves: its shards have another home within 300 ms', async () => {
    await platform.close()
    platform = await startPlatform({ engines: 2, places: ['Abdali'] })
    await start([...two, { name: 'tabarbour-1', place: 'Tabarbour' }], { membership: { probe_period: 500, probe_timeout: 400 } })
    await platform.configure(cluster)
    await complete(2)
    const waits: number[] = []
    await cluster.host(0).kill()
    cutters.get('abdali-1')?.refuse()
    await Promise.all(Array.from({ length: 8 }, async (_, index) => {
      const began = Date.now()
      expect((await complete(1 + index % 2)).status).to.equal(200)
      waits.push(Date.now() - began)
    }))
    expect(Math.max(...waits)).to.be.below(300)
  })
})
