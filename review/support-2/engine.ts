/**
 * Stand-in for a model worker of the platform with a fixed number of slots and a fixed memory for tokens. A request that is larger
 * than its memory is rejected as if the worker were full, as the platform's page says. It registers itself in the store, streams
 * numbered events, resumes after `Last-Event-Id` and drops a request when its channel closes.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { StoreStandIn } from '../../test/platform/support/storeStandIn.ts'

export interface EngineOptions {
  readonly id: string
  readonly service: string
  readonly zone: string
  readonly slots: number
  readonly model: string
  readonly memoryTokens: number
  /** Time between two events, in milliseconds. */
  readonly eventMs: number
  /** Size of the data of each event, in bytes. */
  readonly eventBytes?: number
}

/** An order to load a version of the weights, as it arrived. */
export interface EngineOrder {
  readonly engine: string
  readonly holder: string
  readonly fence: number
  readonly version: number
  readonly at: number
  /** Status of the answer; `undefined` if it got none. */
  readonly status: number | undefined
}

interface OrderBody {
  readonly holder: string
  readonly fence: number
  readonly version: number
  readonly precondition?: number
}

/** Time that a change of the weights takes, in milliseconds. */
const LOAD_MS = 900
/** Time after which an order that gets no answer is carried out, in milliseconds; the platform's page names 2 to 12 s. */
const LATE_ORDER_MS = 4000

export interface EngineRun {
  readonly id: string
  readonly beganAt: number
  endedAt: number | undefined
  isComplete: boolean
}

export class EngineStandIn {
  readonly runs: EngineRun[] = []
  /** Number of requests rejected as too large for the memory, by request id. */
  readonly rejected = new Map<string, number>()
  readonly orders: EngineOrder[] = []
  /** Decides whether an order gets no answer and is carried out late. */
  losesOrder: (order: OrderBody) => boolean = () => false
  private version = 1
  private acceptedOrders = 0
  private isBusy = false
  private server: Server | undefined
  private readonly waiting: (() => void)[] = []
  private running = 0

  constructor (readonly options: EngineOptions, private readonly store: StoreStandIn) {}

  async start (): Promise<this> {
    const server = createServer((request, response) => { this.receive(request, response).catch(() => { response.destroy() }) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    this.server = server
    this.register()
    return this
  }

  private register (): void {
    const { id, service, zone, slots, model } = this.options
    this.store.put('keyed.servers', id, { service, addr: `127.0.0.1:${(this.server?.address() as AddressInfo).port}`, zone, version: 'v1', slots, state: 'ready', cold_left_ms: 0, seq: 1, stage: 'both', models: [{ name: model, version: this.version, adapters: [] }] })
  }

  async kill (): Promise<void> {
    this.server?.closeAllConnections()
    await new Promise<void>((resolve) => { this.server === undefined ? resolve() : this.server.close(() => { resolve() }) })
  }

  private async receive (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readAll(request)
    const { id, model, memoryTokens, slots } = this.options
    const requestId = String(request.headers['bulrushvalve-request-id'])
    const expected = request.headers['bulrushvalve-expect-instance']
    if (expected !== undefined && expected !== id) return reply(response, 421, {}, '')
    if (request.url === '/report') return reply(response, 200, { 'content-type': 'application/json' }, JSON.stringify({ stage: 'both', models: [{ name: model, version: this.version, adapters: [] }], busy: this.isBusy, seq: this.acceptedOrders, waiting: this.waiting.length, running: this.running, kv_used: 0, kv_total: memoryTokens, handles: 0 }))
    if (request.url === '/order') return this.receiveOrder(response, JSON.parse(body) as OrderBody)
    const size = String(request.headers['bulrushvalve-token-usage'] ?? '').split(',').reduce((sum, value) => sum + Number(value), 0)
    if (size > memoryTokens) {
      this.rejected.set(requestId, (this.rejected.get(requestId) ?? 0) + 1)
      return reply(response, 503, { 'bulrushvalve-not-run': '1', 'bulrushvalve-request-id': requestId }, '')
    }
    if (this.running >= slots) await new Promise<void>((resolve) => { this.waiting.push(resolve) })
    if (response.destroyed) return this.waiting.shift()?.()
    this.running++
    try {
      await this.stream(requestId, request, response)
    } finally {
      this.running--
      this.waiting.shift()?.()
    }
  }

  private receiveOrder (response: ServerResponse, order: OrderBody): void {
    const { holder, fence, version } = order
    const isLost = this.losesOrder(order)
    const status = isLost ? undefined : this.carryOut(order)
    this.orders.push({ engine: this.options.id, holder, fence, version, at: Date.now(), status })
    if (status !== undefined) return reply(response, status, {}, '')
    setTimeout(() => { this.carryOut(order) }, LATE_ORDER_MS).unref()
  }

  /** Carries out an order if its precondition holds, and returns the status of the answer. */
  private carryOut ({ version, precondition }: OrderBody): number {
    if (version === this.version) return 200
    if (this.isBusy || (precondition !== undefined && precondition !== this.acceptedOrders)) return 409
    this.acceptedOrders++
    this.isBusy = true
    setTimeout(() => {
      this.isBusy = false
      this.version = version
      this.register()
    }, LOAD_MS).unref()
    return 202
  }

  private async stream (id: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { eventMs, eventBytes = 8, slots } = this.options
    const run: EngineRun = { id, beganAt: Date.now(), endedAt: undefined, isComplete: false }
    this.runs.push(run)
    const lastEventId = request.headers['last-event-id']
    const count = Number(/events-(\d+)/.exec(request.url ?? '')?.[1] ?? 5)
    response.writeHead(200, { 'content-type': 'text/event-stream', 'bulrushvalve-request-id': id, 'bulrushvalve-response-seal': `seal-of-${id}`, 'bulrushvalve-weight-versions': String(this.version), 'bulrushvalve-server-load': `${this.running},${this.waiting.length},${slots}` })
    for (let number = lastEventId === undefined ? 0 : Number(lastEventId) + 1; number < count && !response.destroyed; number++) {
      await new Promise((resolve) => setTimeout(resolve, eventMs))
      response.write(`id: ${number}\ndata: ${`${id}-${number} `.padEnd(eventBytes, 'x')}\n\n`)
    }
    run.isComplete = !response.destroyed
    run.endedAt = Date.now()
    response.end()
  }
}

async function readAll (request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
  return Buffer.concat(chunks).toString('utf8')
}

function reply (response: ServerResponse, status: number, headers: Record<string, string>, body: string): void {
  response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) }).end(body)
}
