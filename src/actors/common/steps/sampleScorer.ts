/**
 * Has finished samples scored by calls through the routes. Load pattern: all samples of a step end
 * within a second and want many times the slots of a service that also serves callers who wait. So
 * the calls queue here, first come first served on each route, and leave a slot of each target free.
 */

import { decodeBase64 } from '../../../base/common/base64.ts'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { Route, RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { ScorerCall } from '../../../core/common/steps/step.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { TargetProtocol } from '../../../ports/common/protocols.ts'
import type { RouteCalls } from '../routes/routeCalls.ts'

export type ScoreOutcome =
  | { readonly type: 'scored', readonly score: string }
  /** The scorer failed as often as the route allows. */
  | { readonly type: 'gave-up' }

export interface SampleScorerServices {
  readonly calls: RouteCalls
  readonly protocol: TargetProtocol
  readonly clock: Clock
  readonly stateLog: StateLog
  readonly routes: () => RouteTable | undefined
}

interface WaitingCall {
  readonly call: ScorerCall
  readonly cancelled: AbortSignal
  failures: number
  readonly settle: (outcome: ScoreOutcome) => void
}

/** Time between two looks for free slots, in milliseconds. */
const LOOK_MS = 20
/** Pause before a call that got no answer is repeated, in milliseconds. */
const PAUSE_MS = 100
/** Longest pause before a call that is held back asks again, in milliseconds. */
const HELD_PAUSE_MS = 1000
const FIRST_SUCCESS = 200
const AFTER_SUCCESS = 300

export class SampleScorer implements Disposable {
  private readonly queue: WaitingCall[] = []
  private timer: Disposable | undefined

  constructor (private readonly services: SampleScorerServices) {}

  /** Scores a sample; waits as long as it takes, unless cancelled. */
  async score (call: ScorerCall, cancelled: AbortSignal): Promise<ScoreOutcome> {
    return await new Promise((resolve) => {
      this.queue.push({ call, cancelled, failures: 0, settle: resolve })
      this.startCalls()
    })
  }

  dispose (): void {
    this.timer?.dispose()
  }

  private startCalls (): void {
    this.startWhatFits()
    this.timer?.dispose()
    this.timer = this.queue.length === 0 ? undefined : this.services.clock.after(LOOK_MS, () => { this.startCalls() })
  }

  private startWhatFits (): void {
    const full = new Set<Route>()
    for (const next of this.queue.splice(0)) {
      if (next.cancelled.aborted) continue
      const route = this.services.routes()?.findRoute(next.call.host, next.call.path)
      // Calls of other routes go on: one route that is missing or full would otherwise keep all samples unscored.
      if (route === undefined || full.has(route) || !this.services.calls.hasRoom(route)) {
        if (route !== undefined) full.add(route)
        this.queue.push(next)
        continue
      }
      this.ask(next, route).catch((error: unknown) => { this.services.stateLog.alarm('call to a scorer failed', { request: next.call.requestId, error: String(error) }) })
    }
  }

  private async ask (waiting: WaitingCall, route: Route): Promise<void> {
    const { call, cancelled } = waiting
    const { calls, protocol, clock } = this.services
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
      const { seal } = protocol.answerHead(status, headers)
      if (status >= FIRST_SUCCESS && status < AFTER_SUCCESS && seal !== undefined) return waiting.settle({ type: 'scored', score: seal })
      waiting.failures += Math.max(1, answer.value.failures)
      if (waiting.failures >= route.attempts) return waiting.settle({ type: 'gave-up' })
    }
    const heldMs = answer.ok || answer.code !== 'requestHeld' ? 0 : Math.min(answer.retryAfterMs ?? 0, HELD_PAUSE_MS)
    clock.after(Math.max(PAUSE_MS, heldMs), () => {
      this.queue.push(waiting)
      this.startCalls()
    })
  }
}
