/**
 * Stand-in for a model engine. It runs up to `slots` requests in a continuous batch, caches a
 * limited number of prompt prefixes, honours priorities, resumes and cancels streams, reports its
 * load with a lag, loads weight versions at the rate that the weight store allows, and optionally
 * checks fencing tokens. The text of every token contains the weight version that generated it, so
 * that a trainer can check the attribution.
 */

import type { StandIn, StandInRequest } from './httpStandIn.ts'
import { pause, sendJson, startStandIn } from './httpStandIn.ts'

export interface EngineOptions {
  readonly slots: number
  /** Duration of one batch step, in milliseconds. Each step generates one part per running request. */
  readonly stepMs: number
  readonly tokensPerStep: number
  /** Average number of tokens in an answer, before `max_tokens` of the request is applied. */
  readonly answerTokens: number
  /** Fraction of answers whose batch steps take four times as long. */
  readonly stragglers: number
  /** Prefill time of a prompt whose prefix is not cached, in milliseconds. */
  readonly prefillMs: number
  /** Capacity of the prefix cache. */
  readonly prefixes: number
  /** Age of the reported load, in milliseconds. */
  readonly reportLagMs: number
  /** Whether load orders with an outdated fencing token are rejected. */
  readonly fenced: boolean
  readonly loadMs: number
  /** Address of the weight store. Without it, loading takes only `loadMs`. */
  readonly store?: string
}

export const defaultEngine: EngineOptions = {
  slots: 8, stepMs: 10, tokensPerStep: 4, answerTokens: 40, stragglers: 0, prefillMs: 20, prefixes: 16, reportLagMs: 200, fenced: true, loadMs: 100
}

export interface EngineFaults {
  /** Closes the connection of a running stream after this many parts. */
  cutAfterParts?: number
  /** Ends a running stream after this many parts with a regular end of the response body, before the final part. */
  endAfterParts?: number
  /** Refuses completions before running them. */
  refuse?: boolean
  /** Stops answering load reports and completions, including those already streaming. */
  silent?: boolean
  /** Number of weight loads that fail. */
  failLoads?: number
  /** Reports that the engine is leaving and refuses completions. */
  leaving?: boolean
  /** Sets the weight version without a load order. */
  version?: number
}

interface CompletionRun {
  readonly id: string
  readonly at: number
  readonly priority: number
  tokens: number
  state: 'running' | 'whole' | 'cut' | 'cancelled'
}

interface CompletionBody {
  readonly id: string
  readonly prompt: string
  readonly max_tokens: number
  readonly priority: number
  readonly resume?: { readonly text: string, readonly tokens: number }
}

export class EngineStandIn {
  readonly faults: EngineFaults = {}
  /** All completions that the engine started, as ground truth for the tests. */
  readonly runs: CompletionRun[] = []
  readonly orders: { readonly version: number, readonly fence: number, readonly accepted: boolean, readonly at: number }[] = []
  /** Timestamps of refused completions. */
  readonly refusals: number[] = []
  version = 1
  private fence = 0
  private running = 0
  private busyMs = 0
  private lastLoadChangeAt = Date.now()
  readonly startedAt = Date.now()
  private readonly queue: { readonly priority: number, readonly wake: () => void }[] = []
  private readonly prefixCache = new Map<string, number>()
  private readonly loadHistory: { readonly at: number, readonly running: number, readonly queued: number }[] = []

  constructor (readonly options: EngineOptions) {}

