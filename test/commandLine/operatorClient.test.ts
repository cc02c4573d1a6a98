/** Statements sent to hosts that answer incorrectly or not at all. */

import { expect } from 'chai'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer } from 'node:net'
import { sendStatement } from '../../src/commandLine/node/operatorClient.ts'

const ACCEPTED = '{"type":"accepted","revision":7,"id":"c-1"}'

describe('an operator statement', () => {
  const servers: Server[] = []

  /** Starts a host that reads a request and then calls `answer`. */
  async function startHost (answer: (socket: Socket) => void): Promise<string> {
    const server = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => { answer(socket) })
    })
    servers.push(server)
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  const resetConnection = (socket: Socket): void => { socket.resetAndDestroy() }
  const truncateResponse = (socket: Socket): void => {
    socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${ACCEPTED.slice(0, 20)}`)
    socket.resetAndDestroy()
  }
  const sendAccepted = (socket: Socket): void => { socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${ACCEPTED}`) }

  async function send (...hosts: string[]): Promise<string> {
    const outcome = await sendStatement({ hosts, key: 'k', statement: 'remove pool drafter', id: 'c-1', wait: false, timeoutMs: 500 })
    if (!outcome.ok) return `${outcome.code} ${outcome.message.includes('c-1') ? 'with its id' : ''}`.trim()
    return outcome.value.type
  }

  afterEach(() => { for (const server of servers.splice(0)) server.close() })

  const UNREACHABLE_HOST = 'http://127.0.0.1:1'

  it('has an unknown outcome once a host may have executed it', async () => {
    // Guards against an operator assuming that a command was not executed although it is in force.
    expect(await send(await startHost(resetConnection))).to.equal('unknownOutcome with its id')
    expect(await send(await startHost(truncateResponse))).to.equal('unknownOutcome with its id')
    expect(await send(await startHost(() => undefined))).to.equal('unknownOutcome with its id')
    expect(await send(await startHost(resetConnection), UNREACHABLE_HOST)).to.equal('unknownOutcome with its id')
  })

  it('is reported as not executed if no host could be reached', async () => {
    expect(await send(UNREACHABLE_HOST, UNREACHABLE_HOST)).to.equal('targetUnreachable')
  })

  it('is answered by the next host if one truncates its response', async () => {
    expect(await send(UNREACHABLE_HOST, await startHost(truncateResponse), await startHost(sendAccepted))).to.equal('answer')
  })
})
