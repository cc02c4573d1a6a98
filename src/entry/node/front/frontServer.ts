/**
 * The server at the callers' address: finds what a request is, and has it answered. A host that
 * knows no configuration yet, or is about to exit, says so; a route that it does not know it looks
 * up in the store once more before it says that there is none.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { Socket } from 'node:net'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, failureBody } from '../../../base/common/resultCode.ts'
import { elapsedMs } from '../../../base/common/instant.ts'
import type { CallerIdentity } from '../../../core/common/identity/workspaces.ts'
import type { CallerLimits, Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import { nowOf } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { FrontProtocol, FrontRequest } from '../../../ports/common/protocols.ts'
import type { CallerAuthenticator } from '../../../actors/common/identity/callerAuthenticator.ts'
import type { OperatorTopic } from '../../../actors/common/routes/operatorTopic.ts'
import { OpenAnswers } from '../cutAnswers.ts'
import { listenAt } from '../listenAt.ts'
import { ByteBudget, FrontExchange } from './frontExchange.ts'
import type { ForwardRoutes } from './forwardRoutes.ts'
import type { StepRoutes } from './stepRoutes.ts'

export interface FrontServerServices {
  readonly protocol: FrontProtocol
  readonly operator: OperatorTopic
  readonly gate: CallerAuthenticator
  /** Waits, for a limited time, until the host has read what a request of this kind needs. */
  readonly whenLoaded: (need: 'routes' | 'steps', limitMs: number) => Promise<void>
  readonly forward: ForwardRoutes
  readonly steps: StepRoutes
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export interface FrontServerSettings {
  readonly listen: string
  readonly maximumConnections: number
  /** Bytes of a head that the server takes at most; the configuration may allow less. */
  readonly headBytes: number
  /** Bytes of bodies that are held at once, at most. */
  readonly heldBytes: number
  /** Whether the host is about to exit: connections are not kept then. */
  readonly isLeaving: () => boolean
}

