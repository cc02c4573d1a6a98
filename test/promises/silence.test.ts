/** Tests with host processes of silent connections, network partitions and the membership between hosts. */

import { expect } from 'chai'
import { Cluster, call, waitUntil } from '../support/hostProcess.ts'
import type { FaultyForwarder } from '../support/faultyForwarder.ts'
import { startFaultyForwarder } from '../support/faultyForwarder.ts'
import type { TestPlatform } from '../support/platform.ts'
import { startTestPlatform } from '../support/platform.ts'

describe('silence and cuts', function () {
  this.timeout(40_000)
  let platform: TestPlatform
  let cluster: Cluster
  const forwarders = new Map<string, FaultyForwarder>()

  /** Starts hosts that reach each other and the log through forwarders, one for each destination. */
  async function start (names: readonly { name: string, place: string }[], settings = {}): Promise<void> {
    const addresses = new Map<string, string>()
    for (const { name } of names) forwarders.set(name, await startFaultyForwarder(() => addresses.get(name) ?? ''))
    const logForwarder = await startFaultyForwarder(() => platform.log.address)
    forwarders.set('log', logForwarder)
    cluster = await Cluster.prepare({
      hosts: names,
      logAddress: logForwarder.address,
      announcedAddresses: Object.fromEntries(names.map(({ name }) => [name, forwarders.get(name)?.address ?? ''])),
      settings: { log: { freshness: 2000, timeout: 800, long_poll: 400 }, ...settings }
    })
    for (const host of cluster.hosts) {
      addresses.set(host.name, host.address)
      host.start()
    }
    await waitUntil(async () => (await cluster.host(0).rows('show hosts')).length === names.length, 15_000, 'hosts know each other')
    await waitUntil(async () => (await Promise.all(cluster.hosts.map(async (host) => (await host.health()).fresh))).every((fresh) => fresh === true), 10_000, 'all hosts are fresh')
  }

  beforeEach(async () => {
    platform = await startTestPlatform({ engines: 2, engine: { answerTokens: 20 } })
  })

  afterEach(async () => {
    await cluster.stop()
    for (const cutter of forwarders.values()) await cutter.close()
    forwarders.clear()
    await platform.close()
  })

  async function complete (index: number): Promise<{ status: number, code: string }> {
    const answer = await call(cluster.host(index).address, '/v1/lanes/desk/completions', { body: { prompt: 'x', max_tokens: 4, deadline_ms: 4000 } })
    return { status: answer.status, code: (answer.body.error as { code: string } | undefined)?.code ?? 'none' }
  }

  /** Returns the number of hosts that are listed for callers. */
  async function namedHostCount (): Promise<number> {
    const answer = await call(cluster.host(0).address, '/v1/addresses')
    return (answer.body.addresses as unknown[]).length
  }

  const two = [{ name: 'abdali-1', place: 'Abdali' }, { name: 'marka-1', place: 'Marka' }]

  /*
   * Guards against hosts that declare each other dead although both are alive, which also moves homes. All open
   * connections between them go silent for good while new ones would work, and every probe uses the same silent
   * connection.
   */
  it('do not make a host count as dead if new connections to it work', async () => {
    await start(two)
    for (const cutter of forwarders.values()) cutter.silenceOpenConnections()
    await new Promise((resolve) => setTimeout(resolve, 3000))
    expect((await cluster.host(0).rows('show hosts')).length).to.equal(2)
    expect(cluster.hosts.map((host) => host.output).join('')).to.not.contain('host is dead')
    expect((await complete(0)).code).to.equal('notFound')
  })

  it('of open connections to the log are overcome by new connections', async () => {
    await start(two)
    forwarders.get('log')?.silenceOpenConnections()
    await waitUntil(async () => (await cluster.host(1).command('create pool spare copies 1')).status === 200, 8000, 'a command is accepted')
  })

  it('make a host count as dead while it answers no other host, and alive when it answers again', async () => {
    await start([...two, { name: 'tabarbour-1', place: 'Tabarbour' }])
    forwarders.get('marka-1')?.silenceAll()
    cluster.host(1).freeze()
    await waitUntil(async () => await namedHostCount() === 2, 8000, 'the host is no longer listed')
    forwarders.get('marka-1')?.restore()
    cluster.host(1).resume()
    await waitUntil(async () => await namedHostCount() === 3, 8000, 'the host is listed again')
  })

  /*
   * Guards against one side of a network partition that serves with a configuration that was changed on the other
   * side. A failure domain loses the log and the other failure domain at the same time, while operators continue on
   * the other side. To the isolated side this looks like a log outage, during which its state would not become stale.
   */
  it('of the log and a whole failure domain at once count as a partition: new work is refused', async () => {
    const three = [...two, { name: 'marka-2', place: 'Marka' }]
    await start(three)
    await platform.configure(cluster)
    expect((await complete(1)).status).to.equal(200)
    forwarders.get('log')?.silenceAll()
    forwarders.get('abdali-1')?.silenceAll()
    await cluster.host(0).kill()
    await waitUntil(async () => (await complete(1)).code === 'stale', 12_000, 'a host of the isolated side refuses requests')
    await waitUntil(async () => (await complete(2)).code === 'stale', 4000, 'all hosts of the isolated side refuse requests')
    forwarders.get('log')?.restore()
    await waitUntil(async () => (await complete(1)).status === 200, 8000, 'the host serves requests again')
  })

  /*
   * Guards against requests that hang until their deadline after a host failed. The home of a shard stops answering
   * while requests wait in its queue, and a request that waits for its answer would wait forever.
   */
  it('of a home do not block requests in its queue: they are sent to another home', async () => {
    await start([...two, { name: 'tabarbour-1', place: 'Tabarbour' }])
    await platform.configure(cluster)
    const began = Date.now()
    cluster.host(1).freeze()
    const answers = await Promise.all(Array.from({ length: 6 }, async (_, index) => await complete(index % 2 * 2)))
    expect(answers.map(({ status }) => status)).to.deep.equal([200, 200, 200, 200, 200, 200])
    expect(Date.now() - began).to.be.below(4000)
  })

  /*
   * Guards against requests that hang for two seconds after the home of their shard was killed. Their connections are
   * refused and they retry until the probe timeouts make the home suspect, although a refused connection already
   * shows that nothing listens there.
   */
  it('are not what a killed host leaves: its shards have another home within 300 ms', async () => {
    await platform.close()
    platform = await startTestPlatform({ engines: 2, places: ['Abdali'] })
    await start([...two, { name: 'tabarbour-1', place: 'Tabarbour' }], { membership: { probe_period: 500, probe_timeout: 400 } })
    await platform.configure(cluster)
    await complete(2)
    const latencies: number[] = []
    await cluster.host(0).kill()
    forwarders.get('abdali-1')?.stopListening()
    await Promise.all(Array.from({ length: 8 }, async (_, index) => {
      const began = Date.now()
      expect((await complete(1 + index % 2)).status).to.equal(200)
      latencies.push(Date.now() - began)
    }))
    expect(Math.max(...latencies)).to.be.below(300)
  })
})
