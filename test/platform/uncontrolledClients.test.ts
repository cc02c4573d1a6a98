/**
 * Clients that ignore what a host expects of its callers, at each address at which a host listens. The process stays within the memory and
 * the descriptors of the smallest machine in use, and ordinary requests are answered.
 */

import { readFileSync, readdirSync } from 'node:fs'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { connect } from 'node:net'
import { expect } from 'chai'
import { request } from 'undici'
import { pause } from '../../standins/httpStandIn.ts'
import { waitUntil } from '../support/hostProcess.ts'
import type { CrowdOptions } from './support/crowd.ts'
import { Crowd } from './support/crowd.ts'
import type { FleetHost } from './support/fleet.ts'
import { CALLS_HOST, Fleet } from './support/fleet.ts'

/** Memory of the smallest machine in use. */
const MACHINE_MEMORY_MB = 210
/** Sockets of the smallest machine in use. */
const MACHINE_SOCKETS = 2875
/** Fewer places for callers than the crowds that fill them have clients. */
const CALLER_CONNECTIONS = 500
const FEW_DESCRIPTORS = 1000
const CROWD_STAYS_MS = 3000
/** Long enough for a host that answers at all. */
const ANSWER_TIMEOUT_MS = 30_000
const SAMPLE_INTERVAL_MS = 50
/** Time after which a host knows of a changed entry. */
const REGISTRATION_MS = 1200
const LARGE_ANSWER_BYTES = 2_000_000

type ListenerName = 'callers' | 'readiness' | 'directory' | 'peers' | 'metrics'
const listeners: readonly ListenerName[] = ['callers', 'readiness', 'directory', 'peers', 'metrics']

const addressOf: Readonly<Record<ListenerName, (host: FleetHost) => string>> = {
  callers: ({ address }) => address,
  readiness: ({ readiness }) => readiness,
  directory: ({ directory }) => directory,
  peers: ({ peers }) => peers,
  metrics: ({ metrics }) => metrics
}

/** Request line of an ordinary request to each listener. */
const ordinaryLine: Readonly<Record<ListenerName, string>> = {
  callers: 'GET /look-up/ahead HTTP/1.1',
  readiness: 'GET /ready HTTP/1.1',
  directory: `GET /resolve?name=${CALLS_HOST} HTTP/1.1`,
  peers: 'POST /peer HTTP/1.1',
  metrics: 'GET /metrics HTTP/1.1'
}

const rpc = JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'unknown' })

/** Sends one ordinary request over a connection of its own, and returns the status of its answer. */
async function ordinaryStatus (fleet: Fleet, host: FleetHost, listener: ListenerName): Promise<number> {
  const [method = 'GET', path = '/'] = ordinaryLine[listener].split(' ')
  const headers: Readonly<Record<ListenerName, Record<string, string>>> = {
    callers: { host: CALLS_HOST, 'bulrushvalve-request-id': fleet.newId(), 'bulrushvalve-deadline-ms': '2000' },
    readiness: {},
    directory: {},
    peers: { authorization: 'Bearer between-the-hosts', 'content-type': 'application/json' },
    metrics: {}
  }
  const answer = await request(`${addressOf[listener](host)}${path}`, { method: method as 'GET', headers: { ...headers[listener], connection: 'close' }, body: listener === 'peers' ? rpc : null, signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS) })
  await answer.body.dump()
  return answer.statusCode
}

function peakMemoryMb ({ process }: FleetHost): number {
  return Number(/VmHWM:\s+(?<kilobytes>\d+)/.exec(readFileSync(`/proc/${process.pid}/status`, 'utf8'))?.groups?.['kilobytes']) / 1024
}

function descriptors ({ process }: FleetHost): number {
  return readdirSync(`/proc/${process.pid}/fd`).length
}

