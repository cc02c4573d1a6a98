/**
 * Scores finished samples by calls through the routes. Load pattern: all samples of a step finish within a second and
 * need many times the slots of a service that also serves interactive callers. The calls therefore queue here, in FIFO
 * order for each route, and leave one slot of each target free.
 */

import { decodeBase64 } from '../../../base/common/base64.ts'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { Route, RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import { itemBackoffMs } from '../../../core/common/steps/itemBackoff.ts'
import type { ScorerCall } from '../../../core/common/steps/step.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { TargetProtocol } from '../../../ports/common/protocols.ts'
import type { RouteCalls } from '../routes/routeCalls.ts'

export type ScoreOutcome =
  | { readonly type: 'scored', readonly score: string }
  /** The scorer failed as many times as the route allows attempts. */
  | { readonly type: 'gave-up' }

export interface SampleScorerServices {
  readonly calls: RouteCalls
  readonly protocol: TargetProtocol
  readonly clock: Clock
  readonly stateLog: StateLog
  readonly routes: () => RouteTable | undefined
}

interface QueuedCall {
  readonly call: ScorerCall
  readonly cancelled: AbortSignal
  failures: number
  /** Number of calls in a row without an answer. */
  unanswered: number
  readonly resolve: (outcome: ScoreOutcome) => void
}

/** Interval at which the queue is checked for calls that have a free slot. */
const QUEUE_CHECK_INTERVAL_MS = 20
/** Delay before a call without a successful response is repeated. */
const RETRY_DELAY_MS = 100
/** Delay before a call that ended with an unexpected error is repeated. */
const ERROR_RETRY_DELAY_MS = 1000
const MIN_SUCCESS_STATUS = 200
const SUCCESS_STATUS_END = 300

export class SampleScorer implements Disposable {
  private readonly queue: QueuedCall[] = []
  private timer: Disposable | undefined

  constructor (private readonly services: SampleScorerServices) {}

  /** Scores a sample. Waits without a time limit unless cancelled. */
  async score (call: ScorerCall, cancelled: AbortSignal): Promise<ScoreOutcome> {
    return await new Promise((resolve) => {
      this.queue.push({ call, cancelled, failures: 0, unanswered: 0, resolve })
      this.processQueue()
    })
  }

  dispose (): void {
    this.timer?.dispose()
  }

  private processQueue (): void {
    this.startCallsWithFreeSlots()
    this.timer?.dispose()
    this.timer = this.queue.length === 0 ? undefined : this.services.clock.after(QUEUE_CHECK_INTERVAL_MS, () => { this.processQueue() })
  }

  private startCallsWithFreeSlots (): void {
    const full = new Set<Route>()
    for (const next of this.queue.splice(0)) {
      if (next.cancelled.aborted) continue
      const route = this.services.routes()?.findRoute(next.call.host, next.call.path)
      // Calls on other routes proceed. Otherwise a single missing or full route would block the scoring of all samples.
      if (route === undefined || full.has(route) || !this.services.calls.hasBackgroundCapacity(route)) {
        if (route !== undefined) full.add(route)
        this.queue.push(next)
        continue
      }
      this.sendCall(next, route).catch((error: unknown) => {
        this.services.stateLog.alarm('call to a scorer failed', { request: next.call.requestId, error: String(error) })
        this.retryLater(next, ERROR_RETRY_DELAY_MS)
      })
    }
  }

  private async sendCall (waiting: QueuedCall, route: Route): Promise<void> {
    const { call, cancelled } = waiting
    const { calls, protocol } = this.services
    const answer = await calls.call({
      route,
      requestId: call.requestId,
      method: 'POST',
      path: call.path,
      headers: (options) => protocol.scorerHeaders(call.host, call.requestId, options),
      body: decodeBase64(call.body),
      waitMs: route.timeoutMs,
      configuration: this.services.routes()?.version ?? 0,
      background: true,
      gone: cancelled
    })
    if (cancelled.aborted) return
    if (answer.ok) {
      const { status, headers } = answer.value.answer
      const { seal } = protocol.responseHead(status, headers)
      if (status >= MIN_SUCCESS_STATUS && status < SUCCESS_STATUS_END && seal !== undefined) return waiting.resolve({ type: 'scored', score: seal })
      waiting.failures += Math.max(1, answer.value.failures)
      if (waiting.failures >= route.attempts) return waiting.resolve({ type: 'gave-up' })
    }
    waiting.unanswered = answer.ok || (answer.code !== 'unknownOutcome' && answer.code !== 'malformed') ? 0 : waiting.unanswered + 1
    this.retryLater(waiting, Math.max(RETRY_DELAY_MS, itemBackoffMs(waiting.unanswered)))
  }

  private retryLater (call: QueuedCall, delayMs: number): void {
    this.services.clock.after(delayMs, () => {
      this.queue.push(call)
      this.processQueue()
    })
  }
}