  /** Returns the average fraction of slots in use since the start. */
  busyShare (): number {
    this.recordLoadChange(0)
    return this.busyMs / (this.options.slots * Math.max(1, Date.now() - this.startedAt))
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
      case '/v1/load': return this.sendLoadReport(response)
      case '/v1/orders': return await this.handleLoadOrder(JSON.parse(text) as { version: number, fence: number }, response)
      case '/v1/completions': return await this.handleCompletion(JSON.parse(text) as CompletionBody, request)
      default: return sendJson(response, 404, { error: 'no such path' })
    }
  }

  private sendLoadReport (response: StandInRequest['response']): void {
    if (this.faults.silent === true) return
    const reportTime = Date.now() - this.options.reportLagMs
    while (this.loadHistory.length > 1 && (this.loadHistory[1]?.at ?? Infinity) <= reportTime) this.loadHistory.shift()
    const sample = this.loadHistory[0]
    sendJson(response, 200, { weight_version: this.version, running: sample?.running ?? 0, queued: sample?.queued ?? 0, leaving: this.faults.leaving === true })
  }

  private async handleLoadOrder ({ version, fence }: { version: number, fence: number }, response: StandInRequest['response']): Promise<void> {
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
      return sendJson(response, 500, { error: 'weight load aborted by an injected fault' })
    }
    this.version = version
    sendJson(response, 200, { version })
  }

  private async handleCompletion (body: CompletionBody, { response }: StandInRequest): Promise<void> {
    if (this.faults.silent === true) return
    if (this.faults.refuse === true || this.faults.leaving === true) {
      this.refusals.push(Date.now())
      return sendJson(response, 503, { error: 'refused' }, { 'x-not-run': 'true' })
    }
    const run: CompletionRun = { id: body.id, at: Date.now(), priority: body.priority, tokens: 0, state: 'running' }
    this.runs.push(run)
    let clientDisconnected = false
    response.once('close', () => { clientDisconnected = true })
    await this.acquireSlot(body.priority)
    try {
      response.writeHead(200, { 'content-type': 'text/event-stream' })
      response.flushHeaders()
      await this.prefill(body.prompt)
      await this.generate(body, run, response, () => clientDisconnected)
    } finally {
      this.recordLoadChange(-1)
      this.queue.sort((a, b) => a.priority - b.priority).shift()?.wake()
    }
  }

  private async acquireSlot (priority: number): Promise<void> {
    if (this.running >= this.options.slots) await new Promise<void>((resolve) => { this.queue.push({ priority, wake: resolve }) })
    this.recordLoadChange(1)
  }

  private async prefill (prompt: string): Promise<void> {
    const prefix = prompt.slice(0, 64)
    const isCached = this.prefixCache.delete(prefix)
    this.prefixCache.set(prefix, Date.now())
    const oldest = this.prefixCache.keys().next().value
    if (this.prefixCache.size > this.options.prefixes && oldest !== undefined) this.prefixCache.delete(oldest)
    if (!isCached) await pause(this.options.prefillMs)
  }

  private async generate (body: CompletionBody, run: CompletionRun, response: StandInRequest['response'], isClientDisconnected: () => boolean): Promise<void> {
    const total = Math.min(body.max_tokens, answerLength(body.prompt, this.options))
    const stepMs = isStraggler(body.id, this.options) ? this.options.stepMs * 4 : this.options.stepMs
    let parts = 0
    for (let position = body.resume?.tokens ?? 0; position < total || parts === 0;) {
      await pause(stepMs)
      if (this.faults.silent === true) return
      if (isClientDisconnected()) {
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
      const tokens = Math.max(0, Math.min(this.options.tokensPerStep, total - position))
      const text = Array.from({ length: tokens }, (_, index) => `t${position + index}@${this.version} `).join('')
      position += tokens
      run.tokens += tokens
      parts++
      const finishReason = position >= total ? 'stop' : null
      response.write(`data: ${JSON.stringify({ id: body.id, choices: [{ index: 0, text, finish_reason: finishReason }], weight_version: this.version, tokens })}\n\n`)
    }
    run.state = 'whole'
    response.end('data: [DONE]\n\n')
  }

  private recordLoadChange (runningDelta: number): void {
    const now = Date.now()
    this.busyMs += Math.min(this.running, this.options.slots) * (now - this.lastLoadChangeAt)
    this.lastLoadChangeAt = now
    this.running += runningDelta
    this.loadHistory.push({ at: now, running: this.running, queued: this.queue.length })
    if (this.loadHistory.length > 10_000) this.loadHistory.splice(0, 5000)
  }
}

/** Returns the number of tokens to generate. It depends only on the prompt, so every engine gives the same length. */
function answerLength (prompt: string, { answerTokens }: EngineOptions): number {
  return Math.max(1, Math.round(answerTokens * (0.5 + (hashText(prompt) % 100) / 100)))
}

function isStraggler (id: string, { stragglers }: EngineOptions): boolean {
  return (hashText(id) % 1000) / 1000 < stragglers
}

function hashText (text: string): number {
  let value = 7
  for (const character of text) value = (value * 31 + character.charCodeAt(0)) % 1_000_003
  return value
}

/** Starts an HTTP server for an engine stand-in. */
export async function startEngine (options: Partial<EngineOptions> = {}, port = 0): Promise<StandIn & { readonly engine: EngineStandIn }> {
  const engine = new EngineStandIn({ ...defaultEngine, ...options })
  const server = await startStandIn(async (request) => { await engine.handle(request) }, port)
  return { ...server, engine }
}
