/** Routes for completions, as a single response or a stream, and for cancelling them. */

import { z } from 'zod'
import { asPoolName } from '../../../base/common/ids.ts'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, failureBody, success } from '../../../base/common/resultCode.ts'
import type { CompletionCall, Completions, CompletionSummary } from '../../../actors/common/requests/completions.ts'
import type { FoldView } from '../../../actors/common/log/controlLog.ts'
import { prefixHashOf } from '../../../actors/common/samples/rolloutRunner.ts'
import { findObject } from '../../../core/common/fold/configuration.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { CompletionPart } from '../../../ports/common/targets.ts'
import { waitForDrain } from '../backpressure.ts'
import type { Exchange } from '../exchange.ts'
import type { Router } from '../router.ts'
import type { RequestRegistry } from '../requestRegistry.ts'

const bodySchema = z.strictObject({
  id: z.string().min(1).max(200).optional(),
  prompt: z.string().min(1),
  max_tokens: z.number().int().positive().max(1_000_000).default(256),
  stream: z.boolean().default(false),
  deadline_ms: z.number().int().positive().max(3_600_000).optional()
})

export interface CompletionRouteServices {
  readonly completions: Completions
  readonly fold: FoldView
  readonly registry: RequestRegistry
  readonly clock: Clock
  readonly chance: RandomSource
  readonly hash: Hash
  readonly metrics: Metrics
}

export class CompletionRoutes {
  constructor (private readonly services: CompletionRouteServices, private readonly heartbeatMs: number) {}

  register (router: Router): void {
    router.register({ method: 'POST', path: '/v1/lanes/:lane/completions', access: 'caller', handle: async (exchange) => { await this.complete(exchange) } })
    router.register({ method: 'POST', path: '/v1/requests/:id/cancel', access: 'caller', handle: async (exchange) => { this.cancel(exchange) } })
  }

  private async complete (exchange: Exchange): Promise<void> {
    const startedAtMs = this.services.clock.monotonic()
    const body = await exchange.readJson(bodySchema)
    if (!body.ok) return exchange.sendFailure(body)
    const call = this.prepare(exchange, body.value, startedAtMs)
    if (!call.ok) return exchange.sendFailure(call)
    const registered = this.services.registry.register(exchange.callerName, call.value.id, exchange.disconnectSignal)
    try {
      const request = { ...call.value, signal: registered.signal }
      if (body.value.stream) await this.stream(exchange, request)
      else await this.sendWhole(exchange, request)
      this.services.metrics.timing('completions.time', this.services.clock.monotonic() - startedAtMs)
    } finally {
      registered.dispose()
    }
  }

  private prepare (exchange: Exchange, body: z.infer<typeof bodySchema>, startedAtMs: number): Result<Omit<CompletionCall, 'signal'>> {
    if (!this.services.fold.fresh) return failure('stale', 'this host may not have the latest state')
    const name = exchange.parameters.lane ?? ''
    const lane = findObject(this.services.fold.state.configuration, 'lane', name)
    if (lane === undefined) return failure('notFound', `lane ${name} does not exist`)
    return success({
      id: body.id ?? this.services.chance.id(),
      caller: exchange.callerName,
      pool: asPoolName(lane.properties.pool),
      lane: name,
      priority: lane.properties.priority,
      callerLimit: lane.properties.callerLimit,
      prompt: body.prompt,
      maximumTokens: body.max_tokens,
      deadline: startedAtMs + (body.deadline_ms ?? lane.properties.deadline),
      prefix: prefixHashOf(this.services.hash, body.prompt)
    })
  }

  private async sendWhole (exchange: Exchange, call: CompletionCall): Promise<void> {
    const outcome = await this.services.completions.run(this.withEngineRequestId(call), () => undefined)
    if (!outcome.ok) return this.reject(exchange, outcome)
    this.services.metrics.count('completions.whole')
    exchange.sendJson(200, { id: call.id, whole: true, text: outcome.value.text, tokens: outcome.value.tokens, segments: outcome.value.segments })
  }

  private async stream (exchange: Exchange, call: CompletionCall): Promise<void> {
    const writer = new StreamWriter(exchange, this.services.clock, this.heartbeatMs)
    try {
      const outcome = await this.services.completions.run(this.withEngineRequestId(call), (part) => writer.writePart(part))
      if (outcome.ok) {
        this.services.metrics.count('completions.whole')
        writer.writeComplete(call.id, outcome.value)
      } else if (writer.started) {
        this.services.metrics.count(`completions.${outcome.code}`)
        writer.writeFailure(exchange.withRetryAdvice(outcome))
      } else {
        this.reject(exchange, outcome)
      }
    } finally {
      writer.dispose()
    }
  }

  /** Assigns a unique id for the engine, as two callers may use the same id. */
  private withEngineRequestId (call: CompletionCall): CompletionCall {
    return { ...call, id: this.services.chance.id() }
  }

  private reject (exchange: Exchange, failed: Failure): void {
    this.services.metrics.count(`completions.${failed.code}`)
    exchange.sendFailure(failed)
  }

  private cancel (exchange: Exchange): void {
    const id = exchange.parameters.id ?? ''
    const cancelled = this.services.registry.cancel(exchange.callerName, id)
    if (!cancelled) return exchange.sendFailure(failure('notFound', `this host has no request ${id} of this caller in flight`))
    exchange.sendJson(200, { id, cancelled: true })
  }
}

/**
 * Writes a stream of server-sent events. The response head is sent with the first part, so that an
 * earlier failure gets an ordinary error response, or with the first heartbeat, so that a waiting
 * caller can tell that the connection is alive.
 */
class StreamWriter implements Disposable {
  private readonly heartbeat: Disposable
  private lastWriteMs: number
  started = false

  constructor (private readonly exchange: Exchange, private readonly clock: Clock, heartbeatMs: number) {
    this.lastWriteMs = clock.monotonic()
    this.heartbeat = clock.every(heartbeatMs, () => {
      if (clock.monotonic() - this.lastWriteMs >= heartbeatMs / 2) this.write(': heartbeat\n\n')
    })
  }

  writePart (part: CompletionPart): Promise<void> | undefined {
    if (this.write(`data: ${part.raw}\n\n`)) return undefined
    // The deadline of the call limits this wait.
    return waitForDrain(this.exchange.response)
  }

  /** Writes the final event, which distinguishes a complete response from a truncated one. */
  writeComplete (id: string, summary: CompletionSummary): void {
    this.write(`event: complete\ndata: ${JSON.stringify({ id, whole: true, tokens: summary.tokens, segments: summary.segments })}\n\n`)
    this.exchange.response.end()
  }

  writeFailure (failed: Failure): void {
    this.write(`event: error\ndata: ${JSON.stringify(failureBody(failed))}\n\n`)
    this.exchange.response.end()
  }

  dispose (): void {
    this.heartbeat.dispose()
  }

  private write (text: string): boolean {
    const { response } = this.exchange
    if (response.writableEnded || response.destroyed) return true
    if (!this.started) {
      this.started = true
      response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store', ...this.exchange.connectionHeader() })
    }
    this.lastWriteMs = this.clock.monotonic()
    return response.write(text)
  }
}
