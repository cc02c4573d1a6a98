/**
 * Stand-ins for the prepared platform's targets: engines that stream and load weights, and plain
 * workers. They register themselves, keep their own record of what they ran, and misbehave on demand.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { drained } from '../../../src/entry/node/backpressure.ts'
import type { StoreStandIn } from './storeStandIn.ts'

/** How a target treats the next requests. */
export type TargetFault = 'none' | 'full' | 'fails' | 'resets' | 'silent' | 'foreign' | 'unsealed' | 'short' | 'extra' | 'breaks' | 'impossible'

export interface RunRecord {
  readonly id: string
  readonly path: string
  readonly method: string
  readonly body: string
  readonly headers: IncomingMessage['headers']
  readonly at: number
  ended: 'open' | 'answered' | 'dropped'
  /** When it was dropped, in milliseconds since the epoch. */
  droppedAt?: number
  /** The whole answer, once it was given. */
  answer?: { readonly status: number, readonly body: string }
}

export interface OrderRecord {
  readonly holder: string
  readonly fence: number
  readonly model: string
  readonly version: number
  readonly at: number
}

interface OrderBody {
  readonly holder: string
  readonly fence: number
  readonly model: string
  readonly version: number
  readonly precondition?: number
}

export interface EngineOptions {
  readonly models: readonly string[]
  /** Time between two events, in milliseconds. */
  readonly eventMs: number
  readonly loadMs: number
  /** Bytes of an event, about; with them events come as fast as they are read, in place of one after the other. */
  readonly eventBytes?: number
  /** Whether the data of an event tells the run that made it, too. */
  readonly namesRuns?: boolean
}

/** An event as its data tells it, where the engine names its runs. */
export interface MadeEvent {
  readonly item: string
  readonly number: number
  readonly engine: string
  /** Place of the run among those of its engine. */
  readonly run: number
}

/** Reads the data of an event of an engine that names its runs. */
export function readMadeEvent (data: string): MadeEvent | undefined {
  const match = /^(?<item>.+)-(?<number>\d+) of (?<engine>\S+) run (?<run>\d+)$/.exec(data)?.groups
  return match === undefined ? undefined : { item: match['item'] ?? '', number: Number(match['number']), engine: match['engine'] ?? '', run: Number(match['run']) }
}

export interface TargetOptions {
  readonly id: string
  readonly service: string
  readonly place: string
  readonly slots?: number
  /** Present for engines. */
  readonly engine?: EngineOptions
  /** Time for an answer of a plain worker, in milliseconds. */
  readonly answerMs?: number
  /** Unix milliseconds of its first start; absent for targets that do not tell. */
  readonly born?: number
  /** Present for targets whose process ends while it runs certain requests. */
  readonly ends?: EndOptions
}

export interface EndOptions {
  readonly under: (run: RunRecord) => boolean
  /** Time from the begin of the run to the end of the process, in milliseconds. */
  readonly afterMs: number
  readonly onEnd: (target: TargetStandIn, run: RunRecord) => void
}

export class TargetStandIn {
  readonly runs: RunRecord[] = []
  readonly orders: OrderRecord[] = []
  readonly versions = new Map<string, number>()
  fault: TargetFault = 'none'
  /** So many requests meet the fault; the following ones do not. */
  faults = Number.POSITIVE_INFINITY
  /** Events of a run; by default two and the number in the item's path after `events-`. */
  draining = false
  private loading: string | undefined
  private server: Server | undefined
  /** Servers of former lives: their connections stay open and are silent. */
  private readonly formerServers: Server[] = []
  private lives = 0
  /** Whether its process has ended. */
  private over = false
  /** Orders of the present life. */
  private accepted = 0
  address = ''

  constructor (readonly options: TargetOptions, private readonly store: StoreStandIn) {
    this.beginLife()
  }

  private beginLife (): void {
    this.accepted = 0
    this.loading = undefined
    for (const model of this.options.engine?.models ?? []) this.versions.set(model, 1)
  }

