/** How often connections to a target are opened, by a server that announces how long it keeps idle ones. */

import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as pause } from 'node:timers/promises'
import { expect } from 'chai'
import { ConnectionPools } from '../../src/adapters/node/connectionPools.ts'
import { HttpTargetClient } from '../../src/adapters/node/httpTargetClient.ts'
import { KeepAliveConnections } from '../../src/adapters/node/keepAliveConnections.ts'
import type { Result } from '../../src/base/common/resultCode.ts'
import type { TargetResponse } from '../../src/ports/common/targetClient.ts'

/** Announced time that the server keeps an idle connection. */
const IDLE_SECONDS = 3
/** Most connections to one target. */
const MAX_CONNECTIONS = 4

interface SendOptions {
  readonly workMs?: number
  readonly ownConnection?: boolean
  readonly signal?: AbortSignal
  /** Whether the target closes the connection after its answer. */
  readonly closes?: boolean
}

/** A client and a target that takes as long for each request as the request's path states. */
class Fixture {
  opened = 0
  accepted = 0
  private readonly pools: ConnectionPools
  private readonly keepAlive: KeepAliveConnections
  readonly client: HttpTargetClient
  private readonly server: Server
  address = ''

  constructor (private readonly keepsIdle: boolean) {
    const settings = { connections: MAX_CONNECTIONS, connectTimeoutMs: 500, inactivityTimeoutMs: 5000, maximumAnswerBytes: 1000, onConnected: () => { this.opened++ } }
    this.pools = new ConnectionPools(settings)
    this.keepAlive = new KeepAliveConnections(settings)
    this.client = new HttpTargetClient(this.pools, settings, this.keepAlive)
    this.server = createServer((request, response) => {
      request.resume()
      setTimeout(() => {
        if (request.headers['x-closes'] !== undefined) response.setHeader('connection', 'close')
        if (request.headers['x-status'] !== undefined) response.writeHead(Number(request.headers['x-status'])).write('first')
        response.end('answer')
      }, Number(request.url?.slice(1)))
    })
    this.server.keepAliveTimeout = IDLE_SECONDS * 1000
    this.server.on('connection', () => { this.accepted++ })
  }

