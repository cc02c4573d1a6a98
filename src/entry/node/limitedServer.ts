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
import type { ClientMemory } from './clientMemory.ts'
import { MEMORY_USED_UP } from './clientMemory.ts'
import { HeadMemory, ResponseMemory } from './connectionMemory.ts'
import { listenAt } from './listenAt.ts'
import { hasBody } from './requestBody.ts'
import { listenToParser } from './requestParser.ts'

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
}

/** A request whose head has been received. */
export interface ReceivedRequest {
  /** Called once the responses to the former requests of the connection are complete. */
  serve (): void | Promise<void>
  /** Called instead of `serve` if the connection is closed before. */
  discard (): void
}

export interface LimitedServerServices {
  /** Memory for large request heads and for responses that wait to be read. */
  readonly memory: ClientMemory
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
  /** Memory that is counted for its head. */
  readonly headBytes: number
  isServed: boolean
}

interface Connection {
  readonly socket: Socket
  readonly heads: HeadMemory
  readonly unread: ResponseMemory
  readonly queue: QueuedRequest[]
  /** Requests whose heads have been parsed and whose responses are not complete. */
  openRequests: number
}

const MAX_CHECK_INTERVAL_MS = 1000
/** Time without data after which a connection of a client that has had a response may be closed in favour of a new one. */
const MIN_INACTIVE_MS = 1000
/** Delay after which clients may retry a request for which there was no memory. */
const RETRY_AFTER_SECONDS = 1
const REJECTION_STATUS_LINES = { overloaded: '503 Service Unavailable', headTooLarge: '431 Request Header Fields Too Large', tooSlow: '408 Request Timeout', malformed: '400 Bad Request' } as const

export class LimitedServer implements Disposable {
  private readonly server: Server
  private readonly connections = new Map<Socket, Connection>()
  /** Connections whose clients have had no response yet, the oldest first. */
  private readonly newConnections = new Set<Connection>()
  private readonly usedConnections = new ActivityOrder<Connection>(progressOf)
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
    const queue: QueuedRequest[] = []
    const heads = new HeadMemory(socket, this.services.memory, () => queue[0]?.request.complete === true, () => { this.closeForMemory(connection, NO_PROGRESS) })
    const unread = new ResponseMemory(socket, this.services.memory, () => { this.closeUnread(connection) })
    const connection: Connection = { socket, heads, unread, queue, openRequests: 0 }
    this.connections.set(socket, connection)
    this.newConnections.add(connection)
    socket.once('close', () => {
      this.untrack(connection)
      for (const queued of connection.queue.splice(0)) if (!queued.isServed) queued.received.discard()
    })
    listenToParser(socket, {
      onRequestBegin: () => { heads.begin() },
      acceptRequest: () => this.acceptRequest(connection),
      onRead: () => { if (this.connections.has(socket) && !heads.countArriving()) this.closeForMemory(connection, MEMORY_USED_UP) }
    })
    this.evictIfFull(connection)
  }

  private untrack (connection: Connection): void {
    this.connections.delete(connection.socket)
    this.newConnections.delete(connection)
    this.usedConnections.delete(connection)
    connection.heads.release()
    connection.unread.release()
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
    const headBytes = connection.heads.add(request)
    if (headBytes === undefined) {
      if (connection.queue.length > 0) {
        received.discard()
        return this.closeForMemory(connection, MEMORY_USED_UP)
      }
      this.services.metrics.count('connections.closed_memory')
      received = overloaded(response, received)
    } else if (isHostMissing(request)) received = hostMissing(response, received)
    const queued: QueuedRequest = { request, response, received, headBytes: headBytes ?? 0, isServed: false }
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
    if (this.connections.has(connection.socket)) {
      connection.heads.free(queued.headBytes)
      connection.unread.release()
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
    const connection = this.connections.get(socket)
    if (connection === undefined || connection.queue.length === 0) socket.destroy()
    else if (socket.writableLength > 0) this.closeUnread(connection)
  }

  /** Closes a connection if there is no memory for a complete response that its client has not read. */
  private limitUnread (connection: Connection): void {
    if (this.connections.has(connection.socket) && !connection.unread.add()) this.closeUnread(connection)
  }

  /** Closes a connection, as there is no memory for the request heads that it has received. */
  private closeForMemory (connection: Connection, reason: InputRejection): void {
    const { socket, heads, queue } = connection
    this.untrack(connection)
    this.services.metrics.count('connections.closed_memory')
    if (queue.length === 0 && heads.isIncomplete) this.rejectInput(socket, reason)
    else socket.destroy()
  }

  private closeUnread (connection: Connection): void {
    this.untrack(connection)
    this.services.metrics.count('connections.closed_unread')
    // A reset shows that the response is incomplete, and frees what the kernel holds of it.
    connection.socket.resetAndDestroy()
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
    this.rejectInput(socket, malformedFailure(error))
  }

  /** Answers incomplete or malformed input with a numbered error, and closes the connection. */
  private rejectInput (socket: Socket, failed: InputRejection): void {
    const body = JSON.stringify(failureBody(failed))
    const retryAfter = failed.code === 'overloaded' ? `retry-after: ${RETRY_AFTER_SECONDS}\r\n` : ''
    socket.write(`HTTP/1.1 ${REJECTION_STATUS_LINES[failed.code]}\r\ncontent-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}\r\n${retryAfter}connection: close\r\n\r\n${body}`)
    socket.destroySoon()
  }
}

type InputRejection = Failure & { readonly code: keyof typeof REJECTION_STATUS_LINES }

const NO_PROGRESS: InputRejection = { ok: false, code: 'tooSlow', message: 'the request stopped arriving' }

/** Changes with each byte that a client sends; `undefined` while a whole request is being served. */
function progressOf ({ socket, queue }: Connection): number | undefined {
  return queue[0]?.request.complete === true ? undefined : socket.bytesRead
}

const BAD_REQUEST = 400
const EXPECTATION_FAILED = 417
const SERVICE_UNAVAILABLE = 503

function malformedFailure ({ code }: NodeJS.ErrnoException): InputRejection {
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

function hostMissing (response: ServerResponse, received: ReceivedRequest): ReceivedRequest {
  return rejected(response, received, () => { sendFailureBody(response, BAD_REQUEST, failure('malformed', 'the request has no host header')) })
}

function overloaded (response: ServerResponse, received: ReceivedRequest): ReceivedRequest {
  return rejected(response, received, () => {
    response.setHeader('retry-after', RETRY_AFTER_SECONDS)
    sendFailureBody(response, SERVICE_UNAVAILABLE, MEMORY_USED_UP)
  })
}

/** Rejects a request in place of serving it. Its connection is closed, as its body is not read. */
function rejected (response: ServerResponse, { discard }: ReceivedRequest, reject: () => void): ReceivedRequest {
  return {
    serve: () => {
      discard()
      response.shouldKeepAlive = false
      reject()
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
