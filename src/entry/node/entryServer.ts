/**
 * HTTP server of an entry host. Limits connections, body sizes and durations, authenticates
 * requests, and answers every failure with a numbered error. Counts requests in flight, so that a
 * graceful stop knows when all have ended.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Disposable } from '../../base/common/lifecycle.ts'
import type { Result } from '../../base/common/resultCode.ts'
import { failure } from '../../base/common/resultCode.ts'
import type { Clock } from '../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../ports/common/observation.ts'
import type { Identities } from '../common/identity.ts'
import type { ClientMemory } from './clientMemory.ts'
import type { ExchangeOptions } from './exchange.ts'
import { Exchange } from './exchange.ts'
import type { ReceivedRequest } from './limitedServer.ts'
import { LimitedServer } from './limitedServer.ts'
import { RequestBodies } from './requestBody.ts'
import { parseRequestTarget } from './requestTarget.ts'
import type { Route, RouteMatch, Router } from './router.ts'

export interface EntryServerSettings extends ExchangeOptions {
  readonly listen: string
  readonly maximumConnections: number
  readonly maximumPipelinedRequests: number
  readonly unreadTimeoutMs: number
  readonly maximumRequests: number
  readonly bodyTimeoutMs: number
  readonly maximumBodyBytes: number
}

export interface EntryServerServices {
  readonly router: Router
  readonly identities: Identities
  /** Memory that clients occupy at all addresses of the host. */
  readonly memory: ClientMemory
  readonly clock: Pick<Clock, 'monotonic'>
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

const KEEP_ALIVE_TIMEOUT_MS = 30_000

export class EntryServer implements Disposable {
  private readonly server: LimitedServer
  private readonly bodies: RequestBodies
  private inFlight = 0
  private internalInFlight = 0

  constructor (private readonly services: EntryServerServices, private readonly settings: EntryServerSettings) {
    this.bodies = new RequestBodies(services)
    this.server = new LimitedServer({
      ...services,
      malformedCounter: 'requests.broken',
      receive: (request, response) => this.receive(request, response)
    }, { ...settings, headTimeoutMs: settings.bodyTimeoutMs, requestTimeoutMs: settings.bodyTimeoutMs, keepAliveTimeoutMs: KEEP_ALIVE_TIMEOUT_MS })
  }

  /** Number of requests from callers, trainers and operators in flight. */
  get requests (): number {
    return this.inFlight
  }

  async listen (): Promise<void> {
    await this.server.listen(this.settings.listen)
  }

  /** Stops accepting connections. Resolves when the last one has closed. */
  async close (): Promise<void> {
    await this.server.close()
  }

  dispose (): void {
    this.server.dispose()
  }

  private receive (request: IncomingMessage, response: ServerResponse): ReceivedRequest {
    const target = parseRequestTarget(request.url)
    const match: Result<RouteMatch> = target.ok ? this.services.router.match(request.method ?? '', target.value.path) : target
    const route = match.ok ? match.value.route : undefined
    const admitted = this.services.identities.authorize(request.headers.authorization, route?.access ?? 'anyone')
    const isRejected = !match.ok || !admitted.ok
    const body = isRejected ? undefined : this.bodies.read(request, route?.maximumBodyBytes ?? this.settings.maximumBodyBytes)
    if (isRejected) this.bodies.discard(request)
    const exchange = new Exchange(request, response, match.ok ? match.value.parameters : {}, target.ok ? target.value.query : new URLSearchParams(), admitted.ok ? admitted.value : undefined, body, this.settings)
    return { serve: async () => { await this.serve(exchange, match, admitted) }, discard: () => { body?.release() } }
  }

  private async serve (exchange: Exchange, match: Result<RouteMatch>, admitted: Result<unknown>): Promise<void> {
    if (!match.ok) return this.reject(exchange, match)
    if (!admitted.ok) return this.reject(exchange, admitted)
    const { route } = match.value
    if (route.internal !== true && this.inFlight >= this.settings.maximumRequests) {
      return this.reject(exchange, failure('tooManyConnections', `this host has ${this.inFlight} requests in flight, with a limit of ${this.settings.maximumRequests}`))
    }
    await this.handleCounted(route, exchange)
  }

  private async handleCounted (route: Route, exchange: Exchange): Promise<void> {
    const internal = route.internal === true
    if (internal) this.internalInFlight++
    else this.inFlight++
    try {
      await route.handle(exchange)
    } finally {
      if (internal) this.internalInFlight--
      else this.inFlight--
    }
  }

  private reject (exchange: Exchange, rejection: ReturnType<typeof failure>): void {
    this.services.metrics.count(`refused.${rejection.code}`)
    exchange.sendFailure(rejection)
  }
}
