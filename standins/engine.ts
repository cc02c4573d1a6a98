/**
 * Stand-in of a model engine: batches continuously up to its slots, caches prompt prefixes in
 * limited memory, honours priorities, resumes and cancels streams, reports its load late, loads
 * weight versions at the weight store's pace and checks the fencing number if told to. Every token
 * names the version that made it in its text, so that a trainer can check the attribution.
 */

import type { StandIn, StandInRequest } from './httpStandIn.ts'
import { pause, sendJson, startStandIn } from './httpStandIn.ts'

export interface EngineOptions {
  readonly slots: number
  /** Milliseconds for one step of the batch: one part per running request. */
  readonly stepMs: number
  readonly tokensPerStep: number
  /** Tokens of an answer, before the longest that the request allows. */
  readonly answerTokens: number
  /** Share of answers that take four times as long. */
  readonly stragglers: number
  /** Milliseconds that a prompt costs when its prefix is not cached. */
  readonly prefillMs: number
  readonly prefixes: number
  /** Age of the load report, in milliseconds. */
  readonly reportLagMs: number
  readonly fenced: boolean
  readonly loadMs: number
  /** Address of the weight store; absent where loading takes only `loadMs`. */
  readonly store?: string
}

export const defaultEngine: EngineOptions = {
  slots: 8, stepMs: 10, tokensPerStep: 4, answerTokens: 40, stragglers: 0, prefillMs: 20, prefixes: 16, reportLagMs: 200, fenced: true, loadMs: 100
}

export interface EngineFaults {
  /** Cuts running streams after so many parts. */
  cutAfterParts?: number
  /** Ends running streams in good order after so many parts, before their last. */
  endAfterParts?: number
  /** Refuses completions before running. */
  refuse?: boolean
  /** Answers nothing more, on open streams too. */
  silent?: boolean
  /** Loads fail so many times. */
  failLoads?: number
  leaving?: boolean
  /** Sets the version without an order. */
  version?: number
}

interface Run {
  readonly id: string
  readonly at: number
  readonly priority: number
  tokens: number
  state: 'running' | 'whole' | 'cut' | 'cancelled'
}

interface Body {
  readonly id: string
  readonly prompt: string
  readonly max_tokens: number
  readonly priority: number
  readonly resume?: { readonly text: string, readonly tokens: number }
}

export class EngineStandIn {
  readonly faults: EngineFaults = {}
  /** The engine's own record of what it ran. */
  readonly runs: Run[] = []
  readonly orders: { readonly version: number, readonly fence: number, readonly accepted: boolean, readonly at: number }[] = []
  /** Times at which it refused work. */
  readonly refusals: number[] = []
  version = 1
  private fence = 0
  private running = 0
  private busyMs = 0
  private lastChange = Date.now()
  readonly started = Date.now()
  private readonly queue: { readonly priority: number, readonly wake: () => void }[] = []
  private readonly cached = new Map<string, number>()
  private readonly history: { readonly at: number, readonly running: number, readonly queued: number }[] = []

  constructor (readonly options: EngineOptions) {}

  /** Share of the slots that were in use since the start. */
  busyShare (): number {
    this.note(0)
    return this.busyMs / (this.options.slots * Math.max(1, Date.now() - this.started))
  }

  async handle (request: StandInRequest): Promise<void> {
    const { path, text, response } = request
    switch (path) {
      case '/control':
        Object.assign(this.faults, JSON.parse(text) as EngineFaults)
        if (this.faults.version !== undefined) this.version = this.faults.version
        delete this.faults.version
        return sendJson(response, 200, this.faults)
      case '/records': return sendJson(response, 200, { runs: this.runs, orders: this.orders, busyShare: this.busyShare(), version: this.version })
      case '/v1/load': return this.report(response)
      case '/v1/orders': return await this.order(JSON.parse(text) as { version: number, fence: number }, response)
      case '/v1/completions': return await this.complete(JSON.parse(text) as Body, request)
      default: return sendJson(response, 404, { error: 'no such address' })
    }
  }

  private report (response: StandInRequest['response']): void {
    if (this.faults.silent === true) return
    const due = Date.now() - this.options.reportLagMs
    while (this.history.length > 1 && (this.history[1]?.at ?? Infinity) <= due) this.history.shift()
    const seen = this.history[0]
    sendJson(response, 200, { weight_version: this.version, running: seen?.running ?? 0, queued: seen?.queued ?? 0, leaving: this.faults.leaving === true })
  }

