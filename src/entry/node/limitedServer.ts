/**
 * HTTP server that limits what its clients may occupy, whatever they send. It serves the requests of each connection one
 * after the other. All listeners of a host use it.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { Socket } from 'node:net'
import type { Disposable } from '../../base/common/lifecycle.ts'
import type { CounterName } from '../../base/common/metricNames.ts'
import type { Failure } from '../../base/common/resultCode.ts'
import { failure, failureBody } from '../../base/common/resultCode.ts'
import { ActivityOrder } from '../../core/common/overload/activityOrder.ts'
import type { Clock } from '../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../ports/common/observation.ts'
import { abortResponse } from './abortResponse.ts'
import { listenAt } from './listenAt.ts'
import { hasBody } from './requestBody.ts'
import { limitRequests } from './requestParser.ts'

export interface ServerLimits {
  readonly maximumConnections: number
  /** Largest request head, in bytes; by default that of Node.js. */
  readonly maximumHeadBytes?: number
  /** Largest number of requests of one connection whose responses are not complete. */
  readonly maximumPipelinedRequests: number
  /** Longest time for a request head to arrive. */
  readonly headTimeoutMs: number
  /** Longest time for a whole request to arrive. */
  readonly requestTimeoutMs: number
  /** Time after which an idle connection is closed. */
  readonly keepAliveTimeoutMs: number
  /** Longest time for which a client may read nothing of a response that waits for it. */
  readonly unreadTimeoutMs: number
  /** Largest total size of complete responses that wait for their clients. */
  readonly maximumUnreadBytes: number
}

/** A request whose head has been received. */
export interface ReceivedRequest {
  /** Called once the responses to the former requests of the connection are complete. */
  serve (): void | Promise<void>
  /** Called instead of `serve` if the connection is closed before. */
  discard (): void
}

export interface LimitedServerServices {
  readonly clock: Pick<Clock, 'monotonic'>
  readonly metrics: Pick<Metrics, 'count'>
  readonly stateLog: Pick<StateLog, 'alarm'>
  /** Counter of input that is not HTTP, too large or too slow. */
  readonly malformedCounter: CounterName
  /** Called for each request as soon as its head has been received. */
  readonly receive: (request: IncomingMessage, response: ServerResponse) => ReceivedRequest
}

/** A request that is being served, or waits until those before it on its connection have been. */
interface QueuedRequest {
  readonly request: IncomingMessage
  readonly response: ServerResponse
  readonly received: ReceivedRequest
  isServed: boolean
}

interface Connection {
  readonly socket: Socket
  readonly queue: QueuedRequest[]
  /** Requests whose heads have been parsed and whose responses are not complete. */
  openRequests: number
}

const MAX_CHECK_INTERVAL_MS = 1000
/** Time without data after which a connection of a client that has had a response may be closed in favour of a new one. */
const MIN_INACTIVE_MS = 1000
/** Size from which a response that waits for its client is tracked. */
const MIN_UNREAD_BYTES = 65_536
const MALFORMED_STATUS_LINES = { headTooLarge: '431 Request Header Fields Too Large', tooSlow: '408 Request Timeout', malformed: '400 Bad Request' } as const

export class LimitedServer implements Disposable {
  private readonly server: Server
  private readonly connections = new Map<Socket, Connection>()
  /** Connections whose clients have had no response yet, the oldest first. */
  private readonly newConnections = new Set<Connection>()
  private readonly usedConnections = new ActivityOrder<Connection>(progressOf)
  /** Connections with large responses that are complete and wait for their clients. */
  private readonly unread = new ActivityOrder<Connection>(({ socket }) => socket.bytesWritten - socket.writableLength)
  /** Responses to requests that are being served. */
  private readonly openResponses = new Set<ServerResponse>()

  constructor (private readonly services: LimitedServerServices, private readonly limits: ServerLimits) {
    this.server = createServer({
      headersTimeout: limits.headTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      connectionsCheckingInterval: Math.min(MAX_CHECK_INTERVAL_MS, limits.requestTimeoutMs),
      keepAliveTimeout: limits.keepAliveTimeoutMs,
      // Such requests are rejected here, so that they count towards the limits.
      requireHostHeader: false,
      ...(limits.maximumHeadBytes === undefined ? {} : { maxHeaderSize: limits.maximumHeadBytes })
    })
    this.server.setTimeout(limits.unreadTimeoutMs, (socket) => { this.closeInactive(socket) })
    this.server.on('connection', (socket) => { this.trackConnection(socket) })
    this.server.on('request', (request, response) => { this.enqueue(request, response, receiveSafely(services.receive, request, response)) })
    this.server.on('checkExpectation', (request, response) => { this.enqueue(request, response, statusOnly(response, EXPECTATION_FAILED)) })
    this.server.on('clientError', (error, socket) => { this.rejectMalformedInput(error, socket as Socket) })
  }

