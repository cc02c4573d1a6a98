/** Reading of request bodies: limits in memory, and what is left of them afterwards. */

import type { IncomingMessage, Server } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { connect } from 'node:net'
import { expect } from 'chai'
import type { Result } from '../../src/base/common/resultCode.ts'
import { memoryShares } from '../../src/core/common/overload/memoryShares.ts'
import { BLOCK_BYTES, ClientMemory } from '../../src/entry/node/clientMemory.ts'
import type { RequestBody } from '../../src/entry/node/requestBody.ts'
import { RequestBodies } from '../../src/entry/node/requestBody.ts'
import { SeededRandom } from '../soak/seededRandom.ts'
import { waitUntil } from '../support/hostProcess.ts'

const MAX_BODY_BYTES = 100_000
const DEFAULT_MAX_BODY_BYTES = 33_554_432
const MAX_TOTAL_BYTES = 300_000
/** Part of the memory of clients that is for bodies. */
const BODY_PART = 0.85
const HEAD = 'POST / HTTP/1.1\r\nhost: a\r\n'
const CHUNKED_HEAD = `${HEAD}transfer-encoding: chunked\r\n\r\n`
const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`

describe('request bodies', () => {
  let server: Server
  let now = 0
  let maximumBodyBytes = MAX_BODY_BYTES
  let smallChunks = 0
  let memory: ClientMemory
  let all: RequestBodies
  const bodies: RequestBody[] = []
  const outcomes: Result<Uint8Array>[] = []
  const sockets: Socket[] = []

  beforeEach(async () => {
    now = 0
    maximumBodyBytes = MAX_BODY_BYTES
    bodies.length = 0
    outcomes.length = 0
    memory = new ClientMemory({ monotonic: () => now }, MAX_TOTAL_BYTES / BODY_PART)
    all = new RequestBodies({ memory, metrics: { count: () => { smallChunks++ } } })
    server = createServer((request: IncomingMessage, response) => {
      const body = all.read(request, maximumBodyBytes)
      const index = bodies.push(body) - 1
      body.read().then((outcome) => {
        outcomes[index] = outcome
        response.end()
      }, () => undefined)
      response.once('close', () => { body.release() })
    })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  })

  afterEach(() => {
    for (const socket of sockets.splice(0)) socket.destroy()
    server.close()
    server.closeAllConnections()
  })

  function send (...pieces: string[]): Socket {
    const socket = connect({ host: '127.0.0.1', port: (server.address() as AddressInfo).port }).on('error', () => undefined)
    socket.resume()
    sockets.push(socket)
    for (const piece of pieces) socket.write(piece)
    return socket
  }

  const outcomeOf = async (index: number): Promise<string> => {
    await waitUntil(() => outcomes[index] !== undefined, 3000, 'the body is read')
    const outcome = outcomes[index]
    return outcome?.ok === true ? `${outcome.value.length} bytes` : outcome?.code ?? ''
  }

  /** Whether all memory has been released. */
  async function waitUntilReleased (): Promise<void> {
    await waitUntil(() => {
      const blocks: Buffer[] = []
      for (let block = memory.takeBlock(); block !== undefined; block = memory.takeBlock()) blocks.push(block)
      memory.returnBlocks(blocks)
      return blocks.length === Math.floor(MAX_TOTAL_BYTES / BLOCK_BYTES)
    }, 3000, 'the memory is released')
  }

  it('may be as large as the default limit of a body with the memory of the smallest machine', async () => {
    // Guards against a share of the memory in which a single request within its limits has no room.
    const { clientBytes } = memoryShares(67_108_864, 210)
    memory = new ClientMemory({ monotonic: () => now }, clientBytes)
    all = new RequestBodies({ memory, metrics: { count: () => undefined } })
    maximumBodyBytes = DEFAULT_MAX_BODY_BYTES
    send(`${HEAD}content-length: ${DEFAULT_MAX_BODY_BYTES}\r\n\r\n`, 'x'.repeat(DEFAULT_MAX_BODY_BYTES))
    expect(await outcomeOf(0)).to.equal(`${DEFAULT_MAX_BODY_BYTES} bytes`)
  })

  it('are read whole, in any chunks', async () => {
    const random = new SeededRandom(54)
    const text = Array.from({ length: 20_000 }, () => String.fromCharCode(random.intBetween(97, 122))).join('')
    const chunks: string[] = []
    for (let offset = 0; offset < text.length;) {
      const length = random.intBetween(1, 200)
      chunks.push(chunk(text.slice(offset, offset + length)))
      offset += length
    }
    send(CHUNKED_HEAD, ...chunks, '0\r\n\r\n')
    send(`${HEAD}content-length: ${text.length}\r\n\r\n${text}`)
    await outcomeOf(0)
    await outcomeOf(1)
    expect(outcomes.map((outcome) => outcome.ok && Buffer.from(outcome.value).toString())).to.deep.equal([text, text])
    await waitUntilReleased()
  })

  it('above the limit of one body are rejected, declared or not', async () => {
    send(`${HEAD}content-length: ${MAX_BODY_BYTES + 1}\r\n\r\n`)
    expect(await outcomeOf(0)).to.equal('tooLarge')
    send(CHUNKED_HEAD, chunk('x'.repeat(MAX_BODY_BYTES)), chunk('x'))
    expect(await outcomeOf(1)).to.equal('tooLarge')
    send(CHUNKED_HEAD, chunk('x'.repeat(MAX_BODY_BYTES)), '0\r\n\r\n')
    expect(await outcomeOf(2)).to.equal(`${MAX_BODY_BYTES} bytes`)
    await waitUntilReleased()
  })

  it('in very small chunks are rejected, unless they are few', async () => {
    // Guards against bodies that cost a host a hundred times their size in objects and processor time.
    send(CHUNKED_HEAD, chunk('x').repeat(1024), '0\r\n\r\n')
    expect(await outcomeOf(0)).to.equal('1024 bytes')
    send(CHUNKED_HEAD, chunk('x').repeat(50_000))
    expect(await outcomeOf(1)).to.equal('malformed')
    expect(bodies[1]?.receivedBytes).to.equal(1025)
    expect(smallChunks).to.equal(1)
    send(CHUNKED_HEAD, chunk('x').repeat(100), '0\r\n\r\n')
    expect(await outcomeOf(2), 'with the parser of the closed connection').to.equal('100 bytes')
    await waitUntilReleased()
  })

  it('count with the memory that they take, and release it when their connection closes', async () => {
    // Guards against a limit on received bytes that does not bound the memory of the process.
    const senders = [0, 1, 2].map(() => send(CHUNKED_HEAD, chunk('x'.repeat(70_000))))
    await waitUntil(() => bodies.length === 3 && bodies.every(({ receivedBytes }) => receivedBytes === 70_000), 3000, 'three bodies arrive')
    send(CHUNKED_HEAD, chunk('x'.repeat(99_000)))
    expect(await outcomeOf(3)).to.equal('overloaded')
    for (const sender of senders) sender.destroy()
    await waitUntilReleased()
  })

  it('that are whole count once', async () => {
    // Guards against a body that is rejected although it fits into the memory that is left.
    const text = 'x'.repeat(MAX_BODY_BYTES)
    const pending = Array.from({ length: 2 }, () => send(CHUNKED_HEAD, chunk('x'.repeat(40_000))))
    await waitUntil(() => bodies.length === 2 && bodies.every(({ receivedBytes }) => receivedBytes === 40_000), 3000, 'two bodies arrive')
    send(`${HEAD}content-length: ${text.length}\r\n\r\n${text}`)
    expect(await outcomeOf(2)).to.equal(`${MAX_BODY_BYTES} bytes`)
    for (const sender of pending) sender.destroy()
    await waitUntilReleased()
  })

  it('that have stopped arriving are given up when others need their memory', async () => {
    // Guards against clients that shut others out for as long as they leave their requests incomplete.
    for (let index = 0; index < 4; index++) send(CHUNKED_HEAD, chunk('x'.repeat(60_000)))
    await waitUntil(() => bodies.length === 4 && bodies.every(({ receivedBytes }) => receivedBytes === 60_000), 3000, 'four bodies arrive')
    now = 5000
    send(CHUNKED_HEAD, chunk('y'.repeat(60_000)), '0\r\n\r\n')
    expect(await outcomeOf(4)).to.equal('60000 bytes')
    await waitUntil(() => outcomes.filter((outcome) => outcome !== undefined).length >= 2, 3000, 'a body is given up')
    expect(outcomes.filter((outcome) => outcome !== undefined && !outcome.ok).map((outcome) => outcome.ok ? '' : outcome.code)).to.include('tooSlow')
  })
})