  private async order ({ version, fence }: { version: number, fence: number }, response: StandInRequest['response']): Promise<void> {
    const accepted = !this.options.fenced || fence >= this.fence
    this.orders.push({ version, fence, accepted, at: Date.now() })
    if (!accepted) return sendJson(response, 409, { error: 'fenced' })
    this.fence = Math.max(this.fence, fence)
    if (this.options.store !== undefined) {
      const weights = await fetch(`${this.options.store}/weights/${version}`)
      if (weights.status !== 200) return sendJson(response, 429, { error: 'store' })
    }
    await pause(this.options.loadMs)
    if ((this.faults.failLoads ?? 0) > 0) {
      this.faults.failLoads = (this.faults.failLoads ?? 0) - 1
      return sendJson(response, 500, { error: 'the load failed partway' })
    }
    this.version = version
    sendJson(response, 200, { version })
  }

  private async complete (body: Body, { response }: StandInRequest): Promise<void> {
    if (this.faults.silent === true) return
    if (this.faults.refuse === true || this.faults.leaving === true) {
      this.refusals.push(Date.now())
      return sendJson(response, 503, { error: 'refused' }, { 'x-not-run': 'true' })
    }
    const run: Run = { id: body.id, at: Date.now(), priority: body.priority, tokens: 0, state: 'running' }
    this.runs.push(run)
    let gone = false
    response.once('close', () => { gone = true })
    await this.slot(body.priority)
    try {
      response.writeHead(200, { 'content-type': 'text/event-stream' })
      response.flushHeaders()
      await this.prefill(body.prompt)
      await this.generate(body, run, response, () => gone)
    } finally {
      this.note(-1)
      this.queue.sort((a, b) => a.priority - b.priority).shift()?.wake()
    }
  }

  private async slot (priority: number): Promise<void> {
    if (this.running >= this.options.slots) await new Promise<void>((resolve) => { this.queue.push({ priority, wake: resolve }) })
    this.note(1)
  }

  private async prefill (prompt: string): Promise<void> {
    const prefix = prompt.slice(0, 64)
    const known = this.cached.delete(prefix)
    this.cached.set(prefix, Date.now())
    const oldest = this.cached.keys().next().value
    if (this.cached.size > this.options.prefixes && oldest !== undefined) this.cached.delete(oldest)
    if (!known) await pause(this.options.prefillMs)
  }

  private async generate (body: Body, run: Run, response: StandInRequest['response'], gone: () => boolean): Promise<void> {
    const total = Math.min(body.max_tokens, answerLength(body.prompt, this.options))
    const step = straggles(body.id, this.options) ? this.options.stepMs * 4 : this.options.stepMs
    let parts = 0
    for (let from = body.resume?.tokens ?? 0; from < total || parts === 0;) {
      await pause(step)
      if (this.faults.silent === true) return
      if (gone()) {
        run.state = 'cancelled'
        return
      }
      if (this.faults.cutAfterParts !== undefined && parts >= this.faults.cutAfterParts) {
        run.state = 'cut'
        response.destroy()
        return
      }
      if (this.faults.endAfterParts !== undefined && parts >= this.faults.endAfterParts) {
        run.state = 'cut'
        response.end()
        return
      }
      const tokens = Math.max(0, Math.min(this.options.tokensPerStep, total - from))
      const text = Array.from({ length: tokens }, (_, index) => `t${from + index}@${this.version} `).join('')
      from += tokens
      run.tokens += tokens
      parts++
      const finish = from >= total ? 'stop' : null
      response.write(`data: ${JSON.stringify({ id: body.id, choices: [{ index: 0, text, finish_reason: finish }], weight_version: this.version, tokens })}\n\n`)
    }
    run.state = 'whole'
    response.end('data: [DONE]\n\n')
  }

  private note (change: number): void {
    const now = Date.now()
    this.busyMs += Math.min(this.running, this.options.slots) * (now - this.lastChange)
    this.lastChange = now
    this.running += change
    this.history.push({ at: now, running: this.running, queued: this.queue.length })
    if (this.history.length > 10_000) this.history.splice(0, 5000)
  }
}

/** The same prompt gives an answer of the same length on every engine. */
function answerLength (prompt: string, { answerTokens }: EngineOptions): number {
  return Math.max(1, Math.round(answerTokens * (0.5 + (sum(prompt) % 100) / 100)))
}

function straggles (id: string, { stragglers }: EngineOptions): boolean {
  return (sum(id) % 1000) / 1000 < stragglers
}

function sum (text: string): number {
  let value = 7
  for (const character of text) value = (value * 31 + character.charCodeAt(0)) % 1_000_003
  return value
}

/** Starts an engine stand-in. */
export async function startEngine (options: Partial<EngineOptions> = {}, port = 0): Promise<StandIn & { readonly engine: EngineStandIn }> {
  const engine = new EngineStandIn({ ...defaultEngine, ...options })
  const server = await startStandIn(async (request) => { await engine.handle(request) }, port)
  return { ...server, engine }
}
