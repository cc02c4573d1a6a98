/** How many connections requests to a target use that follow one another without a pause. */

import { expect } from 'chai'
import { startStandIn } from '../../standins/httpStandIn.ts'
import { ConnectionPools } from '../../src/adapters/node/connectionPools.ts'
import { HttpTargetClient } from '../../src/adapters/node/httpTargetClient.ts'
import { KeepAliveConnections } from '../../src/adapters/node/keepAliveConnections.ts'
import type { TargetRequest } from '../../src/ports/common/targetClient.ts'

const SETTINGS = { connections: 64, connectTimeoutMs: 500, inactivityTimeoutMs: 5000, maximumAnswerBytes: 1000 }
const REQUESTS_PER_WORKER = 20

type Send = (client: HttpTargetClient, request: TargetRequest) => Promise<boolean>

const sends: Readonly<Record<string, Send>> = {
  'complete answers': async (client, request) => (await client.exchange(request)).ok,
  streams: async (client, request) => {
    const opened = await client.open(request)
    if (!opened.ok) return false
    for await (const piece of opened.value.pieces) expect(piece).to.have.length.above(0)
    return true
  }
}

/** Sends requests with several workers, each as soon as its former one has been answered. Returns the number of connections that were opened. */
async function countConnections (send: Send, workers: number, keepsIdle: boolean): Promise<number> {
  let opened = 0
  const target = await startStandIn(({ response }) => {
    response.write('first')
    setImmediate(() => { response.end('last') })
  })
  const settings = { ...SETTINGS, onConnected: () => { opened++ } }
  const [pools, keepAlive] = [new ConnectionPools(settings), new KeepAliveConnections(settings)]
  const client = new HttpTargetClient(pools, settings, keepAlive)
  const request: TargetRequest = { address: new URL(target.address).host, method: 'POST', path: '/', headers: [], body: undefined, ownConnection: false, keepsIdle, signal: new AbortController().signal }
  const work = async (): Promise<void> => {
    for (let sent = 0; sent < REQUESTS_PER_WORKER; sent++) expect(await send(client, request)).to.equal(true)
  }
  try {
    await Promise.all(Array.from({ length: workers }, work))
    return opened
  } finally {
    pools.dispose()
    keepAlive.dispose()
    await target.close()
  }
}

describe('requests that follow an answer without a pause', () => {
  for (const [kind, send] of Object.entries(sends)) {
    for (const keepsIdle of [false, true]) {
      for (const workers of [1, 5]) {
        it(`use no more connections than requests are under way: ${kind}, ${keepsIdle ? 'connections that are kept while idle' : 'pooled connections'}, ${workers} at a time`, async () => {
          // Guards against a second connection for each request under way: a connection can be used again only one turn of the event loop after its answer.
          expect(await countConnections(send, workers, keepsIdle)).to.equal(workers)
        })
      }
    }
  }
})