/** Limits until a configuration says otherwise; those of Node's own defaults, but a shorter head timeout. */
const FIRST_LIMITS: CallerLimits = { headerBytes: 16_384, bodyBytes: 33_554_432, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
/** Longest time for a whole request to arrive, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000
/**
 * How long a request waits for a host that is starting to read its topics, in milliseconds. Callers
 * still know a host's address while it restarts, and it listens before it knows any target; without the
 * wait each of them is rejected in the 50 to 400 ms that the reading takes.
 */
const LOADING_MS = 500
/** Time between two checks of connections for their timeouts, in milliseconds. */
const CHECK_MS = 1000
/** A kept connection is closed this much later than callers stop to use it, in milliseconds: a request must not cross the close. */
const IDLE_SLACK_MS = 1000

export class FrontServer implements Disposable {
  private readonly server: Server
  private readonly budget: ByteBudget
  private readonly openAnswers: OpenAnswers

  constructor (private readonly services: FrontServerServices, private readonly settings: FrontServerSettings) {
    this.budget = new ByteBudget(settings.heldBytes)
    this.server = createServer({
      headersTimeout: FIRST_LIMITS.headerTimeoutMs,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: CHECK_MS,
      keepAliveTimeout: FIRST_LIMITS.idleTimeoutMs + IDLE_SLACK_MS,
      maxHeaderSize: settings.headBytes
    }, (request, response) => { this.receive(request, response) })
    this.openAnswers = new OpenAnswers(this.server)
    this.server.maxConnections = settings.maximumConnections
    this.server.on('clientError', (error, socket) => { this.rejectBroken(error, socket as Socket) })
    services.operator.onChange(() => { this.takeLimits() })
  }

  /** Requests in flight. */
  get requests (): number {
    return this.openAnswers.count
  }

  async listen (): Promise<void> {
    await listenAt(this.server, this.settings.listen)
  }

  /** Closes connections on which nothing is in flight, and takes no more. */
  closeIdle (): void {
    this.server.close()
    this.server.closeIdleConnections()
  }

  dispose (): void {
    this.server.close()
    this.openAnswers.cut()
    this.server.closeAllConnections()
  }

  private get limits (): CallerLimits {
    return this.services.operator.routes?.configuration.limits ?? FIRST_LIMITS
  }

  private takeLimits (): void {
    this.server.keepAliveTimeout = this.limits.idleTimeoutMs + IDLE_SLACK_MS
    this.server.headersTimeout = this.limits.headerTimeoutMs
  }

  private receive (request: IncomingMessage, response: ServerResponse): void {
    const exchange = new FrontExchange(request, response, this.services.protocol, (failed) => { this.tellRejected(exchange, failed) })
    if (this.settings.isLeaving()) response.shouldKeepAlive = false
    this.serve(exchange).catch((error: unknown) => {
      this.services.stateLog.alarm('request failed', { path: exchange.path, error: String((error as Error).stack ?? error) })
      exchange.fail(failure('unknownOutcome', 'the host failed'))
    })
  }

  /** What was sent to a target or is a step's matter has a line of its own. */
  private tellRejected (exchange: FrontExchange, { code, message }: Failure): void {
    const { clock, metrics, stateLog, operator } = this.services
    metrics.count(`front.refused.${code}`)
    stateLog.decided('call rejected', { request: this.requestId(exchange), path: exchange.path, failed: true, outcome: code, why: message, configuration: operator.routes?.version ?? 0, knownMs: Math.round(elapsedMs(operator.readAt, nowOf(clock))), storeLost: operator.isLost })
  }

  private requestId (exchange: FrontExchange): string {
    const read = this.services.protocol.request(exchange.method, exchange.path, exchange.query, exchange.headers)
    return read.ok && read.value.type === 'routed' ? read.value.requestId ?? '' : ''
  }

  private async serve (exchange: FrontExchange): Promise<void> {
    const read = this.services.protocol.request(exchange.method, exchange.path, exchange.query, exchange.headers)
    if (!read.ok) return exchange.fail(read)
    await this.services.whenLoaded(read.value.type === 'routed' ? 'routes' : 'steps', LOADING_MS)
    if (this.services.operator.routes === undefined) return exchange.fail(failure('stale', 'this host knows no configuration yet'))
    if (headBytes(exchange.request) > this.limits.headerBytes) return exchange.fail(failure('headTooLarge', `the head of a request may have ${this.limits.headerBytes} bytes`))
    if (read.value.type === 'routed') return await this.serveRouted(exchange, read.value)
    const caller = await this.admit(exchange, false)
    if (!caller.ok) return exchange.fail(caller)
    await this.services.steps.serve(exchange, read.value, caller.value)
  }

  private async serveRouted (exchange: FrontExchange, read: Extract<FrontRequest, { type: 'routed' }>): Promise<void> {
    const route = await this.findRoute(exchange)
    if (route === 'unknown') return exchange.fail(failure('stale', 'this host may be behind the configuration'))
    if (route === undefined) return exchange.fail(failure('notFound', `no route for host ${exchange.host} and path ${exchange.path}`))
    const caller = await this.admit(exchange, route.isPublic)
    if (!caller.ok) return exchange.fail(caller)
    const body = await exchange.body(this.limits.bodyBytes, this.budget)
    if (!body.ok) return exchange.fail(body)
    const request = { read, route, configuration: this.services.operator.routes?.version ?? 0, caller: caller.value, body: body.value }
    if (route.kind === 'steps') return await this.services.steps.submit(exchange, request)
    await this.services.forward.serve(exchange, request)
  }

  private async admit (exchange: FrontExchange, isPublic: boolean): Promise<Result<CallerIdentity>> {
    return await this.services.gate.authenticate(this.services.protocol.presentedKey(exchange.request.rawHeaders), isPublic)
  }

  /** The route of a request; a missing one may be newer than what this host has read. */
  private async findRoute (exchange: FrontExchange): Promise<Route | 'unknown' | undefined> {
    const { operator } = this.services
    const route = operator.routes?.findRoute(exchange.host, exchange.path)
    if (route !== undefined) return route
    if (!await operator.catchUp()) return 'unknown'
    return operator.routes?.findRoute(exchange.host, exchange.path)
  }

  private rejectBroken (error: Error & { code?: string }, socket: Socket): void {
    this.services.metrics.count('front.broken_requests')
    if (!socket.writable || error.code === 'ECONNRESET') {
      socket.destroy()
      return
    }
    const failed = error.code === 'HPE_HEADER_OVERFLOW'
      ? failure('headTooLarge', 'the head of the request is too large')
      : error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? failure('tooSlow', 'the request did not arrive in time') : failure('malformed', 'the request is not HTTP/1.1')
    const status = failed.code === 'headTooLarge' ? '431 Request Header Fields Too Large' : failed.code === 'tooSlow' ? '408 Request Timeout' : '400 Bad Request'
    const body = JSON.stringify(failureBody(failed))
    socket.end(`HTTP/1.1 ${status}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`)
  }
}

/** Bytes of names and values, with what stands around them. */
function headBytes ({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, url.length)
}
