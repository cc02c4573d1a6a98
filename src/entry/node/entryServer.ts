/**
 * HTTP server of an entry host. Limits connections, body sizes and durations, authenticates
 * requests, and answers every failure with a numbered error. Counts requests in flight, so that a
 * graceful stop knows when all have ended.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { Socket } from 'node:net'
import type { Disposable } from '../../base/common/lifecycle.ts'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, failureBody } from '../../base/common/resultCode.ts'
import type { Metrics, StateLog } from '../../ports/common/observation.ts'
import type { Identities } from '../common/identity.ts'
import { OpenResponses, abortResponse } from './openResponses.ts'
import type { ExchangeOptions } from './exchange.ts'
import { Exchange } from './exchange.ts'
import { listenAt } from './listenAt.ts'
import { parseRequestTarget } from './requestTarget.ts'
import type { Route, RouteMatch, Router } from './router.ts'

export interface EntryServerSettings extends ExchangeOptions {
  readonly listen: string
  readonly maximumConnections: number
  readonly maximumRequests: number
  readonly bodyTimeoutMs: number
}

export interface EntryServerServices {
  readonly router: Router
  readonly identities: Identities
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

const KEEP_ALIVE_TIMEOUT_MS = 30_000

export class EntryServer implements Disposable {
  private readonly server
  private readonly openResponses: OpenResponses
  private inFlight = 0
  private internalInFlight = 0

  constructor (private readonly services: EntryServerServices, private readonly settings: EntryServerSettings) {
    this.server = createServer({
      requestTimeout: settings.bodyTimeoutMs,
      headersTimeout: settings.bodyTimeoutMs,
      connectionsCheckingInterval: Math.min(1000, settings.bodyTimeoutMs),
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS
    }, (request, response) => {
      this.serve(request, response).catch((error: unknown) => { this.handleUnexpectedError(error, response) })
    })
    this.openResponses = new OpenResponses(this.server)
    this.server.maxConnections = settings.maximumConnections
    this.server.on('drop', () => { services.metrics.count('connections.dropped') })
    this.server.on('clientError', (error, socket) => { this.rejectMalformedRequest(error, socket as Socket) })
  }

  /** Number of requests from callers, trainers and operators in flight. */
  get requests (): number {
    return this.inFlight
  }

  async listen (): Promise<void> {
    await listenAt(this.server, this.settings.listen)
  }

  /** Stops accepting connections. Resolves when the last one has closed. */
  async close (): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => { resolve() })
      this.server.closeIdleConnections()
    })
  }

  dispose (): void {
    this.server.close()
    this.openResponses.abortStarted()
    this.server.closeAllConnections()
  }

  private async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const target = parseRequestTarget(request.url)
    const match: Result<RouteMatch> = target.ok ? this.services.router.match(request.method ?? '', target.value.path) : target
    const route = match.ok ? match.value.route : undefined
    const admitted = this.services.identities.authorize(request.headers.authorization, route?.access ?? 'anyone')
    const identity = admitted.ok ? admitted.value : undefined
    const exchange = new Exchange(request, response, match.ok ? match.value.parameters : {}, target.ok ? target.value.query : new URLSearchParams(), identity, this.settings)
    if (!match.ok) return this.reject(exchange, match)
    if (!admitted.ok) return this.reject(exchange, admitted)
    if (route?.internal !== true && this.inFlight >= this.settings.maximumRequests) {
      return this.reject(exchange, failure('tooManyConnections', `this host has ${this.inFlight} requests in flight, with a limit of ${this.settings.maximumRequests}`))
    }
    await this.handleCounted(match.value.route, exchange)
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
    exchange.request.resume()
  }

  private handleUnexpectedError (error: unknown, response: ServerResponse): void {
    this.services.metrics.count('requests.crashed')
    this.services.stateLog.alarm('a request handler failed', { error: error instanceof Error ? error.stack ?? error.message : String(error) })
    if (response.headersSent) abortResponse(response)
    else response.writeHead(500, { 'content-type': 'application/json' }).end(JSON.stringify(failureBody(failure('unknownOutcome', 'internal error while processing the request'))))
  }

  /** Answers input that does not parse as HTTP with a numbered error if the socket is still writable. */
  private rejectMalformedRequest (error: NodeJS.ErrnoException, socket: Socket): void {
    this.services.metrics.count('requests.broken')
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const timedOut = error.code === 'ERR_HTTP_REQUEST_TIMEOUT'
    const body = JSON.stringify(failureBody(failure(timedOut ? 'tooSlow' : 'malformed', timedOut ? 'the request did not arrive in time' : 'the request is not valid HTTP')))
    const status = timedOut ? '408 Request Timeout' : '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
  }
}
