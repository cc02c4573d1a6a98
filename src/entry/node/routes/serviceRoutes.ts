/** Routes for calls to HTTP services through a lane. */

import { asPoolName } from '../../../base/common/ids.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { FoldView } from '../../../actors/common/log/controlLog.ts'
import type { ServiceCalls, ServiceRequest } from '../../../actors/common/requests/serviceCalls.ts'
import { findObject } from '../../../core/common/fold/configuration.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { ServiceResponse } from '../../../ports/common/targets.ts'
import type { Exchange } from '../exchange.ts'
import type { RequestRegistry } from '../requestRegistry.ts'
import type { Router } from '../router.ts'

export interface ServiceRouteServices {
  readonly calls: ServiceCalls
  readonly fold: FoldView
  readonly registry: RequestRegistry
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
}

/** Methods that are idempotent unless the `x-idempotent` header says otherwise. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS'])
const REQUEST_ID_PATTERN = /^[\x21-\x7e]{1,200}$/

/** Whether and how a call may be repeated, according to its method and headers. */
type RepeatPolicy =
  | { readonly type: 'idempotent' }
  | { readonly type: 'once', readonly id: string, readonly issuedAt: number }
  | { readonly type: 'unnamed' }

export class ServiceRoutes {
  constructor (private readonly services: ServiceRouteServices) {}

  register (router: Router): void {
    router.register({ method: '*', path: '/v1/lanes/:lane/services/*', access: 'caller', handle: async (exchange) => { await this.call(exchange) } })
  }

  private async call (exchange: Exchange): Promise<void> {
    const startedAtMs = this.services.clock.monotonic()
    const repeatPolicy = readRepeatPolicy(exchange)
    if (!repeatPolicy.ok) return exchange.sendFailure(repeatPolicy)
    const body = await exchange.readText()
    if (!body.ok) return exchange.sendFailure(body)
    const request = this.prepare(exchange, body.value, startedAtMs)
    if (!request.ok) return exchange.sendFailure(request)
    const registered = this.services.registry.register(exchange.callerName, request.value.id, exchange.disconnectSignal)
    try {
      const outcome = await this.run({ ...request.value, signal: registered.signal }, repeatPolicy.value)
      this.sendOutcome(exchange, request.value.id, outcome)
      this.services.metrics.timing('services.time', this.services.clock.monotonic() - startedAtMs)
    } finally {
      registered.dispose()
    }
  }

  private async run (request: ServiceRequest, repeatPolicy: RepeatPolicy): Promise<Result<ServiceResponse>> {
    switch (repeatPolicy.type) {
      case 'idempotent': return await this.services.calls.run(request)
      case 'once': return await this.services.calls.runOnce({ ...request, id: repeatPolicy.id, issuedAt: repeatPolicy.issuedAt })
      case 'unnamed': return await this.services.calls.runWithoutId(request)
    }
  }

  private prepare (exchange: Exchange, body: string, startedAtMs: number): Result<Omit<ServiceRequest, 'signal'>> {
    if (!this.services.fold.fresh) return failure('stale', 'this host may not have the latest state')
    const name = exchange.parameters.lane ?? ''
    const lane = findObject(this.services.fold.state.configuration, 'lane', name)
    if (lane === undefined) return failure('notFound', `lane ${name} does not exist`)
    const deadlineMs = parseInteger(exchange.header('x-deadline-ms')) ?? lane.properties.deadline
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
      deadline: startedAtMs + deadlineMs,
      ...(contentType === undefined ? {} : { contentType }),
      ...(body === '' ? {} : { body })
    })
  }

  private sendOutcome (exchange: Exchange, id: string, outcome: Result<ServiceResponse>): void {
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
 * Reads how a call may be repeated. `x-idempotent: false` with `x-request-id` and `x-issued-at` makes
 * a call run at most once, even if it is repeated. Without an id, a repeated call cannot be recognized:
 * this host sends each call once, and the caller is responsible for the effect of repeats.
 */
function readRepeatPolicy (exchange: Exchange): Result<RepeatPolicy> {
  const idempotentHeader = exchange.header('x-idempotent')
  if (idempotentHeader !== undefined && idempotentHeader !== 'true' && idempotentHeader !== 'false') return failure('malformed', 'x-idempotent must be true or false')
  const id = exchange.header('x-request-id')
  if (id !== undefined && !REQUEST_ID_PATTERN.test(id)) return failure('malformed', 'x-request-id must be 1 to 200 printable ASCII characters without spaces')
  const deadline = exchange.header('x-deadline-ms')
  if (deadline !== undefined && !((parseInteger(deadline) ?? 0) > 0)) return failure('malformed', 'x-deadline-ms must be a positive integer number of milliseconds')
  const idempotent = idempotentHeader === undefined ? IDEMPOTENT_METHODS.has(exchange.request.method ?? '') : idempotentHeader === 'true'
  if (idempotent) return success({ type: 'idempotent' })
  if (id === undefined) return success({ type: 'unnamed' })
  const issuedAt = parseInteger(exchange.header('x-issued-at'))
  if (issuedAt === undefined) return failure('malformed', 'a call with x-request-id that is not idempotent needs x-issued-at, in milliseconds since the epoch')
  return success({ type: 'once', id, issuedAt })
}

function parseInteger (text: string | undefined): number | undefined {
  return text !== undefined && /^\d{1,15}$/.test(text) ? Number(text) : undefined
}
