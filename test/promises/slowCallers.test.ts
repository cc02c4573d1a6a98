/** Tests with a host process that callers that read slowly do not affect the host. */

import { expect } from 'chai'
import type { Server } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { pause } from '../../standins/httpStandIn.ts'
import type { Cluster } from '../support/hostProcess.ts'
import { keys } from '../support/hostProcess.ts'
import type { TestPlatform } from '../support/platform.ts'
import { startTestPlatform } from '../support/platform.ts'
import { rawCall } from '../support/rawCaller.ts'

/** Numbers of events per answer. They cover the range around what the socket buffers hold while the caller reads nothing. */
const EVENT_COUNTS = Array.from({ length: 40 }, (_, index) => 70 + index)
const EVENT_BYTES = 50_000
/** Interval between events, in milliseconds. It is long enough for each event to be read separately. */
const EVENT_INTERVAL_MS = 2
/** Time before callers start to read, in milliseconds. */
const CALLER_PAUSE_MS = 1500

describe('a host whose callers read slowly', function () {
  this.timeout(40_000)
  let platform: TestPlatform
  let cluster: Cluster
  let engine: Server

  before(async () => {
    engine = startUnframedEngine()
    await new Promise<void>((resolve) => { engine.listen(0, '127.0.0.1', resolve) })
    platform = await startTestPlatform({})
    cluster = await platform.startCluster([{ name: 'abdali-1', place: 'Abdali' }])
    await cluster.execute(
      'create pool drafter copies 1', 'create lane desk pool drafter priority 0 deadline 20s',
      `create target drafter-0 pool drafter address "http://127.0.0.1:${(engine.address() as AddressInfo).port}" place Abdali slots 128 fenced true`
    )
  })

  after(async () => {
    await cluster.stop()
    await platform.close()
    engine.close()
    engine.closeAllConnections()
  })

  it('keeps running when answers without a length end while their readers pause', async () => {
    // Guards against a listener that is leaked by each pause of a caller, and against an exception from the parser of the HTTP library, which terminates the process and all requests in it.
    const texts = await Promise.all(EVENT_COUNTS.map(async (count) => await readAfterPause(cluster.host(0).address, count)))
    expect(cluster.host(0).isRunning, cluster.host(0).output.slice(-2000)).to.equal(true)
    expect(cluster.host(0).output).not.to.include('MaxListenersExceededWarning')
    expect(texts.map((text) => [text.match(/^data: .*"choices"/gm)?.length, text.includes('event: complete')])).to.deep.equal(EVENT_COUNTS.map((count) => [count, true]))
  })
})

/** Starts an engine whose answers have no length and are delimited by the end of the connection. */
function startUnframedEngine (): Server {
  return createServer((request, response) => {
    const chunks: Buffer[] = []
    request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
    request.on('end', () => {
      if (request.url !== '/v1/completions') return response.writeHead(200, { 'content-type': 'application/json' }).end('{"weight_version":1,"running":0,"queued":0,"leaving":false}')
      const { id, prompt } = JSON.parse(Buffer.concat(chunks).toString()) as { id: string, prompt: string }
      sendUnframed(response.socket as Socket, id, Number(prompt)).catch(() => undefined)
    })
  })
}

async function sendUnframed (socket: Socket, id: string, count: number): Promise<void> {
  socket.on('error', () => undefined)
  socket.write('HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-type: text/event-stream\r\n\r\n')
  for (let event = 1; event <= count; event++) {
    await pause(EVENT_INTERVAL_MS)
    socket.write(`data: ${JSON.stringify({ id, choices: [{ index: 0, text: 'x'.repeat(EVENT_BYTES), finish_reason: event === count ? 'stop' : null }], weight_version: 1, tokens: 1 })}\n\n`)
  }
  socket.end()
}

/** Requests a stream of `count` events and starts to read it only after `CALLER_PAUSE_MS`, like a phone that has lost its network. */
async function readAfterPause (address: string, count: number): Promise<string> {
  const body = JSON.stringify({ stream: true, prompt: String(count), max_tokens: 1000 })
  const message = `POST /v1/lanes/desk/completions HTTP/1.1\r\nhost: a\r\nconnection: close\r\nauthorization: Bearer ${keys.caller}\r\ncontent-length: ${body.length}\r\n\r\n${body}`
  const { text } = await rawCall({ address, message, pauseMs: CALLER_PAUSE_MS })
  return text.replace(/\r\n[0-9a-f]+\r\n/g, '')
}
