/**
 * Stand-in for the platform's store, with topics, keyed topics, long polls and injected faults. Each host
 * has its own endpoint, so that faults can be injected for a single host.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Fault injected at an endpoint: `busy` responds with 503, `many` with 429, and `silent` never responds. */
export type EndpointFault = 'none' | 'busy' | 'many' | 'reset' | 'silent'

interface StoredRecord {
  readonly content: Buffer
}

interface Topic {
  readonly records: StoredRecord[]
  first: number
  readonly waiting: Set<() => void>
}

export interface StoreEndpoint {
  readonly address: string
  fault: EndpointFault
  /** Number of appends that take effect but get no response. */
  loseAnswers: number
  /** Delay of calls to a topic in milliseconds, by topic. */
  readonly delays: Map<string, number>
}

/** Longest wait of a long poll. */
const MAX_POLL_MS = 30_000
/** Size limits of one record and of all records of one call. */
const MAX_RECORD_BYTES = 262_144
const MAX_CALL_BYTES = 2_097_152

export class StoreStandIn {
  private readonly topics = new Map<string, Topic>()
  private readonly servers: Server[] = []
  readonly calls: string[] = []
  /** Path and topic of each call, in the order in which the calls arrived. */
  readonly callTopics: string[] = []
  /** Number of records in the responses to reads. */
  recordsRead = 0

