/**
 * Stand-ins for the platform's targets: engines that stream and load weights, and plain workers. They
 * register themselves, record the requests and orders that they receive, and inject faults on demand.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { waitForDrain } from '../../../src/entry/node/backpressure.ts'
import type { StoreStandIn } from './storeStandIn.ts'

/** Fault injected into the next requests to a target. */
export type TargetFault = 'none' | 'full' | 'fails' | 'resets' | 'silent' | 'foreign' | 'unsealed' | 'short' | 'extra' | 'breaks' | 'impossible'

export interface RunRecord {
  readonly id: string
  readonly path: string
  readonly method: string
  readonly body: string
  readonly headers: IncomingMessage['headers']
  readonly at: number
  ended: 'open' | 'answered' | 'dropped'
  /** Time at which the connection was dropped, in Unix milliseconds. */
  droppedAt?: number
  /** Complete response, once it was sent. */
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
  /** Interval between events, in milliseconds. */
  readonly eventMs: number
  readonly loadMs: number
  /** Approximate size of an event in bytes. If set, events are sent as fast as they are read instead of at an interval. */
  readonly eventBytes?: number
  /** Whether the data of an event also identifies the run that generated it. */
  readonly labelsEvents?: boolean
}

/** Decoded data of an event that identifies its run. */
export interface LabelledEvent {
  readonly item: string
  readonly number: number
  readonly engine: string
  /** Index of the run among the runs of its engine. */
  readonly run: number
}

/** Parses the data of an event that identifies its run. */
export function parseLabelledEvent (data: string): LabelledEvent | undefined {
  const match = /^(?<item>.+)-(?<number>\d+) of (?<engine>\S+) run (?<run>\d+)$/.exec(data)?.groups
  return match === undefined ? undefined : { item: match['item'] ?? '', number: Number(match['number']), engine: match['engine'] ?? '', run: Number(match['run']) }
}

export interface TargetOptions {
  /** Whether the target may be reclaimed; absent if the platform does not rent targets. */
  readonly spot?: boolean
  readonly id: string
  readonly service: string
  readonly place: string
  readonly slots?: number
  /** Set for engines. */
  readonly engine?: EngineOptions
  /** Time that a plain worker takes to respond, in milliseconds. */
  readonly responseDelayMs?: number
  /** Time of the first start in Unix milliseconds; absent for targets that do not report it. */
  readonly born?: number
  /** Set for targets that crash while they run certain requests. */
  readonly ends?: CrashOptions
}

export interface CrashOptions {
  readonly under: (run: RunRecord) => boolean
  /** Time from the start of the run to the crash, in milliseconds. */
  readonly afterMs: number
  readonly onCrash: (target: TargetStandIn, run: RunRecord) => void
}

export class TargetStandIn {
  readonly runs: RunRecord[] = []
  readonly orders: OrderRecord[] = []
  readonly versions = new Map<string, number>()
  fault: TargetFault = 'none'
  /** Number of further requests into which the fault is injected. */
  faults = Number.POSITIVE_INFINITY
  draining = false
  private leavesMs: number | undefined
  private loading: string | undefined
  private server: Server | undefined
  /** Servers of former incarnations, whose connections stay open without sending data. */
  private readonly formerServers: Server[] = []
  private restarts = 0
  private isKilled = false
  /** Number of orders accepted by the current incarnation. */
  private accepted = 0
  address = ''

  constructor (readonly options: TargetOptions, private readonly store: StoreStandIn) {
    this.resetState()
  }

  private resetState (): void {
    this.accepted = 0
    this.loading = undefined
    for (const model of this.options.engine?.models ?? []) this.versions.set(model, 1)
  }

  private get reportedStart (): object {
    return this.options.born === undefined ? {} : { born: this.options.born + this.restarts }
  }

  async start (port = 0): Promise<this> {
    const server = createServer((request, response) => { this.receive(request, response).catch(() => { response.destroy() }) })
    await new Promise<void>((resolve) => { server.listen(port, '127.0.0.1', resolve) })
    this.server = server
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    this.register()
    return this
  }