  async start (): Promise<this> {
    await new Promise<void>((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${(this.server.address() as AddressInfo).port}`
    return this
  }

  async send ({ workMs = 5, ownConnection = false, signal = new AbortController().signal, closes = false }: SendOptions = {}): Promise<Result<TargetResponse>> {
    return await this.client.exchange({ address: this.address, method: 'POST', path: `/${workMs}`, headers: closes ? ['x-closes', '1'] : [], body: undefined, ownConnection, keepsIdle: this.keepsIdle, signal })
  }

  /** Opens a stream and reads it to its end, or cancels it. */
  async stream (status: number, reading: 'reads' | 'cancels', workMs = 5): Promise<boolean> {
    const opened = await this.client.open({ address: this.address, method: 'POST', path: `/${workMs}`, headers: ['x-status', String(status)], body: undefined, ownConnection: false, keepsIdle: this.keepsIdle, signal: new AbortController().signal })
    if (!opened.ok) return false
    if (reading === 'cancels') opened.value.cancel()
    else for await (const piece of opened.value.pieces) if (piece.length === 0) return false
    await pause(20)
    return true
  }

  close (): void {
    this.pools.dispose()
    this.keepAlive.dispose()
    this.server.closeAllConnections()
    this.server.close()
  }
}

describe('connections to a target', () => {
  let kept: Fixture
  let pooled: Fixture

  beforeEach(async () => {
    kept = await new Fixture(true).start()
    pooled = await new Fixture(false).start()
  })

  afterEach(() => {
    kept.close()
    pooled.close()
  })

  const both = async (work: (fixture: Fixture) => Promise<unknown>): Promise<number[]> => {
    await Promise.all([kept, pooled].map(work))
    expect([kept.opened, pooled.opened]).to.deep.equal([kept.accepted, pooled.accepted])
    return [kept.opened, pooled.opened]
  }

  it('are used again after more than a third of the announced time, at which pools close them', async () => {
    // Pools close an idle connection two seconds before the announced time, so that one second of three remains.
    expect(await both(async (fixture) => {
      await fixture.send()
      await pause(1500)
      await fixture.send()
    })).to.deep.equal([1, 2])
  })

  it('are not used within a second before the target closes them', async () => {
    // Guards against a request on a connection that the target is closing: its outcome would be unknown.
    for (let request = 0; request < 3; request++) {
      expect((await kept.send()).ok).to.equal(true)
      expect(kept.client.hasIdleConnection(kept.address)).to.equal(true)
      await pause(2050)
      expect(kept.client.hasIdleConnection(kept.address)).to.equal(false)
    }
    expect(kept.opened).to.equal(3)
  })

  it('are not opened in place of that of an aborted request before another request needs one', async () => {
    // Each hedge that is answered first aborts the other attempt, and pools open a connection for no request then.
    expect(await both(async (fixture) => {
      const abort = new AbortController()
      const sent = fixture.send({ workMs: 500, signal: abort.signal })
      await pause(50)
      abort.abort()
      expect((await sent).ok).to.equal(false)
      await pause(50)
    })).to.deep.equal([1, 2])
  })

  it('that were opened for one request are used for the next', async () => {
    // A hedge and a once-only call need a new connection each, which was closed after the answer.
    expect(await both(async (fixture) => {
      await fixture.send({ ownConnection: true })
      await fixture.send()
    })).to.deep.equal([1, 2])
  })

  it('are used again by a request that is sent as soon as the former is answered', async () => {
    // Guards against a second connection in pools, which use a connection again only after a turn of the event loop.
    expect(await both(async (fixture) => {
      await fixture.send()
      await fixture.send()
    })).to.deep.equal([1, 1])
  })

  it('are new ones for requests that ask for them, even if one is idle', async () => {
    expect(await both(async (fixture) => {
      await fixture.send()
      await fixture.send({ ownConnection: true })
    })).to.deep.equal([2, 2])
  })

  it('are not kept after the target closed them or the request was aborted', async () => {
    await kept.send({ closes: true })
    await pause(20)
    expect(kept.client.hasIdleConnection(kept.address)).to.equal(false)
    const abort = new AbortController()
    const sent = kept.send({ workMs: 500, ownConnection: true, signal: abort.signal })
    await pause(50)
    abort.abort()
    await sent
    await pause(50)
    expect([kept.client.hasIdleConnection(kept.address), kept.opened]).to.deep.equal([false, 2])
  })

  it('are used again after a stream that was read to its end, or that the target refused', async () => {
    // Guards against an engine whose refusals of items cost a connection each.
    expect(await both(async (fixture) => {
      expect([await fixture.stream(200, 'reads'), await fixture.stream(503, 'cancels'), await fixture.stream(503, 'cancels'), await fixture.stream(200, 'reads')]).to.deep.equal([true, true, true, true])
    })).to.deep.equal([1, 1])
  })

  it('are closed with a stream that is cancelled, so that the target stops', async () => {
    expect(await kept.stream(200, 'cancels')).to.equal(true)
    expect(kept.client.hasIdleConnection(kept.address)).to.equal(false)
    await kept.send()
    expect(kept.opened).to.equal(2)
  })

  it('are as many as concurrent requests need, up to the limit, and idle ones are preferred', async () => {
    const burst = async (): Promise<boolean[]> => (await Promise.all(Array.from({ length: MAX_CONNECTIONS * 2 }, async () => await kept.send({ workMs: 30 })))).map(({ ok }) => ok)
    expect([...await burst(), ...await burst()]).to.deep.equal(Array(MAX_CONNECTIONS * 4).fill(true))
    expect(kept.opened).to.equal(MAX_CONNECTIONS)
  })

  it('are all retired after one was silent, while requests in flight complete', async () => {
    // Guards against the next requests on connections that went silent by the same cause.
    await Promise.all([kept.send({ workMs: 30 }), kept.send({ workMs: 30 })])
    const running = kept.send({ workMs: 100 })
    await pause(20)
    kept.client.retireConnections(kept.address, 0)
    expect(kept.client.hasIdleConnection(kept.address)).to.equal(false)
    expect((await running).ok).to.equal(true)
    expect(kept.client.hasIdleConnection(kept.address)).to.equal(false)
    await kept.send()
    expect(kept.opened).to.equal(3)
  })

  it('are spared if an answer arrived over them while another one was silent', async () => {
    // Guards against a slow target whose late answers each cost new connections, although its connections work.
    const silent = kept.send({ workMs: 400 })
    const other = kept.send({ workMs: 20 })
    await other
    await pause(100)
    const hedgedAt = performance.now()
    await kept.send()
    kept.client.retireConnections(kept.address, 100, performance.now() - hedgedAt)
    expect(kept.client.hasIdleConnection(kept.address)).to.equal(true)
    // An answer from before does not show that the connection still works.
    await pause(50)
    kept.client.retireConnections(kept.address, 100, 20)
    expect(kept.client.hasIdleConnection(kept.address)).to.equal(false)
    await silent
  })
})