/** Registers a target that answers each call with a large body, in place of the others. Returns how to stop it. */
async function registerLargeAnswers ({ store, targets }: Fleet): Promise<() => void> {
  const body = 'x'.repeat(LARGE_ANSWER_BYTES)
  const server = createServer((received, response) => {
    const id = String(received.headers['bulrushvalve-request-id'])
    received.resume()
    response.writeHead(200, { 'bulrushvalve-request-id': id, 'bulrushvalve-response-seal': `seal-of-${id}`, 'content-length': body.length }).end(body)
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  store.put('keyed.servers', 'large', { service: 'app', addr: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'place-0', version: 'v1', slots: 400, state: 'ready', cold_left_ms: 0, seq: 1 })
  for (const target of targets) target.deregister()
  await pause(REGISTRATION_MS)
  return () => {
    server.close()
    server.closeAllConnections()
  }
}

interface Case {
  readonly name: string
  readonly listeners: readonly ListenerName[]
  readonly crowd: (listener: ListenerName) => CrowdOptions
  /** Whether ordinary requests are answered also while the crowd stays. */
  readonly isAnsweredMeanwhile?: boolean
  readonly hasLargeAnswers?: boolean
}

const ordinary = { clients: 400, connectionsPerClient: 3 }
const chunkedHead = (line: string, headers = ''): string => `${line}\r\nhost: ${CALLS_HOST}\r\nbulrushvalve-request-id: chunked\r\n${headers}transfer-encoding: chunked\r\n\r\n`
const PEER_KEY = 'authorization: Bearer between-the-hosts\r\n'
const LARGE_CHUNK = `${(49_000).toString(16)}\r\n${'x'.repeat(49_000)}\r\n`
const SMALL_CHUNK = '1\r\nx\r\n'
const unreadLine = (listener: ListenerName): string => listener === 'peers' ? `POST /peer HTTP/1.1\r\nhost: a\r\n${PEER_KEY}content-length: ${rpc.length}\r\n\r\n${rpc}` : `${ordinaryLine[listener]}\r\nhost: ${CALLS_HOST}\r\n\r\n`

const cases: readonly Case[] = [
  {
    name: 'calls in large chunks that stop short of their end',
    listeners: ['callers'],
    crowd: () => ({ ...ordinary, opening: chunkedHead('POST /look-up/chunked HTTP/1.1'), piece: LARGE_CHUNK, pieces: 4 })
  },
  {
    name: 'calls in chunks of one byte that stop short of their end',
    listeners: ['callers'],
    crowd: () => ({ ...ordinary, opening: chunkedHead('POST /look-up/chunked HTTP/1.1'), piece: SMALL_CHUNK, pieces: 180_000 })
  },
  {
    name: 'submissions in chunks of one byte that stop short of their end',
    listeners: ['callers'],
    crowd: () => ({ ...ordinary, opening: chunkedHead('POST /steps/chunked HTTP/1.1'), piece: SMALL_CHUNK, pieces: 180_000 })
  },
  {
    name: 'bodies in large chunks that stop short of their end',
    listeners: ['readiness', 'directory', 'peers', 'metrics'],
    crowd: (listener) => ({ ...ordinary, opening: chunkedHead(ordinaryLine[listener], PEER_KEY), piece: LARGE_CHUNK, pieces: 40 })
  },
  {
    name: 'bodies in chunks of one byte that stop short of their end',
    listeners: ['readiness', 'directory', 'peers', 'metrics'],
    crowd: (listener) => ({ ...ordinary, opening: chunkedHead(ordinaryLine[listener], PEER_KEY), piece: SMALL_CHUNK, pieces: 180_000 })
  },
  {
    name: 'requests sent ahead without a host, their answers unread',
    listeners,
    crowd: (listener) => ({ ...ordinary, piece: `${ordinaryLine[listener]}\r\n\r\n`, pieces: 8000 })
  },
  {
    name: 'requests sent ahead, their answers unread',
    listeners,
    crowd: (listener) => ({ ...ordinary, piece: unreadLine(listener), pieces: 8000 })
  },
  {
    name: 'requests with a short head sent ahead, their answers unread',
    listeners,
    crowd: () => ({ ...ordinary, piece: 'GET / HTTP/1.1\r\nhost: a\r\n\r\n', pieces: 8000 })
  },
  {
    name: 'requests sent ahead that expect to be told to continue, their answers unread',
    listeners,
    crowd: () => ({ ...ordinary, piece: 'GET / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n\r\n', pieces: 8000 })
  },
  {
    name: 'requests sent ahead with an unknown expectation, their answers unread',
    listeners,
    crowd: () => ({ ...ordinary, piece: 'GET / HTTP/1.1\r\nhost: a\r\nexpect: b\r\n\r\n', pieces: 8000 })
  },
  {
    name: 'requests of HTTP/1.0 sent ahead, their answers unread',
    listeners,
    crowd: () => ({ ...ordinary, piece: 'GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n', pieces: 8000 })
  },
  {
    name: 'whole calls with a short body sent ahead, their answers unread',
    listeners: ['callers'],
    crowd: () => ({ ...ordinary, piece: `POST /look-up/whole HTTP/1.1\r\nhost: ${CALLS_HOST}\r\nbulrushvalve-request-id: a\r\ncontent-length: 3\r\n\r\nabc`, pieces: 4000 })
  },
  {
    name: 'whole calls with a large body sent ahead, their answers unread',
    listeners: ['callers'],
    crowd: () => ({ ...ordinary, piece: `POST /look-up/whole HTTP/1.1\r\nhost: ${CALLS_HOST}\r\nbulrushvalve-request-id: a\r\ncontent-length: 40000\r\n\r\n${'x'.repeat(40_000)}`, pieces: 40 })
  },
  {
    name: 'whole calls with a short body sent ahead by fewer clients, their answers unread',
    listeners: ['callers'],
    crowd: () => ({ clients: 100, connectionsPerClient: 1, piece: `POST /look-up/whole HTTP/1.1\r\nhost: ${CALLS_HOST}\r\nbulrushvalve-request-id: a\r\ncontent-length: 3\r\n\r\nabc`, pieces: 8000 })
  },
  {
    name: 'calls with large answers sent ahead, their answers unread',
    listeners: ['callers'],
    crowd: () => ({ ...ordinary, piece: `GET /look-up/large HTTP/1.1\r\nhost: ${CALLS_HOST}\r\nbulrushvalve-request-id: a\r\nbulrushvalve-deadline-ms: 2000\r\n\r\n`, pieces: 4 }),
    hasLargeAnswers: true
  },
  {
    name: 'more idle connections than there are places',
    listeners,
    crowd: () => ({ clients: CALLER_CONNECTIONS + 100, connectionsPerClient: 3, piece: '', pieces: 0 }),
    isAnsweredMeanwhile: true
  },
  {
    name: 'more connections than there are places, each with a part of a head',
    listeners,
    crowd: () => ({ clients: CALLER_CONNECTIONS + 100, connectionsPerClient: 3, opening: 'GET / HTTP/1.1\r\n', piece: 'x: y\r\n', pieces: 100 }),
    isAnsweredMeanwhile: true
  }
]

const unusualTargets = ['//', '///', '/\\', '\\', '*', 'http://[', 'http://a:99999/', '/%', '/%zz?%', '?', '/[', 'http:////', '//:0/']

describe('clients that a host does not control', function () {
  this.timeout(120_000)
  let fleet: Fleet | undefined
  let stopLargeAnswers: (() => void) | undefined

  async function start (): Promise<{ fleet: Fleet, host: FleetHost }> {
    fleet = await Fleet.start(1, [{ id: 'sound', service: 'app', place: 'place-0', slots: 8 }], { limits: { connections: CALLER_CONNECTIONS } })
    const host = fleet.host(0)
    await waitUntil(async () => await ordinaryStatus(fleet as Fleet, host, 'callers') === 200, 10_000, 'calls are served')
    return { fleet, host }
  }

  afterEach(async () => {
    stopLargeAnswers?.()
    stopLargeAnswers = undefined
    await fleet?.stop()
    fleet = undefined
  })

  for (const { name, listeners: attacked, crowd: crowdOf, isAnsweredMeanwhile = false, hasLargeAnswers = false } of cases) {
    for (const listener of attacked) {
      it(`leave it within its memory and descriptors: ${name}, at the address for ${listener}`, async () => {
        // Guards against a host that ends or is shut off from ordinary callers because of what other clients send.
        const { fleet, host } = await start()
        if (hasLargeAnswers) stopLargeAnswers = await registerLargeAnswers(fleet)
        const crowd = new Crowd(addressOf[listener](host), crowdOf(listener))
        let mostDescriptors = 0
        const sampling = setInterval(() => { if (host.process.isRunning) mostDescriptors = Math.max(mostDescriptors, descriptors(host)) }, SAMPLE_INTERVAL_MS)
        try {
          crowd.enter()
          await pause(CROWD_STAYS_MS)
          if (isAnsweredMeanwhile) {
            expect(await ordinaryStatus(fleet, host, listener)).to.equal(200)
            expect(await ordinaryStatus(fleet, host, 'callers')).to.equal(200)
          }
        } finally {
          clearInterval(sampling)
          crowd.leave()
        }
        expect(host.process.isRunning, `the process lives\n${host.process.output.slice(-2000)}`).to.equal(true)
        expect(await ordinaryStatus(fleet, host, listener)).to.equal(200)
        expect(await ordinaryStatus(fleet, host, 'callers')).to.equal(200)
        expect(host.process.isRunning, 'the process still lives').to.equal(true)
        expect(peakMemoryMb(host), 'peak memory in MB').to.be.below(MACHINE_MEMORY_MB)
        expect(mostDescriptors, 'descriptors').to.be.below(MACHINE_SOCKETS)
      })
    }
  }

  const bodiesInLargeChunks: CrowdOptions = { clients: 400, connectionsPerClient: 1, opening: chunkedHead('POST /look-up/chunked HTTP/1.1'), piece: LARGE_CHUNK, pieces: 4 }
  const requestWithHead = (bytes: number): string => `GET /look-up/ahead HTTP/1.1\r\nhost: ${CALLS_HOST}\r\nbulrushvalve-request-id: a\r\nx: ${'y'.repeat(bytes)}\r\n\r\n`
  const largeHeads: CrowdOptions = { clients: 700, connectionsPerClient: 1, opening: `${requestWithHead(15_000).repeat(3)}GET / HTTP/1.1\r\nhost: a\r\n`, piece: `z: ${'y'.repeat(990)}\r\n`, pieces: 60 }
  const unreadLargeAnswers: CrowdOptions = { clients: 200, connectionsPerClient: 1, piece: `GET /look-up/large HTTP/1.1\r\nhost: ${CALLS_HOST}\r\nbulrushvalve-request-id: a\r\nbulrushvalve-deadline-ms: 2000\r\n\r\n`, pieces: 4 }
  const crowdsAtTheSameTime: readonly { readonly name: string, readonly hasLargeAnswers?: boolean, readonly crowds: (host: FleetHost) => Crowd[] }[] = [
    { name: 'large heads and bodies in large chunks at the same time, at the address for callers', crowds: (host) => [new Crowd(host.address, bodiesInLargeChunks), new Crowd(host.address, largeHeads)] },
    { name: 'unread large answers, bodies in large chunks and large heads at the same time, at the address for callers', hasLargeAnswers: true, crowds: (host) => [new Crowd(host.address, unreadLargeAnswers), new Crowd(host.address, bodiesInLargeChunks), new Crowd(host.address, largeHeads)] },
    { name: 'bodies in large chunks for callers and for other hosts, and large heads for callers, at the same time', crowds: (host) => [new Crowd(host.address, bodiesInLargeChunks), new Crowd(host.peers, { ...bodiesInLargeChunks, opening: chunkedHead(ordinaryLine.peers, PEER_KEY) }), new Crowd(host.address, largeHeads)] },
    {
      name: 'bodies, heads of two sizes and unread large answers at the same time, at the addresses for callers, other hosts and address queries',
      hasLargeAnswers: true,
      crowds: (host) => [
        new Crowd(host.address, bodiesInLargeChunks),
        new Crowd(host.peers, { ...bodiesInLargeChunks, opening: chunkedHead(ordinaryLine.peers, PEER_KEY) }),
        new Crowd(host.address, { clients: 400, connectionsPerClient: 3, piece: requestWithHead(3900), pieces: 4 }),
        new Crowd(host.address, largeHeads),
        new Crowd(host.address, unreadLargeAnswers),
        new Crowd(host.directory, { ...largeHeads, clients: 280 }),
        new Crowd(host.peers, largeHeads)
      ]
    },
    { name: 'large heads at all addresses at the same time', crowds: (host) => listeners.map((listener) => new Crowd(addressOf[listener](host), { ...largeHeads, clients: 300 })) }
  ]
  for (const { name, hasLargeAnswers = false, crowds: crowdsOf } of crowdsAtTheSameTime) {
    it(`leave it within its memory: ${name}`, async () => {
      // Guards against limits that each fit the machine, but not all of them together.
      fleet = await Fleet.start(1, [{ id: 'sound', service: 'app', place: 'place-0', slots: 8 }], { host: { descriptors: MACHINE_SOCKETS + 200, memory_mb: MACHINE_MEMORY_MB } })
      const host = fleet.host(0)
      if (hasLargeAnswers) stopLargeAnswers = await registerLargeAnswers(fleet)
      const crowds = crowdsOf(host)
      try {
        for (const crowd of crowds) {
          crowd.enter()
          await pause(500)
        }
        await pause(CROWD_STAYS_MS)
      } finally {
        for (const crowd of crowds) crowd.leave()
      }
      expect(host.process.isRunning, `the process lives\n${host.process.output.slice(-2000)}`).to.equal(true)
      expect(await ordinaryStatus(fleet, host, 'callers')).to.equal(200)
      expect(peakMemoryMb(host), 'peak memory in MB').to.be.below(MACHINE_MEMORY_MB)
    })
  }

  it('leave it descriptors for its targets: idle connections at all addresses together', async () => {
    // Guards against limits of addresses that are together above what the process may have.
    fleet = await Fleet.start(1, [{ id: 'sound', service: 'app', place: 'place-0', slots: 8 }], { host: { descriptors: FEW_DESCRIPTORS } })
    const host = fleet.host(0)
    const crowds = listeners.map((listener) => new Crowd(addressOf[listener](host), { clients: FEW_DESCRIPTORS / 2, connectionsPerClient: 1, piece: '', pieces: 0 }))
    try {
      for (const crowd of crowds) crowd.enter()
      await pause(1000)
      const open = descriptors(host)
      expect(open).to.be.above(FEW_DESCRIPTORS / 2)
      expect(open).to.be.below(FEW_DESCRIPTORS)
      for (const listener of listeners) expect(await ordinaryStatus(fleet, host, listener), listener).to.equal(200)
    } finally {
      for (const crowd of crowds) crowd.leave()
    }
  })

  for (const listener of listeners) {
    it(`do not end it with a request target that cannot be parsed, at the address for ${listener}`, async () => {
      // Guards against an exception in a request handler, which ends the process.
      const { fleet, host } = await start()
      for (const target of unusualTargets) {
        const { hostname, port } = new URL(addressOf[listener](host))
        await new Promise<void>((resolve) => {
          const socket = connect({ host: hostname, port: Number(port) }).on('error', () => undefined).once('close', () => { resolve() })
          socket.resume()
          socket.end(`GET ${target} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n`)
        })
        expect(host.process.isRunning, `the process lives after ${target}\n${host.process.output.slice(-2000)}`).to.equal(true)
      }
      expect(await ordinaryStatus(fleet, host, listener)).to.equal(200)
      expect(await ordinaryStatus(fleet, host, 'callers')).to.equal(200)
    })
  }
})
