/** Calls between hosts over HTTP, to processes that answer, that refuse connections and that close them. */

import { once } from 'node:events'
import type { AddressInfo } from 'node:net'
import { createServer } from 'node:net'
import { expect } from 'chai'
import { ConnectionPools } from '../../src/adapters/node/connectionPools.ts'
import { JsonRpcPeers } from '../../src/adapters/node/jsonRpcPeers.ts'
import { freePorts } from '../support/hostProcess.ts'
import { noopMetrics } from '../support/fakeHost.ts'

const CALL_TIMEOUT_MS = 2000

describe('a call to a host', () => {
  let pools: ConnectionPools
  let peers: JsonRpcPeers
  beforeEach(() => {
    pools = new ConnectionPools({ connections: 2, connectTimeoutMs: 1000, inactivityTimeoutMs: 1000, maximumAnswerBytes: 10_000 })
    peers = new JsonRpcPeers(pools, pools, 'key', noopMetrics)
  })
  afterEach(() => { pools.dispose() })

  const callAt = async (port: number): Promise<string> => {
    const answer = await peers.call(`http://127.0.0.1:${port}`, 'query.rows', { view: 'none' }, CALL_TIMEOUT_MS)
    return answer.ok ? 'ok' : answer.code
  }

  it('has surely no effect if no process listens at the address', async () => {
    // Guards against requests that wait for probes of a killed host although its refused connections show that it has ended.
    const [port = 0] = await freePorts(1)
    expect(await callAt(port)).to.equal('targetUnreachable')
  })

  it('may have had an effect if the host closes the connection', async () => {
    const server = createServer((socket) => { socket.once('data', () => { socket.destroy() }) })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    try {
      expect(await callAt((server.address() as AddressInfo).port)).to.equal('unknownOutcome')
    } finally {
      server.close()
    }
  })
})
