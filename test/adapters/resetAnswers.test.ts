/** Answers of targets that have no length and end with their connection. */

import { expect } from 'chai'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer } from 'node:net'
import { Connections } from '../../src/adapters/node/connections.ts'
import { HttpTargetClient } from '../../src/adapters/node/httpTargetClient.ts'
import type { TargetRequest } from '../../src/ports/common/targetClient.ts'

const settings = { connections: 2, connectTimeoutMs: 500, silenceMs: 2000, maximumAnswerBytes: 10_000 }
const HEAD = 'HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-type: text/plain\r\n\r\n'

describe('an answer without a length', () => {
  // Guards against the first part of an answer that passes for a whole one, since its connection's reset is taken for its end.
  let server: Server
  let connections: Connections
  let client: HttpTargetClient
  let afterHead: (socket: Socket) => void
  let atOnce: boolean

  beforeEach(async () => {
    atOnce = false
    server = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => {
        socket.write(`${HEAD}first part`)
        if (atOnce) afterHead(socket)
        else setTimeout(() => { afterHead(socket) }, 30)
      })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    connections = new Connections(settings)
    client = new HttpTargetClient(connections, settings)
  })
  afterEach(async () => {
    connections.dispose()
    await new Promise((resolve) => { server.close(resolve) })
  })

  const request = (ownConnection: boolean): TargetRequest => ({
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`, method: 'GET', path: '/', headers: [], body: undefined, ownConnection, signal: AbortSignal.timeout(2000)
  })

  for (const ownConnection of [false, true]) {
    const way = ownConnection ? 'a connection of its own' : 'a kept connection'

    it(`is whole if its connection ends, over ${way}`, async () => {
      afterHead = (socket) => { socket.end(' and the rest') }
      const answer = await client.exchange(request(ownConnection))
      expect(answer.ok && new TextDecoder().decode(answer.value.body)).to.equal('first part and the rest')
    })

    it(`is none if its connection is reset, over ${way}`, async () => {
      afterHead = (socket) => { socket.resetAndDestroy() }
      expect(await client.exchange(request(ownConnection))).to.deep.include({ ok: false, code: 'unknownOutcome' })
    })

    it(`is none if its connection is reset together with what it has sent, over ${way}`, async () => {
      // Guards against a reset that is told as an end because it is there together with the last bytes (garble-unframed, varied, seed 895258712195).
      atOnce = true
      afterHead = (socket) => { socket.resetAndDestroy() }
      expect(await client.exchange(request(ownConnection))).to.deep.include({ ok: false, code: 'unknownOutcome' })
    })

    it(`is no whole stream if its connection is reset, over ${way}`, async () => {
      afterHead = (socket) => { socket.resetAndDestroy() }
      const stream = await client.open(request(ownConnection))
      if (!stream.ok) throw new Error(stream.message)
      let text = ''
      let broke = false
      try {
        for await (const piece of stream.value.pieces) text += new TextDecoder().decode(piece)
      } catch {
        broke = true
      }
      expect([text, broke]).to.deep.equal(['first part', true])
    })
  }
})