  private get toldStart (): object {
    return this.options.born === undefined ? {} : { born: this.options.born + this.lives }
  }

  async start (port = 0): Promise<this> {
    const server = createServer((request, response) => { this.receive(request, response).catch(() => { response.destroy() }) })
    await new Promise<void>((resolve) => { server.listen(port, '127.0.0.1', resolve) })
    this.server = server
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    this.register()
    return this
  }

  /** Loses its power and starts again under its id at another port: whatever was under way is silent for good. */
  async restart (): Promise<void> {
    this.lives++
    if (this.server !== undefined) this.formerServers.push(this.server)
    this.beginLife()
    await this.start()
  }

  register (): void {
    if (this.over) return
    const { id, service, place, slots = 4 } = this.options
    const models = [...this.versions].map(([name, version]) => ({ name, version, adapters: [] }))
    this.store.put('keyed.servers', id, { service, addr: this.address, zone: place, version: 'v1', slots, state: this.draining ? 'draining' : 'ready', cold_left_ms: 0, seq: 1, ...this.toldStart, ...(models.length > 0 ? { stage: 'both', models } : {}) })
  }

  drain (): void {
    this.draining = true
    this.register()
  }

  leave (): void {
    this.store.put('keyed.servers', this.options.id, undefined)
  }

  /** Dies without a word. */
  async kill (): Promise<void> {
    this.over = true
    for (const server of [...this.formerServers, this.server]) {
      server?.closeAllConnections()
      await new Promise<void>((resolve) => { server === undefined ? resolve() : server.close(() => { resolve() }) })
    }
  }

  private async receive (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const pieces: Buffer[] = []
    for await (const piece of request as AsyncIterable<Buffer>) pieces.push(piece)
    const body = Buffer.concat(pieces).toString('utf8')
    const expected = request.headers['bulrushvalve-expect-instance']
    if (expected !== undefined && expected !== this.options.id) return answer(response, 421, { 'bulrushvalve-instance-id': this.options.id }, '')
    if (request.url === '/report') return this.report(response)
    if (request.url === '/order') return this.order(response, JSON.parse(body) as OrderBody)
    await this.run(request, response, body)
  }

  private report (response: ServerResponse): void {
    const models = [...this.versions].map(([name, version]) => ({ name, version, adapters: [] }))
    answer(response, 200, { 'content-type': 'application/json' }, JSON.stringify({ stage: 'both', models, busy: this.loading !== undefined, seq: this.accepted, ...this.toldStart, waiting: 0, running: 0, kv_used: 0, kv_total: 1, handles: 0 }))
  }

  private order (response: ServerResponse, { holder, fence, model, version, precondition }: OrderBody): void {
    if (this.loading !== undefined || (precondition !== undefined && precondition !== this.accepted)) return answer(response, 409, {}, '')
    this.accepted++
    this.orders.push({ holder, fence, model, version, at: Date.now() })
    this.loading = model
    const { lives } = this
    setTimeout(() => {
      if (lives !== this.lives) return
      this.versions.set(model, version)
      this.loading = undefined
      this.register()
    }, this.options.engine?.loadMs ?? 0)
    answer(response, 202, {}, '')
  }

