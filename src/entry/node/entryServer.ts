/**
 * The HTTP server of an entry host: bounded connections, bodies and times, identity, and one
 * numbered answer for everything that goes wrong. Counts what is in flight, so that a graceful stop
 * knows when it has ended.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { Socket } from 'node:net'
import type { Disposable } from '../../base/common/lifecycle.ts'
import { failure, failureBody } from '../../base/common/resultCode.ts'
import type { Metrics, StateLog } from '../../ports/common/observation.ts'
import type { Identities } from '../common/identity.ts'
import { OpenAnswers, cutAnswer } from './cutAnswers.ts'
import type { ExchangeOptions } from './exchange.ts'
import { Exchange } from './exchange.ts'
import { listenAt } from './listenAt.ts'
import type { Route, Router } from './router.ts'

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

const KEEP_ALIVE_MS = 30_000

export class EntryServer implements Disposable {
  private readonly server
  private readonly openAnswers: OpenAnswers
  private inFlight = 0
  private internalInFlight = 0

  constructor (private readonly services: EntryServerServices, private readonly settings: EntryServerSettings) {
    this.server = createServer({
      requestTimeout: settings.bodyTimeoutMs,
      headersTimeout: settings.bodyTimeoutMs,
      connectionsCheckingInterval: Math.min(1000, settings.bodyTimeoutMs),
      keepAliveTimeout: KEEP_ALIVE_MS
    }, (request, response) => {
      this.serve(request, response).catch((error: unknown) => { this.crashed(error, response) })
    })
    this.openAnswers = new OpenAnswers(this.server)
    this.server.maxConnections = settings.maximumConnections
    this.server.on('drop', () => { services.metrics.count('connections.dropped') })
    this.server.on('clientError', (error, socket) => { this.rejectBroken(error, socket as Socket) })
  }

  /** Requests of callers, trainers and operators in flight. */
  get requests (): number {
    return this.inFlight
  }

  async listen (): Promise<void> {
    await listenAt(this.server, this.settings.listen)
  }

  /** Takes no new connections; resolves when the last has ended. */
  async close (): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => { resolve() })
      this.server.closeIdleConnections()
    })
  }

  dispose (): void {
    this.server.close()
    this.openAnswers.cut()
    this.server.closeAllConnections()
  }

  private async serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://host')
    const match = this.services.router.match(request.method ?? '', url.pathname)
    const route = match.ok ? match.value.route : undefined
    const admitted = this.services.identities.admit(request.headers.authorization, route?.access ?? 'anyone')
    const identity = admitted.ok ? admitted.value : undefined
    const exchange = new Exchange(request, response, match.ok ? match.value.parameters : {}, url.searchParams, identity, this.settings)
    if (!match.ok) return this.refuse(exchange, match)
    if (!admitted.ok) return this.refuse(exchange, admitted)
    if (route?.internal !== true && this.inFlight >= this.settings.maximumRequests) {
      return this.refuse(exchange, failure('tooManyConnections', `this host has ${this.inFlight} requests in flight`))
    }
    await this.counted(match.value.route, exchange)
  }

  private async counted (route: Route, exchange: Exchange): Promise<void> {
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

  private refuse (exchange: Exchange, failed: ReturnType<typeof failure>): void {
    this.services.metrics.count(`refused.${failed.code}`)
    exchange.sendFailure(failed)
    exchange.request.resume()
  }

  private crashed (error: unknown, response: ServerResponse): void {
    this.services.metrics.count('requests.crashed')
    this.services.stateLog.alarm('a request handler failed', { error: error instanceof Error ? error.stack ?? error.message : String(error) })
    if (response.headersSent) cutAnswer(response)
    else response.writeHead(500, { 'content-type': 'application/json' }).end(JSON.stringify(failureBody(failure('unknownOutcome', 'this host failed while it served the request'))))
  }

  /** What does not parse as HTTP still gets a number, if the other end can be written to. */
  private rejectBroken (error: NodeJS.ErrnoException, socket: Socket): void {
    this.services.metrics.count('requests.broken')
    if (error.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy()
      return
    }
    const slow = error.code === 'ERR_HTTP_REQUEST_TIMEOUT'
    const body = JSON.stringify(failureBody(failure(slow ? 'tooSlow' : 'malformed', slow ? 'the request did not arrive in time' : 'this is not an HTTP request')))
    const status = slow ? '408 Request Timeout' : '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`)
  }
}
