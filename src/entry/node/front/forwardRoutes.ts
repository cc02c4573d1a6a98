/** Requests that a target answers: whole answers, and streams that are passed on as they come. */

import type { RouteCalls } from '../../../actors/common/routes/routeCalls.ts'
import type { StreamCalls } from '../../../actors/common/routes/streamCalls.ts'
import type { CallerIdentity } from '../../../core/common/identity/workspaces.ts'
import { workspaceOf } from '../../../core/common/identity/workspaces.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { FrontRequest, TargetProtocol } from '../../../ports/common/protocols.ts'
import { drained } from '../backpressure.ts'
import { cutAnswer } from '../cutAnswers.ts'
import type { FrontExchange } from './frontExchange.ts'

/** A request that was read, admitted and found to have a route. */
export interface ForwardedRequest {
  readonly read: Extract<FrontRequest, { type: 'routed' }>
  readonly route: Route
  /** Version of the configuration that the route is of. */
  readonly configuration: number
  readonly caller: CallerIdentity
  readonly body: Uint8Array
}

export interface ForwardServices {
  readonly calls: RouteCalls
  readonly streams: StreamCalls
  readonly protocol: TargetProtocol
}

export class ForwardRoutes {
  constructor (private readonly services: ForwardServices) {}

  async serve (exchange: FrontExchange, { read, route, configuration, caller, body }: ForwardedRequest): Promise<void> {
    const { calls, streams, protocol } = this.services
    const call = {
      route,
      requestId: read.requestId,
      method: exchange.method,
      path: exchange.request.url ?? '/',
      headers: (options: Parameters<TargetProtocol['forwardHeaders']>[1]) => protocol.forwardHeaders(exchange.request.rawHeaders, options, caller),
      body: exchange.hasBody ? body : undefined,
      waitMs: read.deadlineMs ?? route.timeoutMs,
      configuration,
      background: false,
      caller: caller.type === 'open' ? exchange.headers['authorization'] : workspaceOf(caller),
      workspace: workspaceOf(caller),
      gone: exchange.gone
    }
    if (route.kind === 'streaming') {
      const failed = await streams.call({ ...call, resumeAfter: read.resumeAfter }, {
        writeHead: (status, headers) => { exchange.response.writeHead(status, protocol.answerHeaders(headers)) },
        write: (piece) => exchange.response.write(piece) ? undefined : drained(exchange.response),
        end: () => { exchange.response.end() },
        abort: () => { cutAnswer(exchange.response) }
      })
      if (failed !== undefined) exchange.fail(failed, true)
      return
    }
    const answered = await calls.call(call)
    if (!answered.ok) return exchange.fail(answered, true)
    const { status, headers, body: answerBody } = answered.value.answer
    exchange.send(status, protocol.answerHeaders(headers), answerBody)
  }
}
