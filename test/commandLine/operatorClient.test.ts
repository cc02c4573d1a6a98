/** Statements sent to hosts that answer badly or not at all. */

import { expect } from 'chai'
import type { AddressInfo, Server, Socket } from 'node:net'
import { createServer } from 'node:net'
import { sendStatement } from '../../src/commandLine/node/operatorClient.ts'

const ACCEPTED = '{"type":"accepted","revision":7,"id":"c-1"}'

describe('a statement of an operator', () => {
  const servers: Server[] = []

  /** A host that reads a request and does something. */
  async function host (answer: (socket: Socket) => void): Promise<string> {
    const server = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => { answer(socket) })
    })
    servers.push(server)
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  const resets = (socket: Socket): void => { socket.resetAndDestroy() }
  const breaksOff = (socket: Socket): void => {
    socket.write(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${ACCEPTED.slice(0, 20)}`)
    socket.resetAndDestroy()
  }
  const accepts = (socket: Socket): void => { socket.end(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${ACCEPTED}`) }

  async function send (...hosts: string[]): Promise<string> {
    const outcome = await sendStatement({ hosts, key: 'k', statement: 'remove pool drafter', id: 'c-1', wait: false, timeoutMs: 500 })
    if (!outcome.ok) return `${outcome.code} ${outcome.message.includes('c-1') ? 'with its id' : ''}`.trim()
    return outcome.value.type
  }

  afterEach(() => { for (const server of servers.splice(0)) server.close() })

  const nobody = 'http://127.0.0.1:1'

  it('is not said to be not run once a host may have run it', async () => {
    // Guards against an operator who takes a command for not run that is in force.
    expect(await send(await host(resets))).to.equal('unknownOutcome with its id')
    expect(await send(await host(breaksOff))).to.equal('unknownOutcome with its id')
    expect(await send(await host(() => undefined))).to.equal('unknownOutcome with its id')
    expect(await send(await host(resets), nobody)).to.equal('unknownOutcome with its id')
  })

  it('is said to be not run where no host could be reached', async () => {
    expect(await send(nobody, nobody)).to.equal('targetUnreachable')
  })

  it('is answered by the next host where one breaks off', async () => {
    expect(await send(nobody, await host(breaksOff), await host(accepts))).to.equal('answer')
  })
})