  /** Number of requests that are being served. */
  get openRequestCount (): number {
    return this.openResponses.size
  }

  async listen (address: string): Promise<void> {
    await listenAt(this.server, address)
  }

  setTimeouts ({ headTimeoutMs, keepAliveTimeoutMs }: Pick<ServerLimits, 'headTimeoutMs' | 'keepAliveTimeoutMs'>): void {
    this.server.headersTimeout = headTimeoutMs
    this.server.keepAliveTimeout = keepAliveTimeoutMs
  }

  /** Closes idle connections and stops accepting new ones. Resolves when the last connection has closed. */
  async close (): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.close(() => { resolve() })
      this.server.closeIdleConnections()
    })
  }

  dispose (): void {
    this.server.close()
    for (const response of this.openResponses) if (response.headersSent) abortResponse(response)
    this.server.closeAllConnections()
  }

  private trackConnection (socket: Socket): void {
    const connection: Connection = { socket, queue: [], openRequests: 0 }
    this.connections.set(socket, connection)
    this.newConnections.add(connection)
    socket.once('close', () => {
      this.untrack(connection)
      for (const queued of connection.queue.splice(0)) if (!queued.isServed) queued.received.discard()
    })
    limitRequests(socket, () => this.acceptRequest(connection))
    this.evictIfFull(connection)
  }

  private untrack (connection: Connection): void {
    this.connections.delete(connection.socket)
    this.newConnections.delete(connection)
    this.usedConnections.delete(connection)
    this.unread.delete(connection)
  }

  /** Closes a connection in favour of the latest one if there are too many. */
  private evictIfFull (latest: Connection): void {
    if (this.connections.size <= this.limits.maximumConnections) return
    const inactive = this.oldestUnserved() ?? this.usedConnections.leastActive(this.services.clock.monotonic(), MIN_INACTIVE_MS) ?? latest
    this.services.metrics.count(inactive === latest ? 'connections.dropped' : 'connections.closed_inactive')
    this.untrack(inactive)
    inactive.socket.destroy()
  }

  /** A client that sends a request at once is shut out only by as many later connections as there are places. */
  private oldestUnserved (): Connection | undefined {
    for (const connection of this.newConnections) if (progressOf(connection) !== undefined) return connection
    return undefined
  }

  /** Counts a request towards the limit of its connection, and closes the connection if it exceeds the limit. */
  private acceptRequest (connection: Connection): boolean {
    if (connection.openRequests >= this.limits.maximumPipelinedRequests) {
      this.services.metrics.count('connections.closed_pipelining')
      connection.socket.destroy()
      return false
    }
    connection.openRequests++
    return true
  }

  private enqueue (request: IncomingMessage, response: ServerResponse, received: ReceivedRequest): void {
    const connection = this.connections.get(request.socket)
    if (connection === undefined) return received.discard()
    const queued: QueuedRequest = { request, response, received: isHostMissing(request) ? hostMissing(response, received) : received, isServed: false }
    connection.queue.push(queued)
    response.once('prefinish', () => { this.limitUnread(connection) })
    response.once('close', () => { this.end(connection, queued) })
    if (connection.queue[0] === queued) this.begin(connection, queued)
  }

  private begin (connection: Connection, queued: QueuedRequest): void {
    queued.isServed = true
    this.openResponses.add(queued.response)
    if (!hasBody(queued.request)) this.protectFromEviction(connection)
    const serve = async (): Promise<void> => { await queued.received.serve() }
    serve().catch((error: unknown) => { this.handleUnexpectedError(error, queued.response) })
  }

  private protectFromEviction (connection: Connection): void {
    this.newConnections.delete(connection)
    this.usedConnections.delete(connection)
  }

  private end (connection: Connection, queued: QueuedRequest): void {
    connection.openRequests--
    this.openResponses.delete(queued.response)
    this.unread.delete(connection)
    if (this.connections.has(connection.socket)) {
      this.newConnections.delete(connection)
      this.usedConnections.touch(connection, this.services.clock.monotonic())
    }
    const index = connection.queue.indexOf(queued)
    if (index >= 0) connection.queue.splice(index, 1)
    if (!queued.isServed) queued.received.discard()
    const next = connection.queue[0]
    if (next !== undefined && !next.isServed && !connection.socket.destroyed) this.begin(connection, next)
  }

  /** Closes a connection on which nothing has been sent or received for a while, unless its client waits for a response. */
  private closeInactive (socket: Socket): void {
    const isIdle = this.connections.get(socket)?.queue.length === 0
    if (isIdle) socket.destroy()
    else if (socket.writableLength > 0) this.closeUnread(socket)
  }

  /** Closes connections whose clients have read nothing for the longest time while too many responses wait. */
  private limitUnread (connection: Connection): void {
    if (connection.socket.writableLength < MIN_UNREAD_BYTES) return
    const now = this.services.clock.monotonic()
    this.unread.touch(connection, now)
    while (this.unread.sum(({ socket }) => socket.writableLength) > this.limits.maximumUnreadBytes) {
      const oldest = this.unread.leastActive(now, 0)
      if (oldest === undefined) return
      this.unread.delete(oldest)
      this.closeUnread(oldest.socket)
    }
  }

  private closeUnread (socket: Socket): void {
    this.services.metrics.count('connections.closed_unread')
    // A reset shows that the response is incomplete, and frees what the kernel holds of it.
    socket.resetAndDestroy()
  }

  private handleUnexpectedError (error: unknown, response: ServerResponse): void {
    this.services.metrics.count('requests.crashed')
    this.services.stateLog.alarm('a request handler failed', { error: error instanceof Error ? error.stack ?? error.message : String(error) })
    if (response.headersSent) abortResponse(response)
    else sendFailureBody(response, 500, failure('unknownOutcome', 'internal error while processing the request'))
  }

  /** Answers input that does not parse as HTTP with a numbered error, unless it follows a request that may be running. */
  private rejectMalformedInput (error: NodeJS.ErrnoException, socket: Socket): void {
    this.services.metrics.count(this.services.malformedCounter)
    const current = this.connections.get(socket)?.queue[0]
    // The client would take it for the response to that request, which would then not be known to have run.
    const isAfterRequest = current !== undefined && (current.request.complete || current.response.headersSent)
    if (error.code === 'ECONNRESET' || !socket.writable || isAfterRequest) {
      socket.destroy()
      return
    }
    const failed = malformedFailure(error)
    const body = JSON.stringify(failureBody(failed))
    socket.write(`HTTP/1.1 ${MALFORMED_STATUS_LINES[failed.code]}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`)
    socket.destroySoon()
  }
}

