/** The addresses that a host lists for callers, the load that it reports to the other hosts, and the answer to an address query. */

import { expect } from 'chai'
import { request } from 'undici'
import { createHash } from '../../src/adapters/node/xxHash.ts'
import type { HostId } from '../../src/base/common/ids.ts'
import { asFailureDomain, asHostId } from '../../src/base/common/ids.ts'
import type { Member, MemberStatus } from '../../src/core/common/membership/memberTable.ts'
import { ClientMemory } from '../../src/entry/node/clientMemory.ts'
import { DirectoryServer } from '../../src/entry/node/front/directoryServer.ts'
import { CallerAddresses } from '../../src/host/node/routed/callerAddresses.ts'
import { probeLoad } from '../../src/host/node/routed/probeLoad.ts'
import type { Hash } from '../../src/ports/common/hash.ts'
import { frontProtocol } from '../../platform/index.ts'
import { ManualClock } from '../support/manualClock.ts'
import { freePorts } from '../support/hostProcess.ts'

interface KnownHost {
  readonly name: string
  readonly ip: string
  readonly place: string
  readonly status?: MemberStatus
  /** Absent if no probe of the host was received. */
  readonly load?: number
}

function newKnownHosts (count: number): KnownHost[] {
  return Array.from({ length: count }, (_, index) => ({ name: `h${index}/a`, ip: `10.0.0.${index}`, place: `p${index % 3}`, load: 0.1 }))
}

describe('the addresses for callers', () => {
  let hash: Hash
  before(async () => { hash = await createHash() })

  function newAddresses (known: readonly KnownHost[], { self = 'h0/a', isReady = true, spread = true, clock = new ManualClock() } = {}): CallerAddresses {
    const members = known.map(({ name, ip, place, status = 'alive' }): Member => ({ host: asHostId(name), address: `http://${ip}:9000`, place: asFailureDomain(place), processor: 1, status, incarnation: 1, since: 0 }))
    const membership = {
      members: () => members,
      available: () => members.filter(({ status }) => status === 'alive'),
      loadOf: (host: HostId) => known.find(({ name }) => name === host)?.load
    }
    return new CallerAddresses({ membership, clock, hash, isReady: () => isReady }, { host: asHostId(self), port: '8000', spread })
  }

  it('leave out a host whose announced address cannot be parsed', () => {
    // Guards against a host process that ends on each address query.
    for (const count of [3, 100]) {
      const known = newKnownHosts(count)
      const listed = newAddresses([...known, { name: 'odd/a', ip: '10.0.0.1:99999', place: 'p0', load: 0.1 }]).list('p0')
      expect(listed.filter((address) => !known.some(({ ip }) => address === `${ip}:8000`))).to.deep.equal([])
      expect(listed).to.have.length.of.at.least(3)
    }
  })

  it('are those of all hosts that accept callers, in the order of the member table, while an answer can list them', () => {
    // Guards against a change for deployments of at most 64 hosts: their answers must not depend on place, load or time.
    const known = newKnownHosts(64)
    const addresses = newAddresses(known)
    expect(addresses.isSpread).to.equal(false)
    for (const place of [undefined, 'p1', 'elsewhere']) expect(addresses.list(place)).to.deep.equal(known.map(({ ip }) => `${ip}:8000`))
  })

  it('are selected by failure domain with a 65th host that accepts callers', () => {
    const known = newKnownHosts(65)
    const addresses = newAddresses(known)
    expect(addresses.isSpread).to.equal(true)
    expect(addresses.list('p1')).to.have.members(known.filter(({ place }) => place === 'p1').map(({ ip }) => `${ip}:8000`))
    expect(addresses.list(undefined)).to.have.length(64)
    const unready = newAddresses(known.map((host) => host.name === 'h7/a' ? { ...host, load: 1 } : host))
    expect(unready.isSpread, 'with 64 hosts that accept callers').to.equal(false)
  })

  it('are the first known ones if the mechanism is disabled', () => {
    const known = newKnownHosts(90)
    const addresses = newAddresses(known, { spread: false })
    expect(addresses.isSpread).to.equal(false)
    expect(addresses.list('p1')).to.deep.equal(known.map(({ ip }) => `${ip}:8000`))
  })

  it('never include a host that is not ready, leaving, suspect or dead, or whose load is unknown', async () => {
    // Guards against callers that connect to a listed host immediately and are refused.
    const clock = new ManualClock()
    const excluded: KnownHost[] = [
      { name: 'unready/a', ip: '10.0.1.1', place: 'p0', load: 1 },
      { name: 'leaving/a', ip: '10.0.1.2', place: 'p0', load: 0, status: 'leaving' },
      { name: 'suspect/a', ip: '10.0.1.3', place: 'p0', load: 0, status: 'suspect' },
      { name: 'dead/a', ip: '10.0.1.4', place: 'p0', load: 0, status: 'dead' },
      { name: 'unknown/a', ip: '10.0.1.5', place: 'p0' },
      { name: 'self/a', ip: '10.0.1.6', place: 'p0', load: 0 }
    ]
    const addresses = newAddresses([...newKnownHosts(80), ...excluded], { self: 'self/a', isReady: false, clock })
    for (let slice = 0; slice < 20; slice++) {
      for (const place of [undefined, 'p0', 'elsewhere']) {
        const listed = addresses.list(place)
        expect(listed).not.to.have.length(0)
        expect(listed.filter((address) => address.startsWith('10.0.1.'))).to.deep.equal([])
      }
      await clock.advance(2000)
    }
  })

  it('list a restarted host once, at its former position, while its former process is still considered alive', async () => {
    // Guards against an address that appears twice in an answer, and against a restart that changes the rest of the list.
    const clock = new ManualClock()
    const known = newKnownHosts(80)
    const restarted: KnownHost[] = [...known, { name: 'h5/b', ip: '10.0.0.5', place: 'p2', load: 0.1 }]
    const afterwards = restarted.map((host) => host.name === 'h5/a' ? { ...host, status: 'dead' as const } : host)
    const lists = [known, restarted, afterwards].map((hosts) => newAddresses(hosts, { clock }))
    for (let slice = 0; slice < 20; slice++) {
      const [before, during, after] = lists.map((addresses) => addresses.list(undefined))
      expect(during).to.deep.equal(before)
      expect(after).to.deep.equal(before)
      expect(new Set(before).size).to.equal(before?.length)
      await clock.advance(2000)
    }
  })

  it('do not include a restarted host that is not ready, while its former process is still considered alive', async () => {
    // Guards against callers that connect to a starting host because the last load of its former process is still known.
    const clock = new ManualClock()
    const known = newKnownHosts(80)
    const restarted: KnownHost[] = [...known, { name: 'h5/b', ip: '10.0.0.5', place: 'p2', load: 1 }, { name: 'h6/b', ip: '10.0.0.6', place: 'p0' }, { name: 'self/b', ip: '10.0.0.7', place: 'p1', load: 0 }]
    const addresses = newAddresses(restarted, { self: 'self/b', isReady: false, clock })
    for (let slice = 0; slice < 20; slice++) {
      expect(addresses.list(undefined).filter((address) => ['10.0.0.5:8000', '10.0.0.6:8000', '10.0.0.7:8000'].includes(address))).to.deep.equal([])
      await clock.advance(2000)
    }
  })

  it('are the same on two hosts with the same knowledge, and change over time', async () => {
    const clock = new ManualClock()
    const known = newKnownHosts(90)
    const [one, other] = [newAddresses(known, { clock }), newAddresses([...known].reverse(), { self: 'h50/a', clock })]
    const different = new Set<string>()
    for (let slice = 0; slice < 20; slice++) {
      expect(one?.list(undefined)).to.deep.equal(other?.list(undefined))
      different.add(JSON.stringify(one?.list(undefined)))
      await clock.advance(2000)
    }
    expect(different.size).to.be.above(10)
  })

  it('of a host that knows nobody are its own, once it is ready', () => {
    // Guards against an empty answer of the first host to start.
    expect(newAddresses(newKnownHosts(1)).list('p1')).to.deep.equal(['10.0.0.0:8000'])
    expect(newAddresses(newKnownHosts(1), { isReady: false }).list('p1')).to.deep.equal([])
  })
})

