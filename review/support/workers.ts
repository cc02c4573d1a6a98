/** Workers that behave as the pages say: plain services that answer after their work, and engines that stream and change their weights. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { StoreStandIn } from '../../test/platform/support/storeStandIn.ts'
import type { Record } from './record.ts'
import { pause } from './record.ts'

const HEARTBEAT_MS = 1200
/** How old the values of a report are. */
const REPORT_LAG_MS = 100
/** Requests that wait beside those that run. */
const QUEUE = 24
/** How late a timer usually is. */
const TIMER_MS = 1

export interface WorkerOptions {
  readonly id: string
  readonly service: string
  readonly zone: string
  readonly slots: number
}

/** One run of a request at a worker. */
export interface Run {
  readonly id: string
  readonly worker: string
  readonly path: string
  readonly startedAt: number
  ended: 'open' | 'answered' | 'dropped'
}

interface EngineState {
  readonly at: number
  readonly version: number
  readonly busy: boolean
  readonly accepted: number
}

export abstract class Worker {
  readonly runs: Run[] = []
  readonly born = Date.now()
  address = ''
  protected running = 0
  private waiting: (() => void)[] = []
  private server: Server | undefined
  private timer: NodeJS.Timeout | undefined
  private beats = 0

  constructor (readonly options: WorkerOptions, protected readonly store: StoreStandIn, protected readonly record: Record) {}

  async start (): Promise<this> {
    const server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => { this.receive(request, response).catch(() => { response.destroy() }) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    this.server = server
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    this.beat()
    this.timer = setInterval(() => { this.beat() }, HEARTBEAT_MS)
    return this
  }

  async stop (): Promise<void> {
    clearInterval(this.timer)
    this.server?.closeAllConnections()
    await new Promise<void>((resolve) => { this.server === undefined ? resolve() : this.server.close(() => { resolve() }) })
  }

  protected extraEntry (): object {
    return {}
  }

  protected beat (): void {
    const { id, service, zone, slots } = this.options
    this.store.put('keyed.servers', id, { service, addr: this.address, zone, version: 'v1', slots, state: 'ready', cold_left_ms: 0, seq: this.beats++, born: this.born, ...this.extraEntry() })
  }

  protected control (_request: IncomingMessage, _response: ServerResponse, _body: string): boolean {
    return false
  }

  protected refuses (_request: IncomingMessage): boolean {
    return false
  }

  protected abstract work (run: Run, request: IncomingMessage, response: ServerResponse, headers: { readonly [name: string]: string }): Promise<void>

  private async receive (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request as AsyncIterable<Buffer>) chunks.push(chunk)
    const expected = request.headers['bulrushvalve-expect-instance']
    const id = request.headers['bulrushvalve-request-id']
    if (request.url === '/health') return answer(response, 200, { 'bulrushvalve-instance-id': this.options.id }, '')
    if (expected !== undefined && expected !== this.options.id) return answer(response, 421, { 'bulrushvalve-not-run': '1' }, '')
    if (this.control(request, response, Buffer.concat(chunks).toString('utf8'))) return
    if (typeof id !== 'string') return answer(response, 400, { 'bulrushvalve-not-run': '1' }, '')
    const refusal = { 'bulrushvalve-request-id': id, 'bulrushvalve-not-run': '1', 'bulrushvalve-server-load': this.load }
    if (this.refuses(request) || this.running >= this.options.slots + QUEUE) return answer(response, 503, refusal, '')
    if (this.running >= this.options.slots) await new Promise<void>((resolve) => { this.waiting.push(resolve) })
    if (response.destroyed) return this.waiting.shift()?.()
    this.running++
    const run: Run = { id, worker: this.options.id, path: request.url ?? '', startedAt: Date.now(), ended: 'open' }
    this.runs.push(run)
    this.record.write(`${this.options.id} begins ${id}${request.headers['last-event-id'] === undefined ? '' : ` after event ${String(request.headers['last-event-id'])}`}`)
    response.once('close', () => {
      if (run.ended === 'open') run.ended = 'dropped'
      this.record.write(`${this.options.id} ends ${id}: ${run.ended}`)
    })
    try {
      await this.work(run, request, response, { 'bulrushvalve-request-id': id, 'bulrushvalve-response-seal': `seal-${this.options.id}-${this.runs.length}`, 'bulrushvalve-server-load': this.load })
    } finally {
      this.running--
      this.waiting.shift()?.()
    }
  }

  private get load (): string {
    return `${this.running},${this.waiting.length},${this.options.slots}`
  }
}

export class PlainWorker extends Worker {
  /** @param workMs returns how long the work of a request takes */
  constructor (options: WorkerOptions, store: StoreStandIn, record: Record, private readonly workMs: (path: string) => number) {
    super(options, store, record)
  }

