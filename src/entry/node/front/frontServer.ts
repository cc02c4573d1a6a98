/**
 * HTTP server at the address for callers: parses each request and dispatches it. Rejects requests
 * while the host has no configuration, and closes connections after their response while it is
 * stopping. Before it reports that a route does not exist, it reads the latest configuration from
 * the store.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure } from '../../../base/common/resultCode.ts'
import { elapsedMs } from '../../../base/common/instant.ts'
import type { CallerIdentity } from '../../../core/common/identity/workspaces.ts'
import type { CallerLimits, Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import { currentInstant } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { FrontProtocol, FrontRequest } from '../../../ports/common/protocols.ts'
import type { CallerAuthenticator } from '../../../actors/common/identity/callerAuthenticator.ts'
import type { OperatorTopic } from '../../../actors/common/routes/operatorTopic.ts'
import type { ClientMemory } from '../clientMemory.ts'
import { headSizeBytes } from '../connectionMemory.ts'
import type { ReceivedRequest } from '../limitedServer.ts'
import { LimitedServer } from '../limitedServer.ts'
import { RequestBodies, hasBody } from '../requestBody.ts'
import { FrontExchange } from './frontExchange.ts'
import type { ForwardRoutes } from './forwardRoutes.ts'
import type { StepRoutes } from './stepRoutes.ts'

export interface FrontServerServices {
  readonly protocol: FrontProtocol
  readonly operator: OperatorTopic
  readonly callerAuthenticator: CallerAuthenticator
  /** Waits, up to a limit, until the host has loaded the topics that a request of this kind needs. */
  readonly whenLoaded: (need: 'routes' | 'steps', limitMs: number) => Promise<void>
  readonly forward: ForwardRoutes
  readonly steps: StepRoutes
  /** Memory that clients occupy at all addresses of the host. */
  readonly memory: ClientMemory
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export interface FrontServerSettings {
  readonly listen: string
  readonly maximumConnections: number
  readonly maximumPipelinedRequests: number
  readonly unreadTimeoutMs: number
  /** Largest request head that the server reads. The configuration may set a lower limit. */
  readonly maximumHeadBytes: number
  /** Whether the host is stopping. Connections are then closed after the response. */
  readonly isStopping: () => boolean
}

