/**
 * A stand-in for the prepared platform's store: topics with offsets, keyed topics, long polls, and
 * its faults. Each host gets a door of its own, so that a single host can be turned away.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

/** How a door treats its callers. */
export type DoorFault = 'none' | 'busy' | 'many' | 'reset' | 'silent'

interface StoredRecord {
  readonly content: Buffer
}

interface Topic {
  readonly records: StoredRecord[]
  first: number
  readonly waiting: Set<() => void>
}

export interface StoreDoor {
  readonly address: string
  fault: DoorFault
  /** Appends that are done and get no answer. */
  loseAnswers: number
  /** Time that the store takes for calls to a topic, in milliseconds. */
  readonly delays: Map<string, number>
}

/** Longest poll of a reader that waits, in milliseconds. */
const LONGEST_POLL_MS = 30_000
/** Bytes of one record and of the records of one call, at most. */
const RECORD_BYTES = 262_144
const CALL_BYTES = 2_097_152

export class StoreStandIn {
  private readonly topics = new Map<string, Topic>()
  private readonly servers: Server[] = []
  readonly calls: string[] = []

  /** Opens a door; closing the store closes all of them. */
  async open (): Promise<StoreDoor> {
    const door = { address: '', fault: 'none' as DoorFault, loseAnswers: 0, delays: new Map<string, number>() }
    const server = createServer((request, response) => { this.receive(door, request, response).catch(() => { response.destroy() }) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    this.servers.push(server)
    door.address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    return door
  }

  async close (): Promise<void> {
    for (const server of this.servers) {
      server.closeAllConnections()
      await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
    }
  }

  /** Writes a keyed record, as operators, trainers and targets do. */
  put (topic: string, key: string, value: object | undefined): void {
    const keyBytes = Buffer.from(key)
    this.add(topic, [Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, Buffer.from(value === undefined ? '' : JSON.stringify(value))])])
  }

  /** Writes a record of any bytes, as another writer may. */
  putBytes (topic: string, content: Uint8Array): void {
    this.add(topic, [Buffer.from(content)])
  }

  /** Drops the history of a topic; the newest record of each key stays readable. */
  compact (name: string): void {
    const topic = this.topic(name)
    topic.first = topic.records.length
  }

  /** Offset of the first record of a topic that is still kept. */
  firstOf (name: string): number {
    return this.topic(name).first
  }

  /** Newest values of a keyed topic. */
  newest (name: string): Map<string, { value: string, offset: number }> {
    return new Map([...this.newestBytes(name)].map(([key, { bytes, offset }]) => [key, { value: bytes.toString('utf8'), offset }]))
  }

  /** A record that ends before its key does belongs to no key. */
  private newestBytes (name: string): Map<string, { bytes: Buffer, offset: number }> {
    const found = new Map<string, { bytes: Buffer, offset: number }>()
    for (const [offset, { content }] of this.topic(name).records.entries()) {
      const valueAt = 1 + (content[0] ?? 0)
      if (valueAt > content.length) continue
      const key = content.toString('utf8', 1, valueAt)
      const bytes = content.subarray(valueAt)
      if (bytes.length === 0) found.delete(key)
      else found.set(key, { bytes, offset })
    }
    return found
  }

  private topic (name: string): Topic {
    const known = this.topics.get(name)
    if (known !== undefined) return known
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

  private async receive (door: StoreDoor, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://store')
    const pieces: Buffer[] = []
    for await (const piece of request as AsyncIterable<Buffer>) pieces.push(piece)
    this.calls.push(`${request.method ?? ''} ${url.pathname}`)
    switch (door.fault) {
      case 'busy': return json(response, 503, {})
      case 'many': return json(response, 429, {})
      case 'reset': request.socket.resetAndDestroy(); return
      case 'silent': return
      case 'none': return await this.answer(door, request, response, url, Buffer.concat(pieces))
    }
  }

  private async answer (door: StoreDoor, request: IncomingMessage, response: ServerResponse, url: URL, body: Buffer): Promise<void> {
    const name = url.searchParams.get('topic') ?? ''
    await new Promise((resolve) => setTimeout(resolve, door.delays.get(name) ?? 0))
    switch (`${request.method ?? ''} ${url.pathname}`) {
      case 'POST /log-append': return this.append(door, response, name, body)
      case 'POST /log-trim': return this.trim(response, body)
      case 'GET /log-read': return await this.read(response, name, Number(url.searchParams.get('from')), Number(url.searchParams.get('wait_ms') ?? 0), Number(url.searchParams.get('max_kb') ?? 1024))
      case 'GET /log-newest': return this.page(response, name, url.searchParams.get('after') ?? undefined)
      default: return json(response, 404, {})
    }
  }

  private append (door: StoreDoor, response: ServerResponse, name: string, body: Buffer): void {
    if (name === 'keyed.op' || name === 'keyed.servers') return json(response, 403, {})
    const contents: Buffer[] = []
    for (let place = 0; place < body.length;) {
      const length = body.readUInt32BE(place)
      contents.push(body.subarray(place + 4, place + 4 + length))
      place += 4 + length
    }
    if (contents.some(({ length }) => length > RECORD_BYTES) || contents.reduce((sum, { length }) => sum + length, 0) > CALL_BYTES) return json(response, 400, { error: 'records are too long' })
    const offset = this.add(name, contents)
    if (door.loseAnswers > 0) {
      door.loseAnswers--
      response.destroy()
      return
    }
    json(response, 200, { offset, end: this.topic(name).records.length })
  }

  private trim (response: ServerResponse, body: Buffer): void {
    const { topic: name, part, before } = JSON.parse(body.length === 0 ? '{}' : body.toString('utf8')) as { topic?: string, part?: number, before?: number }
    if (name === undefined || part !== 0 || before === undefined) return json(response, 400, { error: 'the body cannot be read' })
    const topic = this.topic(name)
    topic.first = Math.max(topic.first, Math.min(before, topic.records.length))
    json(response, 200, {})
  }

  private async read (response: ServerResponse, name: string, from: number, waitMs: number, kilobytes: number): Promise<void> {
    const topic = this.topic(name)
    if (from < topic.first) return json(response, 410, { first: topic.first })
    if (from >= topic.records.length && waitMs > 0) await wait(topic, Math.min(waitMs, LONGEST_POLL_MS), response)
    const head = Buffer.alloc(16)
    head.writeBigUInt64BE(BigInt(topic.records.length), 0)
    head.writeBigUInt64BE(BigInt(topic.first), 8)
    let room = kilobytes * 1024
    const records: Buffer[] = []
    for (const { content } of topic.records.slice(from)) {
      room -= 4 + content.length
      if (records.length > 0 && room < 0) break
      const length = Buffer.alloc(4)
      length.writeUInt32BE(content.length)
      records.push(Buffer.concat([length, content]))
    }
    response.writeHead(200).end(Buffer.concat([head, ...records]))
  }

  private page (response: ServerResponse, name: string, after: string | undefined): void {
    const sorted = [...this.newestBytes(name)].sort(([a], [b]) => a < b ? -1 : 1).filter(([key]) => after === undefined || key > after)
    const page = sorted.slice(0, 20)
    json(response, 200, {
      items: page.map(([key, { bytes, offset }]) => ({ key, value: bytes.toString('base64'), offset })),
      more: sorted.length > page.length,
      end: this.topic(name).records.length
    })
  }
}

async function wait (topic: Topic, waitMs: number, response: ServerResponse): Promise<void> {
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

function json (response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}