  /** Opens an endpoint; closing the store closes all endpoints. */
  async openEndpoint (): Promise<StoreEndpoint> {
    const endpoint = { address: '', fault: 'none' as EndpointFault, loseAnswers: 0, delays: new Map<string, number>() }
    const server = createServer((request, response) => { this.receive(endpoint, request, response).catch(() => { response.destroy() }) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    this.servers.push(server)
    endpoint.address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    return endpoint
  }

  async close (): Promise<void> {
    for (const server of this.servers) {
      server.closeAllConnections()
      await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
    }
  }

  /** Appends a keyed record, as operators, trainers and targets do. */
  put (topic: string, key: string, value: object | undefined): void {
    const keyBytes = Buffer.from(key)
    this.add(topic, [Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value === undefined ? '' : JSON.stringify(value))])])
  }

  /** Appends a record of arbitrary bytes, as another writer may. */
  putBytes (topic: string, content: Uint8Array): void {
    this.add(topic, [Buffer.from(content)])
  }

  /** Drops the history of a topic, except for the newest record of each key. */
  compact (name: string): void {
    const topic = this.topic(name)
    topic.first = topic.records.length
  }

  /** Returns the offset of the first retained record of a topic. */
  firstOffsetOf (name: string): number {
    return this.topic(name).first
  }

  /** Returns the newest value of each key of a topic. */
  newest (name: string): Map<string, { value: string, offset: number }> {
    return new Map([...this.newestBytes(name)].map(([key, { bytes, offset }]) => [key, { value: bytes.toString('utf8'), offset }]))
  }

  /** Returns the newest value of each key as bytes. Records that end within their key are ignored. */
  private newestBytes (name: string): Map<string, { bytes: Buffer, offset: number }> {
    const found = new Map<string, { bytes: Buffer, offset: number }>()
    for (const [offset, { content }] of this.topic(name).records.entries()) {
      const valueStart = 1 + (content[0] ?? 0)
      if (valueStart > content.length) continue
      const key = content.toString('utf8', 1, valueStart)
      const bytes = content.subarray(valueStart)
      if (bytes.length === 0) found.delete(key)
      else found.set(key, { bytes, offset })
    }
    return found
  }

  private topic (name: string): Topic {
    const existing = this.topics.get(name)
    if (existing !== undefined) return existing
    const topic: Topic = { records: [], first: 0, waiting: new Set() }
    this.topics.set(name, topic)
    return topic
  }

  private add (name: string, contents: readonly Buffer[]): number {
    const topic = this.topic(name)
    const offset = topic.records.length
    topic.records.push(...contents.map((content) => ({ content })))
    for (const wake of [...topic.waiting]) wake()
    return offset
  }

  private async receive (endpoint: StoreEndpoint, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store')
    const chunks: Buffer[] = []
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
    this.calls.push(`${request.method ?? ''} ${url.pathname}`)
    this.callTopics.push(`${url.pathname} ${url.searchParams.get('topic') ?? ''}`)
    switch (endpoint.fault) {
      case 'busy': return sendJson(response, 503, {})
      case 'many': return sendJson(response, 429, {})
      case 'reset': request.socket.resetAndDestroy(); return
      case 'silent': return
      case 'none': return await this.handleRequest(endpoint, request, response, url, Buffer.concat(chunks))
    }
  }

  private async handleRequest (endpoint: StoreEndpoint, request: IncomingMessage, response: ServerResponse, url: URL, body: Buffer): Promise<void> {
    const name = url.searchParams.get('topic') ?? ''
    await new Promise((resolve) => setTimeout(resolve, endpoint.delays.get(name) ?? 0))
    switch (`${request.method ?? ''} ${url.pathname}`) {
      case 'POST /log-append': return this.append(endpoint, response, name, body)
      case 'POST /log-trim': return this.trim(response, body)
      case 'GET /log-read': return await this.read(response, name, Number(url.searchParams.get('from')), Number(url.searchParams.get('wait_ms') ?? 0), Number(url.searchParams.get('max_kb') ?? 1024))
      case 'GET /log-newest': return this.page(response, name, url.searchParams.get('after') ?? undefined)
      default: return sendJson(response, 404, {})
    }
  }

  private append (endpoint: StoreEndpoint, response: ServerResponse, name: string, body: Buffer): void {
    if (name === 'keyed.op' || name === 'keyed.servers') return sendJson(response, 403, {})
    const contents: Buffer[] = []
    for (let position = 0; position < body.length;) {
      const length = body.readUInt32BE(position)
      contents.push(body.subarray(position + 4, position + 4 + length))
      position += 4 + length
    }
    if (contents.some(({ length }) => length > MAX_RECORD_BYTES) || contents.reduce((sum, { length }) => sum + length, 0) > MAX_CALL_BYTES) return sendJson(response, 400, { error: 'records are too long' })
    const offset = this.add(name, contents)
    if (endpoint.loseAnswers > 0) {
      endpoint.loseAnswers--
      response.destroy()
      return
    }
    sendJson(response, 200, { offset, end: this.topic(name).records.length })
  }

  private trim (response: ServerResponse, body: Buffer): void {
    const { topic: name, part, before } = JSON.parse(body.length === 0 ? '{}' : body.toString('utf8')) as { topic?: string, part?: number, before?: number }
    if (name === undefined || part !== 0 || before === undefined) return sendJson(response, 400, { error: 'topic, part 0 and before are required' })
    const topic = this.topic(name)
    topic.first = Math.max(topic.first, Math.min(before, topic.records.length))
    sendJson(response, 200, {})
  }

  private async read (response: ServerResponse, name: string, from: number, waitMs: number, kilobytes: number): Promise<void> {
    const topic = this.topic(name)
    if (from < topic.first) return sendJson(response, 410, { first: topic.first })
    if (from >= topic.records.length && waitMs > 0) await waitForRecords(topic, Math.min(waitMs, MAX_POLL_MS), response)
    const header = Buffer.alloc(16)
    header.writeBigUInt64BE(BigInt(topic.records.length), 0)
    header.writeBigUInt64BE(BigInt(topic.first), 8)
    let remainingBytes = kilobytes * 1024
    const records: Buffer[] = []
    for (const { content } of topic.records.slice(from)) {
      remainingBytes -= 4 + content.length
      if (records.length > 0 && remainingBytes < 0) break
      const length = Buffer.alloc(4)
      length.writeUInt32BE(content.length)
      records.push(Buffer.concat([length, content]))
    }
    this.recordsRead += records.length
    response.writeHead(200).end(Buffer.concat([header, ...records]))
  }

  private page (response: ServerResponse, name: string, after: string | undefined): void {
    const sorted = [...this.newestBytes(name)].sort(([a], [b]) => a < b ? -1 : 1).filter(([key]) => after === undefined || key > after)
    const page = sorted.slice(0, 20)
    sendJson(response, 200, {
      items: page.map(([key, { bytes, offset }]) => ({ key, value: bytes.toString('base64'), offset })),
      more: sorted.length > page.length,
      end: this.topic(name).records.length
    })
  }
}

async function waitForRecords (topic: Topic, waitMs: number, response: ServerResponse): Promise<void> {
  await new Promise<void>((resolve) => {
    const done = (): void => {
      clearTimeout(timer)
      topic.waiting.delete(done)
      resolve()
    }
    const timer = setTimeout(done, waitMs)
    topic.waiting.add(done)
    response.once('close', done)
  })
}

function sendJson (response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}