/** Changes with each byte that a client sends; `undefined` while a whole request is being served. */
function progressOf ({ socket, queue }: Connection): number | undefined {
  return queue[0]?.request.complete === true ? undefined : socket.bytesRead
}

const BAD_REQUEST = 400
const EXPECTATION_FAILED = 417

function malformedFailure ({ code }: NodeJS.ErrnoException): Failure & { readonly code: keyof typeof MALFORMED_STATUS_LINES } {
  if (code === 'HPE_HEADER_OVERFLOW') return { ok: false, code: 'headTooLarge', message: 'the request head is too large' }
  if (code === 'ERR_HTTP_REQUEST_TIMEOUT') return { ok: false, code: 'tooSlow', message: 'the request did not arrive in time' }
  return { ok: false, code: 'malformed', message: 'the request is not valid HTTP/1.1' }
}

/** Defers an exception until the request is served, where it is handled. */
function receiveSafely (receive: LimitedServerServices['receive'], request: IncomingMessage, response: ServerResponse): ReceivedRequest {
  try {
    return receive(request, response)
  } catch (error) {
    return { serve: async () => await Promise.reject(error), discard: () => undefined }
  }
}

function isHostMissing ({ httpVersion, headers }: IncomingMessage): boolean {
  return httpVersion === '1.1' && headers.host === undefined
}

/** Rejects a request in place of serving it. */
function hostMissing (response: ServerResponse, { discard }: ReceivedRequest): ReceivedRequest {
  return {
    serve: () => {
      discard()
      response.shouldKeepAlive = false
      sendFailureBody(response, BAD_REQUEST, failure('malformed', 'the request has no host header'))
    },
    discard
  }
}

/** Answers a request with a status in place of serving it. Its connection is closed, as its body is not read. */
function statusOnly (response: ServerResponse, status: number): ReceivedRequest {
  return {
    serve: () => {
      response.shouldKeepAlive = false
      response.writeHead(status, { 'content-length': 0 }).end()
    },
    discard: () => undefined
  }
}

function sendFailureBody (response: ServerResponse, status: number, failed: Failure): void {
  const body = JSON.stringify(failureBody(failed))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) }).end(body)
}