  private async run (request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    const id = String(request.headers['bulrushvalve-request-id'])
    const fault = this.takeFault()
    const model = String(request.headers['bulrushvalve-model'] ?? '')
    if (fault === 'full' || (this.loading !== undefined && this.loading === model)) return answer(response, 503, { 'bulrushvalve-not-run': '1', 'bulrushvalve-request-id': id }, '')
    const record: RunRecord = { id, path: request.url ?? '', method: request.method ?? '', body, headers: request.headers, at: Date.now(), ended: 'open' }
    this.runs.push(record)
    response.once('close', () => { if (record.ended === 'open') Object.assign(record, { ended: 'dropped', droppedAt: Date.now() }) })
    const seal = `seal-of-${id}`
    const own = { 'bulrushvalve-request-id': id, 'bulrushvalve-response-seal': seal, 'bulrushvalve-server-load': `${this.runs.filter(({ ended }) => ended === 'open').length},0,${this.options.slots ?? 4}` }
    switch (fault) {
      case 'resets': request.socket.resetAndDestroy(); return
      case 'silent': return
      case 'impossible': return finish(record, response, 422, own, '')
      case 'fails': return finish(record, response, 500, own, 'failed')
      case 'foreign': return finish(record, response, 200, { ...own, 'bulrushvalve-request-id': 'another' }, 'not yours')
      case 'unsealed': return finish(record, response, 200, { 'bulrushvalve-request-id': id }, 'no seal')
      case 'short':
        response.writeHead(200, { ...own, 'content-length': '100' })
        response.write('half', () => { request.socket.resetAndDestroy() })
        return
      case 'extra':
        finish(record, response, 200, own, `whole ${id}`)
        request.socket.write('HTTP/1.1 200 OK\r\nbulrushvalve-request-id: another\r\nbulrushvalve-response-seal: x\r\ncontent-length: 3\r\n\r\nbad')
        return
      default: break
    }
    const { ends } = this.options
    if (ends?.under(record) === true) {
      await delay(ends.afterMs)
      if (record.ended !== 'open' || this.over) return
      await this.kill()
      return ends.onEnd(this, record)
    }
    if (this.options.engine !== undefined) return await this.stream(record, request, response, own, fault === 'breaks')
    await delay(this.options.answerMs ?? 5)
    finish(record, response, 200, own, `${this.options.id} answers ${id}`)
  }

  private takeFault (): TargetFault {
    if (this.fault === 'none' || this.faults <= 0) return 'none'
    this.faults--
    return this.fault
  }

  /** Events with numbers from 0; an event at which the version changed says so in its first line. */
  private async stream (record: RunRecord, request: IncomingMessage, response: ServerResponse, own: Record<string, string>, breaks: boolean): Promise<void> {
    const model = String(request.headers['bulrushvalve-model'] ?? '')
    const last = request.headers['last-event-id']
    const count = Number(/events-(\d+)/.exec(record.path)?.[1] ?? 3)
    const begin = last === undefined ? 0 : Number(last) + 1
    const made = this.options.engine?.namesRuns === true ? ` of ${this.options.id} run ${this.runs.indexOf(record)}` : ''
    const { eventMs = 1, eventBytes } = this.options.engine ?? {}
    const padding = 'x'.repeat(eventBytes ?? 0)
    let version = this.versions.get(model) ?? 1
    const { lives } = this
    response.writeHead(200, { ...own, 'content-type': 'text/event-stream', 'bulrushvalve-weight-versions': String(version) })
    for (let number = begin; number < count; number++) {
      if (eventBytes === undefined) await delay(eventMs)
      if (response.destroyed || lives !== this.lives) return
      const now = this.versions.get(model) ?? 1
      const changed = now === version ? '' : `bulrushvalve-weight-versions: ${now}\n`
      version = now
      const keepsUp = response.write(`${changed}id: ${number}\ndata: ${record.id}-${number}${made}${padding}\n\n`)
      if (eventBytes !== undefined && !keepsUp) await drained(response)
      if (breaks && number === begin + 1) {
        response.write(`id: ${number + 1}\ndata: torn`, () => { request.socket.resetAndDestroy() })
        return
      }
    }
    record.ended = 'answered'
    response.end()
  }
}

function answer (response: ServerResponse, status: number, headers: Record<string, string>, body: string): void {
  response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) }).end(body)
}

function finish (record: RunRecord, response: ServerResponse, status: number, headers: Record<string, string>, body: string): void {
  record.ended = 'answered'
  record.answer = { status, body }
  answer(response, status, headers, body)
}

async function delay (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
