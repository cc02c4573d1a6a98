/** Calls to plain services through a lane. */

import { asPoolName } from '../../../base/common/ids.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { FoldView } from '../../../actors/common/log/controlLog.ts'
import type { ServiceCalls, ServiceRequest } from '../../../actors/common/requests/serviceCalls.ts'
import { findObject } from '../../../core/common/fold/configuration.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { ServiceAnswer } from '../../../ports/common/targets.ts'
import type { Exchange } from '../exchange.ts'
import type { RequestRegistry } from '../requestRegistry.ts'
import type { Router } from '../router.ts'

export interface ServiceRouteServices {
  readonly calls: ServiceCalls
  readonly fold: FoldView
  readonly registry: RequestRegistry
  readonly clock: Clock
  readonly chance: Chance
  readonly metrics: Metrics
}

/** Methods that may be repeated without saying so. */
const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'])
const ID_PATTERN = /^[\x21-\x7e]{1,200}$/

/** How a call may be treated, by its method and headers. */
type Repetition =
  | { readonly type: 'idempotent' }
  | { readonly type: 'once', readonly id: string, readonly issuedAt: number }
  | { readonly type: 'unnamed' }

export class ServiceRoutes {
  constructor (private readonly services: ServiceRouteServices) {}

  register (router: Router): void {
    router.register({ method: '*', path: '/v1/lanes/:lane/services/*', access: 'caller', handle: async (exchange) => { await this.call(exchange) } })
  }

  private async call (exchange: Exchange): Promise<void> {
    const started = this.services.clock.monotonic()
    const repetition = readRepetition(exchange)
    if (!repetition.ok) return exchange.sendFailure(repetition)
    const body = await exchange.text()
    if (!body.ok) return exchange.sendFailure(body)
    const request = this.prepare(exchange, body.value, started)
    if (!request.ok) return exchange.sendFailure(request)
    const registered = this.services.registry.add(exchange.callerName, request.value.id, exchange.gone)
    try {
      const outcome = await this.run({ ...request.value, signal: registered.signal }, repetition.value)
      this.answer(exchange, request.value.id, outcome)
      this.services.metrics.timing('services.time', this.services.clock.monotonic() - started)
    } finally {
      registered.dispose()
    }
  }

  private async run (request: ServiceRequest, repetition: Repetition): Promise<Result<ServiceAnswer>> {
    switch (repetition.type) {
      case 'idempotent': return await this.services.calls.run(request)
      case 'once': return await this.services.calls.runOnce({ ...request, id: repetition.id, issuedAt: repetition.issuedAt })
      case 'unnamed': return await this.services.calls.runWithoutId(request)
    }
  }

  private prepare (exchange: Exchange, body: string, started: number): Result<Omit<ServiceRequest, 'signal'>> {
    if (!this.services.fold.fresh) return failure('stale', 'this host may be behind')
    const name = exchange.parameters.lane ?? ''
    const lane = findObject(this.services.fold.state.configuration, 'lane', name)
    if (lane === undefined) return failure('notFound', `there is no lane ${name}`)
    const deadlineMs = readNumber(exchange.header('x-deadline-ms')) ?? lane.properties.deadline
    const contentType = exchange.header('content-type')
    const query = exchange.query.toString()
    return success({
      id: exchange.header('x-request-id') ?? this.services.chance.id(),
      caller: exchange.callerName,
      pool: asPoolName(lane.properties.pool),
      lane: name,
      priority: lane.properties.priority,
      callerLimit: lane.properties.callerLimit,
      method: exchange.request.method ?? 'GET',
      path: `${exchange.parameters.rest ?? '/'}${query === '' ? '' : `?${query}`}`,
      deadline: started + deadlineMs,
      ...(contentType === undefined ? {} : { contentType }),
      ...(body === '' ? {} : { body })
    })
  }

  private answer (exchange: Exchange, id: string, outcome: Result<ServiceAnswer>): void {
    if (!outcome.ok) {
      this.services.metrics.count(`services.${outcome.code}`)
      exchange.sendFailure(outcome)
      return
    }
    this.services.metrics.count('services.answered')
    exchange.send(outcome.value.status, outcome.value.contentType, outcome.value.body, { 'x-request-id': id })
  }
}

/**
 * `x-idempotent: false` with `x-request-id` and `x-issued-at` makes a call run at most once however
 * often it is repeated. Without an id it cannot be recognised when repeated: it is sent once from
 * here, and what a repeat does is the caller's matter.
 */
function readRepetition (exchange: Exchange): Result<Repetition> {
  const said = exchange.header('x-idempotent')
  if (said !== undefined && said !== 'true' && said !== 'false') return failure('malformed', 'x-idempotent is true or false')
  const id = exchange.header('x-request-id')
  if (id !== undefined && !ID_PATTERN.test(id)) return failure('malformed', 'x-request-id has 1 to 200 printable characters without spaces')
  const deadline = exchange.header('x-deadline-ms')
  if (deadline !== undefined && !((readNumber(deadline) ?? 0) > 0)) return failure('malformed', 'x-deadline-ms is a whole number of milliseconds')
  const idempotent = said === undefined ? idempotentMethods.has(exchange.request.method ?? '') : said === 'true'
  if (idempotent) return success({ type: 'idempotent' })
  if (id === undefined) return success({ type: 'unnamed' })
  const issuedAt = readNumber(exchange.header('x-issued-at'))
  if (issuedAt === undefined) return failure('malformed', 'x-issued-at, in milliseconds since the epoch, goes with the id of a call that may not be repeated')
  return success({ type: 'once', id, issuedAt })
}

function readNumber (text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : undefined
}
