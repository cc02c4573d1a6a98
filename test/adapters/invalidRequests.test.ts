/** Requests that are no valid HTTP requests, as the target client reports them. */

import { createServer } from 'node:net'
import type { AddressInfo, Server } from 'node:net'
import { expect } from 'chai'
import { ConnectionPools } from '../../src/adapters/node/connectionPools.ts'
import { HttpTargetClient } from '../../src/adapters/node/httpTargetClient.ts'
import { KeepAliveConnections } from '../../src/adapters/node/keepAliveConnections.ts'
import type { TargetRequest } from '../../src/ports/common/targetClient.ts'

const settings = { connections: 2, connectTimeoutMs: 500, inactivityTimeoutMs: 2000, maximumAnswerBytes: 10_000 }

const cases: readonly { readonly name: string, readonly change: Partial<TargetRequest> }[] = [
  { name: 'a path with a space', change: { path: '/a b' } },
  { name: 'a path without a slash', change: { path: 'a' } },
  { name: 'a header name with a space', change: { headers: ['a b', 'c'] } },
  { name: 'a header value with a line break', change: { headers: ['a', 'b\nc'] } },
  { name: 'an encoding that cannot be sent', change: { headers: ['transfer-encoding', 'gzip'] } },
  { name: 'an expectation', change: { headers: ['expect', 'x'] } }
]

describe('a request that is no valid HTTP request', () => {
  let server: Server
  let received = 0
  let connections: ConnectionPools
  let keepAlive: KeepAliveConnections
  let client: HttpTargetClient

  beforeEach(async () => {
    received = 0
    server = createServer((socket) => { socket.on('error', () => undefined).on('data', () => { received++ }) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    connections = new ConnectionPools(settings)
    keepAlive = new KeepAliveConnections(settings)
    client = new HttpTargetClient(connections, settings, keepAlive)
  })
  afterEach(() => {
    connections.dispose()
    keepAlive.dispose()
    server.close()
  })

  for (const { name, change } of cases) {
    it(`is reported as malformed because of ${name}, and is not sent`, async () => {
      // Guards against targets that count as failed because a request could not be sent to them.
      const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
      for (const [ownConnection, keepsIdle] of [[false, false], [true, false], [false, true], [true, true]] as const) {
        const request: TargetRequest = { address, method: 'POST', path: '/', headers: [], body: Buffer.from('x'), ownConnection, keepsIdle, signal: AbortSignal.timeout(1000), ...change }
        for (const answer of [await client.exchange(request), await client.open(request)]) expect(answer.ok ? 'ok' : answer.code).to.equal('malformed')
      }
      expect(received).to.equal(0)
    })
  }
})