describe('the load in probes', () => {
  const sources = { isReady: () => true, requests: () => 400, maximumConnections: 4000, isSpread: () => false, processorLoad: () => 0.7 }

  it('is the fraction of connections in use while an answer can list all hosts', () => {
    // Guards against a change for deployments of at most 64 hosts.
    expect(probeLoad(sources)).to.equal(0.1)
    expect(probeLoad({ ...sources, requests: () => 4000 })).to.equal(0.99)
    expect(probeLoad({ ...sources, isReady: () => false })).to.equal(1)
  })

  it('includes the processor load where callers are spread, and does not look like that of a host that accepts no callers', () => {
    expect(probeLoad({ ...sources, isSpread: () => true })).to.equal(0.7)
    expect(probeLoad({ ...sources, isSpread: () => true, processorLoad: () => 0.05 })).to.equal(0.1)
    expect(probeLoad({ ...sources, isSpread: () => true, processorLoad: () => 1 })).to.equal(0.99)
    expect(probeLoad({ ...sources, isSpread: () => true, isReady: () => false })).to.equal(1)
  })
})

describe('an address query', () => {
  it('passes the failure domain on, lists at most 64 hosts, and is counted', async () => {
    // Guards against an answer that ignores the requested failure domain, and one that is longer than callers accept.
    const [port = 0] = await freePorts(1)
    const places: (string | undefined)[] = []
    const values: Record<string, number> = {}
    let known = 90
    const server = new DirectoryServer({
      protocol: frontProtocol,
      metrics: { count: (name) => { values[name] = (values[name] ?? 0) + 1 }, gauge: (name, value) => { values[name] = value } },
      memory: new ClientMemory({ monotonic: () => 0 }, 100_000),
      clock: { monotonic: () => 0 },
      stateLog: { alarm: () => undefined },
      isReady: () => true,
      addresses: (place) => {
        places.push(place)
        return Array.from({ length: known }, (_, index) => `10.0.0.${index}:8000`)
      }
    }, 2000, { maximumConnections: 10, maximumPipelinedRequests: 2, headTimeoutMs: 1000, requestTimeoutMs: 1000, keepAliveTimeoutMs: 1000, unreadTimeoutMs: 1000 })
    try {
      await server.listen(`127.0.0.1:${port}`)
      const query = async (path: string): Promise<{ status: number, body: unknown }> => {
        const { statusCode, body } = await request(`http://127.0.0.1:${port}${path}`)
        return { status: statusCode, body: JSON.parse(await body.text() || 'null') }
      }
      const { status, body } = await query('/resolve?name=n&region=r&zone=p1')
      expect(status).to.equal(200)
      expect((body as { addrs: string[] }).addrs).to.have.length(64)
      expect(values).to.deep.equal({ 'directory.answers': 1, 'directory.listed': 64 })
      known = 0
      expect((await query('/resolve?name=n&region=r')).status).to.equal(503)
      expect((await query('/ready')).status).to.equal(200)
      expect(values).to.deep.equal({ 'directory.answers': 2, 'directory.listed': 0 })
      expect(places).to.deep.equal(['p1', undefined])
    } finally {
      server.dispose()
    }
  })
})
