/** Forwards requests to targets. Answers are either sent as a whole or streamed as they arrive. */

import type { RouteCalls } from '../../../actors/common/routes/routeCalls.ts'
import type { StreamCalls } from '../../../actors/common/routes/streamCalls.ts'
import type { Failure } from '../../../base/common/resultCode.ts'
import { failure } from '../../../base/common/resultCode.ts'
import type { CallerIdentity } from '../../../core/common/identity/workspaces.ts'
import { RecentAnswerTimes, canFinish } from '../../../core/common/routes/stopAdmission.ts'
import { workspaceOf } from '../../../core/common/identity/workspaces.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { FrontRequest, TargetProtocol } from '../../../ports/common/protocols.ts'
import { waitForDrain } from '../backpressure.ts'
import { abortResponse } from '../abortResponse.ts'
import type { FrontExchange } from './frontExchange.ts'

/** A request that has been read, authenticated and matched to a route. */
export interface ForwardedRequest {
  readonly parsedRequest: Extract<FrontRequest, { type: 'routed' }>
  readonly route: Route
  /** Version of the configuration that contains the route. */
  readonly configuration: number
  readonly caller: CallerIdentity
  readonly body: Uint8Array
  /** Checks whether the caller may still use the route, as defined by a newer configuration. */
  readonly checkAccess: (route: Route) => Failure | undefined
}

export interface ForwardRouteServices {
  readonly calls: RouteCalls
  readonly streams: StreamCalls
  readonly protocol: TargetProtocol
  readonly clock: Pick<Clock, 'monotonic'>
  /** Time until this host ends its requests, in milliseconds; infinite unless it is stopping. */
  readonly remainingMs: () => number
}

export class ForwardRoutes {
  private readonly answerTimes = new RecentAnswerTimes()

  constructor (private readonly services: ForwardRouteServices) {}

  async serve (exchange: FrontExchange, { parsedRequest, route, configuration, caller, body, checkAccess }: ForwardedRequest): Promise<void> {
    const { calls, streams, protocol, clock } = this.services
    const startedAt = clock.monotonic()
    const remainingMs = this.services.remainingMs()
    const waitMs = parsedRequest.deadlineMs ?? route.timeoutMs
    const allowedMs = Math.min(waitMs, route.timeoutMs)
    if (!canFinish({ remainingMs, allowedMs, expectedMs: this.expectedMs(route, allowedMs) })) {
      return exchange.sendFailure(failure('leaving', 'this host stops before it could finish the request', { retryAfterMs: 0 }))
    }
    exchange.markDispatched()
    const call = {
      route,
      requestId: parsedRequest.requestId,
      method: exchange.method,
      path: exchange.target.ok ? exchange.target.value.pathAndQuery : exchange.path,
      headers: (options: Parameters<TargetProtocol['forwardHeaders']>[1]) => protocol.forwardHeaders(exchange.request.rawHeaders, options, caller),
      body: exchange.hasBody ? body : undefined,
      waitMs: Math.min(waitMs, remainingMs),
      configuration,
      background: false,
      caller: caller.type === 'open' ? exchange.headers['authorization'] : workspaceOf(caller),
      workspace: workspaceOf(caller),
      workspacePriority: caller.type === 'workspace' ? caller.priority : undefined,
      checkAccess,
      gone: exchange.disconnectSignal
    }
    if (route.kind === 'streaming') {
      const failed = await streams.call({ ...call, resumeAfter: parsedRequest.resumeAfter }, {
        writeHead: (status, headers) => { exchange.response.writeHead(status, protocol.responseHeaders(headers)) },
        write: (piece) => exchange.response.write(piece) ? undefined : waitForDrain(exchange.response),
        end: () => { exchange.response.end() },
        abort: () => { abortResponse(exchange.response) }
      })
      if (failed !== undefined) exchange.sendFailure(failed, true)
      return
    }
    const answered = await calls.call(call)
    if (!answered.ok) return exchange.sendFailure(answered, true)
    this.answerTimes.record(route.name, clock.monotonic() - startedAt)
    const { status, headers, body: answerBody } = answered.value.answer
    exchange.send(status, protocol.responseHeaders(headers), answerBody)
  }

  /** Returns how long a request is expected to take at most. Neither the objective of a stream nor earlier streams tell its length. */
  private expectedMs (route: Route, allowedMs: number): number {
    return route.kind === 'streaming' ? allowedMs : this.answerTimes.slowestMs(route.name) ?? route.objectiveMs
  }
}