  protected async work (run: Run, _request: IncomingMessage, response: ServerResponse, headers: { readonly [name: string]: string }): Promise<void> {
    await pause(this.workMs(run.path))
    if (response.destroyed) return
    run.ended = 'answered'
    answer(response, 200, headers, `answer to ${run.id}`)
  }
}

export interface EnginePlan {
  readonly model: string
  readonly eventMs: number
  readonly loadMs: number
  /** Returns the number of events of an item. */
  readonly events: (id: string) => number
}

export class EngineWorker extends Worker {
  /** The version under which each event was made, by its text. */
  readonly made = new Map<string, number>()
  private readonly progress = new Map<Run, number>()
  readonly orders: { readonly at: number, readonly version: number, readonly holder: string, readonly fence: number, readonly status: number }[] = []
  private states: EngineState[] = [{ at: 0, version: 1, busy: false, accepted: 0 }]

  constructor (options: WorkerOptions, store: StoreStandIn, record: Record, private readonly plan: EnginePlan) {
    super(options, store, record)
  }

  /** The runs that go on, and when each makes its last event. */
  get openRuns (): { readonly run: Run, readonly lastEventAt: number }[] {
    return [...this.progress].filter(([{ ended }]) => ended === 'open').map(([run, lastEventAt]) => ({ run, lastEventAt }))
  }

  get version (): number {
    return this.state.version
  }

  private get state (): EngineState {
    return this.states.at(-1) as EngineState
  }

  private enter (change: Partial<EngineState>): void {
    this.states = [...this.states.slice(-20), { ...this.state, ...change, at: Date.now() }]
  }

  private get reported (): EngineState {
    const until = Date.now() - REPORT_LAG_MS
    return this.states.findLast(({ at }) => at <= until) ?? this.states[0] as EngineState
  }

  protected override extraEntry (): object {
    return { stage: 'both', models: [{ name: this.plan.model, version: this.state.version, adapters: [] }] }
  }

  protected override refuses (request: IncomingMessage): boolean {
    return this.state.busy && request.headers['bulrushvalve-model'] === this.plan.model
  }

  protected override control (request: IncomingMessage, response: ServerResponse, body: string): boolean {
    if (request.url === '/report') {
      const { version, busy, accepted } = this.reported
      answer(response, 200, { 'content-type': 'application/json' }, JSON.stringify({ stage: 'both', models: [{ name: this.plan.model, version, adapters: [] }], busy, seq: accepted, waiting: 0, running: this.running, kv_used: 0, kv_total: 45164, handles: 0, born: this.born }))
      return true
    }
    if (request.url !== '/order') return false
    this.order(response, JSON.parse(body) as { model: string, version: number, holder: string, fence: number, precondition?: number })
    return true
  }

  private order (response: ServerResponse, { version, holder, fence, precondition }: { version: number, holder: string, fence: number, precondition?: number }): void {
    const { busy, accepted, version: present } = this.state
    const status = busy || (precondition !== undefined && precondition !== accepted) ? 409 : version === present ? 200 : 202
    this.orders.push({ at: Date.now(), version, holder, fence, status })
    this.record.write(`${this.options.id} is ordered to version ${version} by ${holder}, fence ${fence}: ${status}`)
    if (status === 202) {
      this.enter({ busy: true, accepted: accepted + 1 })
      setTimeout(() => {
        this.enter({ busy: false, version })
        this.record.write(`${this.options.id} has version ${version}`)
        this.beat()
      }, this.plan.loadMs)
    }
    answer(response, status, {}, '')
  }

  protected async work (run: Run, request: IncomingMessage, response: ServerResponse, headers: { readonly [name: string]: string }): Promise<void> {
    const after = request.headers['last-event-id']
    let version = this.version
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream', 'bulrushvalve-weight-versions': String(version) })
    response.flushHeaders()
    for (let number = after === undefined ? 1 : Number(after) + 1; number <= this.plan.events(run.id); number++) {
      this.progress.set(run, Date.now() + (this.plan.events(run.id) - number + 1) * (this.plan.eventMs + TIMER_MS))
      await pause(this.plan.eventMs)
      if (response.destroyed) return
      const line = this.version === version ? '' : `bulrushvalve-weight-versions: ${this.version}\n`
      version = this.version
      const text = `${run.id} event ${number}, run ${this.runs.indexOf(run)} at ${this.options.id}`
      this.made.set(text, version)
      response.write(`${line}id: ${number}\ndata: ${text}\n\n`)
    }
    run.ended = 'answered'
    response.end()
  }
}

function answer (response: ServerResponse, status: number, headers: { readonly [name: string]: string }, body: string): void {
  response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) }).end(body)
}
