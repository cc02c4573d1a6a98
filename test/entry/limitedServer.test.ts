/** Limits of a server on what its clients may occupy, whatever they send. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { connect } from 'node:net'
import { expect } from 'chai'
import { pause } from '../../standins/httpStandIn.ts'
import { NodeClock } from '../../src/adapters/node/nodeClock.ts'
import { ClientMemory } from '../../src/entry/node/clientMemory.ts'
import type { ReceivedRequest, ServerLimits } from '../../src/entry/node/limitedServer.ts'
import { LimitedServer } from '../../src/entry/node/limitedServer.ts'
import { freePorts, waitUntil } from '../support/hostProcess.ts'

const MAX_CONNECTIONS = 10
const MAX_PIPELINED_REQUESTS = 3
const LARGE_HEAD_BYTES = 80_000
/** A complete head counts this often, an incomplete one once. */
const HEAD_COPIES = 3
/** Part of the memory of clients that is for request heads. */
const HEAD_PART = 0.15
const MAX_CLIENT_BYTES = 35_300_000
/** More than the kernel buffers for a connection whose client does not read. */
const LARGE_RESPONSE_BYTES = 20_000_000

describe('a server with limits', () => {
  const counts: Record<string, number> = {}
  /** Paths of requests, in the order of the calls. */
  const received: string[] = []
  const served: string[] = []
  const discarded: string[] = []
  const responses = new Map<string, ServerResponse>()
  const sockets: Socket[] = []
  let server: LimitedServer
  let port = 0

  function receive ({ url = '' }: IncomingMessage, response: ServerResponse): ReceivedRequest {
    received.push(url)
    return {
      serve: () => {
        served.push(url)
        responses.set(url, response)
        if (url === '/throws') throw new Error('thrown by the test')
        if (url.startsWith('/quick')) response.end('quick')
        if (url.startsWith('/large')) response.end(Buffer.alloc(LARGE_RESPONSE_BYTES))
      },
      discard: () => { discarded.push(url) }
    }
  }

  beforeEach(async () => {
    for (const list of [received, served, discarded]) list.length = 0
    for (const name of Object.keys(counts)) counts[name] = 0
    responses.clear()
    await start()
  })

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy()
    server.dispose()
  })

  async function start (overrides: Partial<ServerLimits> = {}, maximumClientBytes = MAX_CLIENT_BYTES): Promise<void> {
    server = new LimitedServer({
      memory: new ClientMemory(new NodeClock(), maximumClientBytes),
      clock: new NodeClock(),
      metrics: { count: (name) => { counts[name] = (counts[name] ?? 0) + 1 } },
      stateLog: { alarm: () => undefined },
      malformedCounter: 'requests.broken',
      receive
    }, { maximumConnections: MAX_CONNECTIONS, maximumPipelinedRequests: MAX_PIPELINED_REQUESTS, headTimeoutMs: 1000, requestTimeoutMs: 2000, keepAliveTimeoutMs: 5000, unreadTimeoutMs: 1000, ...overrides })
    port = (await freePorts(1))[0] ?? 0
    await server.listen(`127.0.0.1:${port}`)
  }

  function open (): { socket: Socket, text: () => string, closed: Promise<void> } {
    let text = ''
    const socket = connect({ host: '127.0.0.1', port }).on('error', () => undefined).on('data', (data) => { text += data.toString() })
    const closed = new Promise<void>((resolve) => { socket.once('close', () => { resolve() }) })
    sockets.push(socket)
    return { socket, text: () => text, closed }
  }

  const get = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`
  const statuses = (text: string): string[] => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status ?? '')

  it('serves the requests of a connection one after the other', async () => {
    // Guards against requests that run at the same time although their client can receive only one response.
    const { socket, text } = open()
    socket.write(get('/first') + get('/quick-second') + get('/third'))
    await waitUntil(() => received.length === 3, 2000, 'three requests are received')
    expect(served).to.deep.equal(['/first'])
    expect(server.openRequestCount).to.equal(1)
    responses.get('/first')?.end('first')
    await waitUntil(() => served.length === 3, 2000, 'all requests are served')
    responses.get('/third')?.end('third')
    await waitUntil(() => statuses(text()).length === 3, 2000, 'all responses arrive')
    expect(server.openRequestCount).to.equal(0)
  })

  it('closes a connection with too many requests, and serves none that has not been begun', async () => {
    // Guards against unbounded memory for requests sent ahead, and against a dropped request that runs all the same.
    const { socket, closed } = open()
    socket.write(Array.from({ length: 2000 }, (_, index) => get(`/${index}`)).join(''))
    await closed
    await waitUntil(() => discarded.length === MAX_PIPELINED_REQUESTS - 1, 2000, 'waiting requests are discarded')
    expect(received).to.deep.equal(['/0', '/1', '/2'])
    expect(served).to.deep.equal(['/0'])
    expect(discarded).to.deep.equal(['/1', '/2'])
    expect(counts['connections.closed_pipelining']).to.equal(1)
    expect(server.openRequestCount).to.equal(0)
  })

  for (const [name, message] of [
    ['without a host', 'GET / HTTP/1.1\r\n\r\n'],
    ['with an unknown expectation', 'GET / HTTP/1.1\r\nhost: a\r\nexpect: b\r\n\r\n'],
    ['that expect to be told to continue', 'GET / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n\r\n'],
    ['that ask for another protocol', 'GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: b\r\n\r\n'],
    ['of HTTP/1.0', 'GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n']
  ] as const) {
    it(`limits requests ${name}`, async () => {
      // Guards against requests that the limit does not count because Node.js responds to them.
      const { socket, closed } = open()
      socket.write(message.repeat(2000))
      await closed
      expect(received.length).to.be.at.most(MAX_PIPELINED_REQUESTS)
    })
  }

  it('rejects a request without a host and one with an unknown expectation', async () => {
    const [hostless, expectant] = [open(), open()]
    hostless.socket.write('GET /quick HTTP/1.1\r\n\r\n')
    expectant.socket.write('GET /quick HTTP/1.1\r\nhost: a\r\nexpect: b\r\n\r\n')
    await hostless.closed
    await waitUntil(() => statuses(expectant.text()).length === 1, 2000, 'the second response arrives')
    expect(statuses(hostless.text())).to.deep.equal(['400'])
    expect(statuses(expectant.text())).to.deep.equal(['417'])
    expect(served).to.deep.equal([])
  })

  it('answers a request whose handler throws, and goes on', async () => {
    // Guards against an exception that ends the process.
    const { socket, text } = open()
    socket.write(get('/throws') + get('/quick'))
    await waitUntil(() => statuses(text()).length === 2, 2000, 'both responses arrive')
    expect(statuses(text())).to.deep.equal(['500', '200'])
    expect(counts['requests.crashed']).to.equal(1)
  })

  it('closes a connection whose client reads nothing of its response', async () => {
    // Guards against responses that stay in memory for as long as their clients like.
    const { socket } = open()
    socket.pause()
    socket.write(get('/large'))
    await waitUntil(() => counts['connections.closed_unread'] === 1, 5000, 'the connection is closed')
    await waitUntil(() => server.openRequestCount === 0, 1000, 'the response is closed')
  })

  it('closes the connection whose client has read nothing for the longest time when too many responses wait', async () => {
    // Guards against a crowd whose responses fill the memory before their time is up.
    const [first, second] = [open(), open()]
    for (const { socket } of [first, second]) socket.pause()
    first.socket.write(get('/large-1'))
    await waitUntil(() => served.length === 1, 2000, 'the first request is served')
    second.socket.write(get('/large-2'))
    await waitUntil(() => counts['connections.closed_unread'] === 1, 500, 'a connection is closed before its time is up')
    second.socket.resume()
    await waitUntil(() => second.text().length > LARGE_RESPONSE_BYTES, 5000, 'the second response arrives')
  })

  it('frees the memory of stopped request heads for others, which get 503 while none has stopped', async () => {
    // Guards against request heads that are each below their limit and together fill the memory.
    server.dispose()
    await start({ headTimeoutMs: 20_000, requestTimeoutMs: 20_000, unreadTimeoutMs: 20_000, maximumHeadBytes: LARGE_HEAD_BYTES * 2 }, (HEAD_COPIES + 1.5) * LARGE_HEAD_BYTES / HEAD_PART)
    const partOfHead = `GET /quick HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(LARGE_HEAD_BYTES)}`
    const stopped = [open(), open()]
    for (const { socket } of stopped) socket.write(partOfHead)
    await pause(200)
    const refused = open()
    refused.socket.write(`${partOfHead}\r\n\r\n`)
    await refused.closed
    expect(statuses(refused.text())).to.deep.equal(['503'])
    expect(served).to.deep.equal([])
    const small = open()
    small.socket.write(get('/quick'))
    await waitUntil(() => statuses(small.text())[0] === '200', 1000, 'a request with a head of usual size is served')
    await pause(1000)
    const large = open()
    large.socket.write(`${partOfHead}\r\n\r\n`)
    await waitUntil(() => statuses(large.text())[0] === '200', 1000, 'a request with a large head is served')
    await stopped[0]?.closed
    expect(statuses(stopped[0]?.text() ?? '')).to.deep.equal(['408'])
  })

  it('counts request heads until their responses are complete', async () => {
    // Guards against requests that wait behind another one on their connections and are in no limit.
    server.dispose()
    await start({ maximumHeadBytes: LARGE_HEAD_BYTES * 2 }, (2 * HEAD_COPIES + 1) * LARGE_HEAD_BYTES / HEAD_PART)
    const requestFor = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: a\r\nx: ${'y'.repeat(LARGE_HEAD_BYTES)}\r\n\r\n`
    const first = open()
    first.socket.write(requestFor('/slow-1') + requestFor('/slow-2'))
    await waitUntil(() => received.length === 2, 2000, 'both requests are received')
    const refused = open()
    refused.socket.write(requestFor('/slow-3'))
    await refused.closed
    expect(statuses(refused.text())).to.deep.equal(['503'])
    responses.get('/slow-1')?.end('slow')
    await waitUntil(() => served.includes('/slow-2'), 1000, 'the second request is served')
    const next = open()
    next.socket.write(requestFor('/quick'))
    await waitUntil(() => statuses(next.text())[0] === '200', 1000, 'another request is served')
    expect(served).to.not.include('/slow-3')
  })

  it('leaves a connection alone whose client waits for a response', async () => {
    // Guards against the time limit for readers that ends long requests.
    const { socket, text } = open()
    socket.write(get('/slow'))
    await pause(2500)
    responses.get('/slow')?.end('slow')
    await waitUntil(() => text().includes('slow'), 1000, 'the response arrives')
  })

  it('closes inactive connections in favour of new ones, but none whose client waits for a response', async () => {
    // Guards against idle or incomplete requests that shut all other clients out.
    server.dispose()
    await start({ headTimeoutMs: 20_000, requestTimeoutMs: 20_000 })
    const waiting = open()
    waiting.socket.write(get('/waiting'))
    await waitUntil(() => served.includes('/waiting'), 2000, 'the first request is served')
    const used = open()
    used.socket.write(get('/quick-used'))
    await waitUntil(() => used.text() !== '', 2000, 'the second request is served')
    const inactive = Array.from({ length: MAX_CONNECTIONS }, () => open())
    for (const { socket } of inactive) socket.write('GET / HTTP/1.1\r\n')
    await waitUntil(() => (counts['connections.closed_inactive'] ?? 0) > 0, 4000, 'an inactive connection is closed')
    const ordinary = open()
    ordinary.socket.write(get('/quick-ordinary'))
    await waitUntil(() => ordinary.text() !== '', 2000, 'another client is served')
    used.socket.write(get('/quick-again'))
    await waitUntil(() => served.includes('/quick-again'), 2000, 'the connection of a served client is still open')
    responses.get('/waiting')?.end('waited')
    await waitUntil(() => waiting.text().includes('waited'), 2000, 'the waiting client has its response')
  })

  for (const [name, input] of [['that is not HTTP', 'nonsense\r\n\r\n'], ['that stops in a head', 'GET / HTTP/1.1\r\n']] as const) {
    it(`does not answer input ${name} while a request before it runs`, async () => {
      // Guards against a refusal that a client takes for the response to a request that has run.
      const { socket, text, closed } = open()
      socket.write(get('/first') + input)
      await closed
      expect(served).to.deep.equal(['/first'])
      expect(text()).to.equal('')
      expect(counts['requests.broken']).to.equal(1)
    })
  }
})
