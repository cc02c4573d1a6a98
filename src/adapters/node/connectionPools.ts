/**
 * Connection pools to other processes, one per address. A connection can stop delivering data for
 * good while new connections work, because an intermediary has dropped its state. Other connections
 * of the pool are then likely affected too, so a single time-out retires the whole pool: requests in
 * flight may complete, and new requests use new connections.
 */

import type { Socket } from 'node:net'
import { buildConnector, Pool } from 'undici'
import type { Disposable } from '../../base/common/lifecycle.ts'

export interface ConnectionPoolSettings {
  readonly connections: number
  readonly connectTimeoutMs: number
  /** Longest wait for the head of a response and between parts of its body. */
  readonly inactivityTimeoutMs: number
  /** Size limit of each response, in bytes. Absent if responses are streamed, and so not limited as a whole. */
  readonly maximumAnswerBytes?: number
  /** Called for each connection that has been opened. */
  readonly onConnected?: () => void
}

/** Value that disables a limit of the client library. */
export const UNLIMITED = -1

export class ConnectionPools implements Disposable {
  private readonly pools = new Map<string, Pool>()
  private readonly createdAt = new WeakMap<Pool, number>()

  constructor (private readonly settings: ConnectionPoolSettings) {}

  /** Returns the pool of an address, creating it if needed. */
  poolFor (address: string): Pool {
    const existing = this.pools.get(address)
    if (existing !== undefined) return existing
    const pool = new Pool(address, {
      connections: this.settings.connections,
      pipelining: 1,
      connect: createConnector(this.settings.connectTimeoutMs, this.settings.onConnected),
      headersTimeout: this.settings.inactivityTimeoutMs,
      bodyTimeout: this.settings.inactivityTimeoutMs,
      maxResponseSize: this.settings.maximumAnswerBytes ?? UNLIMITED
    })
    this.pools.set(address, pool)
    this.createdAt.set(pool, performance.now())
    return pool
  }

  /** Retires the pool of an address if it is still the current one. */
  retire (address: string, pool: Pool): void {
    if (this.pools.get(address) !== pool) return
    this.pools.delete(address)
    pool.close().catch(() => undefined)
  }

  /** Retires the pool of an address unless it was created within the last `minAgeMs`. */
  retireIfOlderThan (address: string, minAgeMs: number): void {
    const pool = this.pools.get(address)
    if (pool !== undefined && performance.now() - (this.createdAt.get(pool) ?? 0) >= minAgeMs) this.retire(address, pool)
  }

  dispose (): void {
    for (const pool of this.pools.values()) pool.destroy().catch(() => undefined)
    this.pools.clear()
  }
}

/**
 * Socket buffer sizes in bytes. Reading stops after each chunk until the reader asks for more. `highWaterMark` is unset because
 * the library's value for both directions would take precedence over the other two.
 */
const SOCKET_BUFFER_OPTIONS = { highWaterMark: undefined, readableHighWaterMark: 1, writableHighWaterMark: 65_536 }

/** Error code that replaces `ECONNRESET`. */
const CONNECTION_RESET_CODE = 'CONNECTION_RESET'

/**
 * Creates a connector for connections on which a reset is always an error. The library treats a response without a length as
 * complete when its connection is reset, as it does when the connection ends, so a target that crashed while sending such a
 * response appeared to have completed it. The library checks the error code, so the code is replaced before the library sees it.
 */
export function createConnector (timeoutMs: number, onConnected?: () => void): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs, ...SOCKET_BUFFER_OPTIONS })
  return (options, callback) => {
    connect(options, (...[error, socket]: buildConnector.CallbackArgs) => {
      if (error !== null) return callback(error, null)
      onConnected?.()
      socket.prependListener('error', (failed: NodeJS.ErrnoException) => { if (failed.code === 'ECONNRESET') failed.code = CONNECTION_RESET_CODE })
      readOnDemand(socket)
      callback(null, socket)
    })
  }
}

/**
 * Makes a socket read from the network only after its reader has consumed all data and asks for more, and then in a later turn of the event loop.
 * If the socket reads ahead, `end` is emitted while the parser is paused over the last bytes, and the library throws from the event handler, where the
 * error cannot be caught. If it continues to read in the turn that delivered a chunk, Node reports `end` for any connection that has hung up, even a
 * reset one, without asking the kernel what follows the chunk.
 */
function readOnDemand (socket: Socket): void {
  const read = socket.read.bind(socket)
  const startReading = socket._read.bind(socket)
  let isReadRequested = false
  socket._read = () => { isReadRequested = true }
  socket.read = (size?: number): unknown => {
    const chunk: unknown = read(size)
    if (chunk === null && isReadRequested) {
      isReadRequested = false
      setImmediate(startReading, 0)
    }
    return chunk
  }
}

/** Codes of errors that can occur before the first byte is sent. */
const connectErrorCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT'])
/** Whether an error means that the machine is reachable but no process listens on the port, so the process has ended. */
export function isConnectionRefused (error: unknown): boolean {
  return errorCode(error) === 'ECONNREFUSED'
}

const timeoutErrorCodes: ReadonlySet<string> = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT', 'UND_ERR_ABORTED', 'TimeoutError', 'AbortError'])

/**
 * Whether an error proves that nothing was sent. An established connection that loses its route fails with
 * the same codes as a failed connect; its system call (`read` or `write`) tells the two apart.
 */
export function isNeverSent (error: unknown): boolean {
  const { syscall } = (error ?? {}) as { syscall?: unknown }
  return connectErrorCodes.has(errorCode(error)) && (syscall === undefined || syscall === 'connect')
}

/** Codes of errors that the library throws for a request before it uses a connection. */
const invalidRequestCodes: ReadonlySet<string> = new Set(['UND_ERR_INVALID_ARG', 'UND_ERR_NOT_SUPPORTED'])

/** Whether an error means that a request is no valid HTTP request, so that nothing was sent. */
export function isInvalidRequest (error: unknown): boolean {
  return invalidRequestCodes.has(errorCode(error))
}

/** Whether an error means that the peer did not respond in time. */
export function isTimeoutError (error: unknown): boolean {
  return timeoutErrorCodes.has(errorCode(error)) || (error instanceof Error && timeoutErrorCodes.has(error.name))
}

function errorCode (error: unknown): string {
  const code = (error as { code?: unknown } | null)?.code
  return typeof code === 'string' ? code : ''
}