  /** Simulates a power loss and a restart under the same id at another port. Connections of the former incarnation never send data again. */
  async restart (): Promise<void> {
    this.restarts++
    if (this.server !== undefined) this.formerServers.push(this.server)
    this.resetState()
    await this.start()
  }

  register (): void {
    if (this.isKilled) return
    const { id, service, place, slots = 4, spot } = this.options
    const rental = { ...(spot === undefined ? {} : { spot }), ...(this.leavesMs === undefined ? {} : { leaves_ms: this.leavesMs }) }
    const models = [...this.versions].map(([name, version]) => ({ name, version, adapters: [] }))
    this.store.put('keyed.servers', id, { service, addr: this.address, zone: place, version: 'v1', slots, state: this.draining ? 'draining' : 'ready', cold_left_ms: 0, seq: 1, ...rental, ...this.reportedStart, ...(models.length > 0 ? { stage: 'both', models } : {}) })
  }

  /** @param leavesMs time until the target ends, if it is announced */
  drain (leavesMs?: number): void {
    this.draining = true
    this.leavesMs = leavesMs
    this.register()
  }

  deregister (): void {
    this.store.put('keyed.servers', this.options.id, undefined)
  }

  /** Ends the process without deregistering. */
  async kill (): Promise<void> {
    this.isKilled = true
    for (const server of [...this.formerServers, this.server]) {
      server?.closeAllConnections()
      await new Promise<void>((resolve) => { server === undefined ? resolve() : server.close(() => { resolve() }) })
    }
  }

  private async receive (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
    const body = Buffer.concat(chunks).toString('utf8')
    const expected = request.headers['bulrushvalve-expect-instance']
    if (expected !== undefined && expected !== this.options.id) return respond(response, 421, { 'bulrushvalve-instance-id': this.options.id }, '')
    if (request.url === '/report') return this.report(response)
    if (request.url === '/order') return this.order(response, JSON.parse(body) as OrderBody)
    await this.run(request, response, body)
  }

  private report (response: ServerResponse): void {
    const models = [...this.versions].map(([name, version]) => ({ name, version, adapters: [] }))
    respond(response, 200, { 'content-type': 'application/json' }, JSON.stringify({ stage: 'both', models, busy: this.loading !== undefined, seq: this.accepted, ...this.reportedStart, waiting: 0, running: 0, kv_used: 0, kv_total: 1, handles: 0 }))
  }

  private order (response: ServerResponse, { holder, fence, model, version, precondition }: OrderBody): void {
    if (this.loading !== undefined || (precondition !== undefined && precondition !== this.accepted)) return respond(response, 409, {}, '')
    this.accepted++
    this.orders.push({ holder, fence, model, version, at: Date.now() })
    this.loading = model
    const { restarts } = this
    setTimeout(() => {
      if (restarts !== this.restarts) return
      this.versions.set(model, version)
      this.loading = undefined
      this.register()
    }, this.options.engine?.loadMs ?? 0)
    respond(response, 202, {}, '')
  }