/** Limits until a configuration is loaded: the defaults of Node.js, with a shorter header timeout. */
const DEFAULT_LIMITS: CallerLimits = { headerBytes: 16_384, bodyBytes: 33_554_432, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
/** Longest time for a whole request to arrive. */
const REQUEST_TIMEOUT_MS = 30_000
/**
 * Longest time that a request waits for a starting host to load its topics. Callers keep using the address of
 * a host while it restarts, and the host listens before it knows any target. Without the wait, their requests
 * would be rejected during the 50 to 400 ms that loading takes.
 */
const MAX_LOADING_WAIT_MS = 500
/** Idle connections are closed this much later than callers stop reusing them, so that no request arrives during the close. */
const KEEP_ALIVE_MARGIN_MS = 1000

export class FrontServer implements Disposable {
  private readonly server: LimitedServer
  private readonly bodies: RequestBodies
  private readonly openExchanges = new Set<FrontExchange>()
  private hasFailedOpenRequests = false

  constructor (private readonly services: FrontServerServices, private readonly settings: FrontServerSettings) {
    this.bodies = new RequestBodies(services)
    this.server = new LimitedServer({
      ...services,
      malformedCounter: 'front.broken_requests',
      receive: (request, response) => this.receive(request, response)
    }, { ...settings, ...serverTimeouts(DEFAULT_LIMITS), requestTimeoutMs: REQUEST_TIMEOUT_MS })
    services.operator.onChange(() => { this.server.setTimeouts(serverTimeouts(this.limits)) })
  }

  /** Number of requests in flight. */
  get requests (): number {
    return this.server.openRequestCount
  }

  async listen (): Promise<void> {
    await this.server.listen(this.settings.listen)
  }

  /** Closes idle connections and stops accepting new ones. */
  closeIdle (): void {
    this.server.close().catch(() => undefined)
  }

  /** Answers the requests that have no response yet with a failure. Their work goes on until the server is disposed of. */
  failOpenRequests (): void {
    this.hasFailedOpenRequests = true
    for (const exchange of this.openExchanges) exchange.sendStopped()
  }

  dispose (): void {
    this.server.dispose()
  }

  private get limits (): CallerLimits {
    return this.services.operator.routes?.configuration.limits ?? DEFAULT_LIMITS
  }

  private receive (request: IncomingMessage, response: ServerResponse): ReceivedRequest {
    const body = hasBody(request) ? this.bodies.read(request, this.limits.bodyBytes) : undefined
    const exchange = new FrontExchange(request, response, this.services.protocol, body, (failed) => { this.reportRejection(exchange, failed) })
    return { serve: () => { this.begin(exchange) }, discard: () => { exchange.discard() } }
  }

  private begin (exchange: FrontExchange): void {
    const { response } = exchange
    this.openExchanges.add(exchange)
    response.once('close', () => { this.openExchanges.delete(exchange) })
    if (this.settings.isStopping()) response.shouldKeepAlive = false
    if (this.hasFailedOpenRequests) return exchange.sendStopped()
    this.serve(exchange).catch((error: unknown) => {
      this.services.stateLog.alarm('request failed', { path: exchange.path, error: String((error as Error).stack ?? error) })
      exchange.sendFailure(failure('unknownOutcome', 'internal error while processing the request'))
    })
  }

  /** Counts and logs a rejected request. Requests that were forwarded to a target, and steps, have log lines of their own. */
  private reportRejection (exchange: FrontExchange, { code, message }: Failure): void {
    const { clock, metrics, stateLog, operator } = this.services
    metrics.count(`front.refused.${code}`)
    stateLog.decided('call rejected', { request: this.requestId(exchange), path: exchange.path, failed: true, outcome: code, why: message, configuration: operator.routes?.version ?? 0, knownMs: Math.round(elapsedMs(operator.readAt, currentInstant(clock))), storeLost: operator.isLost })
  }

  private requestId (exchange: FrontExchange): string {
    const parsed = this.parse(exchange)
    return parsed.ok && parsed.value.type === 'routed' ? parsed.value.requestId ?? '' : ''
  }

  private parse ({ method, target, headers }: FrontExchange): Result<FrontRequest> {
    return target.ok ? this.services.protocol.request(method, target.value.path, target.value.query, headers) : target
  }

  private async serve (exchange: FrontExchange): Promise<void> {
    const parsed = this.parse(exchange)
    if (!parsed.ok) return exchange.sendFailure(parsed)
    await this.services.whenLoaded(parsed.value.type === 'routed' ? 'routes' : 'steps', MAX_LOADING_WAIT_MS)
    if (this.services.operator.routes === undefined) return exchange.sendFailure(failure('stale', 'this host has not loaded a configuration yet'))
    if (headSizeBytes(exchange.request) > this.limits.headerBytes) return exchange.sendFailure(failure('headTooLarge', `the request head exceeds the limit of ${this.limits.headerBytes} bytes`))
    if (parsed.value.type === 'routed') return await this.serveRouted(exchange, parsed.value)
    const caller = await this.admit(exchange, false)
    if (!caller.ok) return exchange.sendFailure(caller)
    await this.services.steps.serve(exchange, parsed.value, caller.value)
  }

  private async serveRouted (exchange: FrontExchange, parsedRequest: Extract<FrontRequest, { type: 'routed' }>): Promise<void> {
    const route = await this.findRoute(exchange)
    if (route === 'unknown') return exchange.sendFailure(failure('stale', 'this host may not have the latest configuration'))
    if (route === undefined) return exchange.sendFailure(failure('notFound', `no route for host ${exchange.host} and path ${exchange.path}`))
    const caller = await this.admit(exchange, route.isPublic)
    if (!caller.ok) return exchange.sendFailure(caller)
    const maxTokens = this.services.operator.routes?.maxRequestTokens(route)
    if (parsedRequest.tokens !== undefined && maxTokens !== undefined && parsedRequest.tokens > maxTokens) {
      return exchange.sendFailure(failure('exceedsMemory', `the request needs ${parsedRequest.tokens} tokens, and an engine of route ${route.name} holds ${maxTokens}`))
    }
    const body = await exchange.readBody()
    if (!body.ok) return exchange.sendFailure(body)
    const request = { parsedRequest, route, configuration: this.services.operator.routes?.version ?? 0, caller: caller.value, body: body.value, checkAccess: (current: Route) => this.recheck(exchange, current, caller.value) }
    if (route.kind === 'steps') return await this.services.steps.submit(exchange, request)
    await this.services.forward.serve(exchange, request)
  }

  private async admit (exchange: FrontExchange, isPublic: boolean): Promise<Result<CallerIdentity>> {
    return await this.services.callerAuthenticator.authenticate(this.services.protocol.presentedKey(exchange.request.rawHeaders), isPublic)
  }

  private recheck (exchange: FrontExchange, { isPublic }: Route, accepted: CallerIdentity): Failure | undefined {
    return this.services.callerAuthenticator.recheck(this.services.protocol.presentedKey(exchange.request.rawHeaders), isPublic, accepted)
  }

  /** Finds the route of a request. If there is none, reads newer configuration first, as the route may have just been added. */
  private async findRoute (exchange: FrontExchange): Promise<Route | 'unknown' | undefined> {
    const { operator } = this.services
    const route = operator.routes?.findRoute(exchange.host, exchange.path)
    if (route !== undefined) return route
    if (!await operator.catchUp()) return 'unknown'
    return operator.routes?.findRoute(exchange.host, exchange.path)
  }
}

function serverTimeouts ({ headerTimeoutMs, idleTimeoutMs }: CallerLimits): { readonly headTimeoutMs: number, readonly keepAliveTimeoutMs: number } {
  return { headTimeoutMs: headerTimeoutMs, keepAliveTimeoutMs: idleTimeoutMs + KEEP_ALIVE_MARGIN_MS }
}