  private async run (request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
    const id = String(request.headers['bulrushvalve-request-id'])
    const fault = this.takeFault()
    const model = String(request.headers['bulrushvalve-model'] ?? '')
    if (fault === 'full' || (this.loading !== undefined && this.loading === model)) return respond(response, 503, { 'bulrushvalve-not-run': '1', 'bulrushvalve-request-id': id }, '')
    const record: RunRecord = { id, path: request.url ?? '', method: request.method ?? '', body, headers: request.headers, at: Date.now(), ended: 'open' }
    this.runs.push(record)
    response.once('close', () => { if (record.ended === 'open') Object.assign(record, { ended: 'dropped', droppedAt: Date.now() }) })
    const seal = `seal-of-${id}`
    const ownHeaders = { 'bulrushvalve-request-id': id, 'bulrushvalve-response-seal': seal, 'bulrushvalve-server-load': `${this.runs.filter(({ ended }) => ended === 'open').length},0,${this.options.slots ?? 4}` }
    switch (fault) {
      case 'resets': request.socket.resetAndDestroy(); return
      case 'silent': return
      case 'impossible': return respondToRun(record, response, 422, ownHeaders, '')
      case 'fails': return respondToRun(record, response, 500, ownHeaders, 'failed')
      case 'foreign': return respondToRun(record, response, 200, { ...ownHeaders, 'bulrushvalve-request-id': 'another' }, 'not yours')
      case 'unsealed': return respondToRun(record, response, 200, { 'bulrushvalve-request-id': id }, 'no seal')
      case 'short':
        response.writeHead(200, { ...ownHeaders, 'content-length': '100' })
        response.write('half', () => { request.socket.resetAndDestroy() })
        return
      case 'extra':
        respondToRun(record, response, 200, ownHeaders, `whole ${id}`)
        request.socket.write('HTTP/1.1 200 OK\r\nbulrushvalve-request-id: another\r\nbulrushvalve-response-seal: x\r\ncontent-length: 3\r\n\r\nbad')
        return
      default: break
    }
    const { ends: crash } = this.options
    if (crash?.under(record) === true) {
      await delay(crash.afterMs)
      if (record.ended !== 'open' || this.isKilled) return
      await this.kill()
      return crash.onCrash(this, record)
    }
    if (this.options.engine !== undefined) return await this.stream(record, request, response, ownHeaders, fault === 'breaks')
    await delay(this.options.responseDelayMs ?? 5)
    respondToRun(record, response, 200, ownHeaders, `${this.options.id} answers ${id}`)
  }

  private takeFault (): TargetFault {
    if (this.fault === 'none' || this.faults <= 0) return 'none'
    this.faults--
    return this.fault
  }

  /** Streams numbered events, from 0 or after the last event id. If the weight version changes, the event starts with a line that states it. */
  private async stream (record: RunRecord, request: IncomingMessage, response: ServerResponse, ownHeaders: Record<string, string>, breaks: boolean): Promise<void> {
    const model = String(request.headers['bulrushvalve-model'] ?? '')
    const lastEventId = request.headers['last-event-id']
    const count = Number(/events-(\d+)/.exec(record.path)?.[1] ?? 3)
    const firstNumber = lastEventId === undefined ? 0 : Number(lastEventId) + 1
    const label = this.options.engine?.labelsEvents === true ? ` of ${this.options.id} run ${this.runs.indexOf(record)}` : ''
    const { eventMs = 1, eventBytes } = this.options.engine ?? {}
    const padding = 'x'.repeat(eventBytes ?? 0)
    let version = this.versions.get(model) ?? 1
    const { restarts } = this
    response.writeHead(200, { ...ownHeaders, 'content-type': 'text/event-stream', 'bulrushvalve-weight-versions': String(version) })
    for (let number = firstNumber; number < count; number++) {
      if (eventBytes === undefined) await delay(eventMs)
      if (response.destroyed || restarts !== this.restarts) return
      const currentVersion = this.versions.get(model) ?? 1
      const versionLine = currentVersion === version ? '' : `bulrushvalve-weight-versions: ${currentVersion}\n`
      version = currentVersion
      const hasCapacity = response.write(`${versionLine}id: ${number}\ndata: ${record.id}-${number}${label}${padding}\n\n`)
      if (eventBytes !== undefined && !hasCapacity) await waitForDrain(response)
      if (breaks && number === firstNumber + 1) {
        response.write(`id: ${number + 1}\ndata: torn`, () => { request.socket.resetAndDestroy() })
        return
      }
    }
    record.ended = 'answered'
    response.end()
  }
}

function respond (response: ServerResponse, status: number, headers: Record<string, string>, body: string): void {
  response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) }).end(body)
}

function respondToRun (record: RunRecord, response: ServerResponse, status: number, headers: Record<string, string>, body: string): void {
  record.ended = 'answered'
  record.answer = { status, body }
  respond(response, status, headers, body)
}

async function delay (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}
