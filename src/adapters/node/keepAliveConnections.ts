/**
 * Connections that stay open while idle for as long as the other process announces, one request at a time
 * on each. Used for targets to which a host sends few requests, where a shorter limit closes nearly every
 * connection before it is used again.
 *
 * Of several idle connections the most recently used one is taken, so that surplus ones expire. A connection whose
 * request failed or was aborted is closed; the library's own pool opens another one in its place at once,
 * whether or not a request needs it.
 */

import type { Dispatcher } from 'undici'
import { Client } from 'undici'
import type { Disposable } from '../../base/common/lifecycle.ts'
import type { ConnectionPoolSettings } from './connectionPools.ts'
import { UNLIMITED, createConnector } from './connectionPools.ts'

/** How much earlier than announced an idle connection is closed: a request sent while the other process closes it would break. */
const IDLE_MARGIN_MS = 1000
/** How long a connection stays idle if the other process announces nothing; the default of the library. */
const DEFAULT_IDLE_MS = 4000
const MILLISECONDS_PER_SECOND = 1000

/** One connection, or the attempt to open it, with the requests that use it. */
export interface KeepAliveConnection {
  readonly client: Client
  readonly openedAt: number
  /** Number of requests that use it or wait for it. */
  requests: number
  answeredAt: number
  /** Time after which it is not used again if it was idle until then. */
  usableUntil: number
  isRetired: boolean
}

export class KeepAliveConnections implements Disposable {
  private readonly connections = new Map<string, Set<KeepAliveConnection>>()

  constructor (private readonly settings: ConnectionPoolSettings) {}

  /** Whether a request to an origin would find an open connection that no other request uses. */
  hasIdle (origin: string): boolean {
    const now = performance.now()
    for (const connection of this.connections.get(origin) ?? []) if (isUsable(connection, now)) return true
    return false
  }

  /** Takes an idle connection, or opens one. Above the limit the request waits for the connection with the fewest requests. */
  acquire (origin: string): KeepAliveConnection {
    const now = performance.now()
    const known = this.connections.get(origin) ?? new Set()
    let newest: KeepAliveConnection | undefined
    let leastUsed: KeepAliveConnection | undefined
    for (const connection of known) {
      // The timer that closes it is late if this process stood still.
      if (connection.requests === 0 && now >= connection.usableUntil) {
        this.discard(origin, connection)
        continue
      }
      if (isUsable(connection, now) && (newest === undefined || connection.answeredAt > newest.answeredAt)) newest = connection
      if (leastUsed === undefined || connection.requests < leastUsed.requests) leastUsed = connection
    }
    const isFull = known.size >= this.settings.connections
    const taken = newest ?? (isFull ? leastUsed : undefined)
    if (taken === undefined) return this.open(origin)
    taken.requests++
    return taken
  }

  /** Opens a connection for one request, also above the limit. It is kept after the request. */
  open (origin: string): KeepAliveConnection {
    const client = new Client(origin, {
      pipelining: 1,
      connect: createConnector(this.settings.connectTimeoutMs, this.settings.onConnected),
      headersTimeout: this.settings.inactivityTimeoutMs,
      bodyTimeout: this.settings.inactivityTimeoutMs,
      maxResponseSize: this.settings.maximumAnswerBytes ?? UNLIMITED,
      keepAliveTimeout: DEFAULT_IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS
    })
    const connection: KeepAliveConnection = { client, openedAt: performance.now(), requests: 1, answeredAt: Number.NEGATIVE_INFINITY, usableUntil: Number.POSITIVE_INFINITY, isRetired: false }
    const known = this.connections.get(origin) ?? new Set()
    this.connections.set(origin, known.add(connection))
    client.on('disconnect', () => { if (connection.requests === 0) this.discard(origin, connection) })
    return connection
  }

  /** Returns a connection whose request has been answered. */
  release (origin: string, connection: KeepAliveConnection, headers: Dispatcher.ResponseData['headers']): void {
    const now = performance.now()
    connection.requests--
    connection.answeredAt = now
    connection.usableUntil = now + idleLimitMs(headers)
    if (connection.requests === 0 && (connection.isRetired || !isUsable(connection, now))) this.discard(origin, connection)
  }

  /** Returns a connection whose request failed or was aborted. */
  fail (origin: string, connection: KeepAliveConnection): void {
    connection.requests--
    if (connection.requests === 0) this.discard(origin, connection)
  }

  /** Closes the connections opened at least `minAgeMs` ago, except those over which an answer arrived within the last `answeredWithinMs`. Requests in flight may complete. */
  retire (origin: string, minAgeMs: number, answeredWithinMs: number): void {
    const now = performance.now()
    for (const connection of this.connections.get(origin) ?? []) {
      if (now - connection.openedAt < minAgeMs || now - connection.answeredAt < answeredWithinMs) continue
      connection.isRetired = true
      if (connection.requests === 0) this.discard(origin, connection)
      else this.remove(origin, connection)
    }
  }

  dispose (): void {
    for (const [origin, known] of this.connections) for (const connection of known) this.discard(origin, connection)
  }

  private discard (origin: string, connection: KeepAliveConnection): void {
    this.remove(origin, connection)
    connection.client.destroy().catch(() => undefined)
  }

  private remove (origin: string, connection: KeepAliveConnection): void {
    const known = this.connections.get(origin)
    known?.delete(connection)
    if (known?.size === 0) this.connections.delete(origin)
  }
}

function isUsable ({ client, requests, usableUntil, isRetired }: KeepAliveConnection, now: number): boolean {
  return requests === 0 && !isRetired && now < usableUntil && client.stats.connected
}

/** Returns how long a connection may stay idle after an answer with these headers. */
function idleLimitMs (headers: Dispatcher.ResponseData['headers']): number {
  const value = headers['keep-alive']
  const seconds = /timeout=(?<seconds>\d+)/.exec(Array.isArray(value) ? value.join(',') : value ?? '')?.groups?.['seconds']
  return seconds === undefined ? DEFAULT_IDLE_MS : Number(seconds) * MILLISECONDS_PER_SECOND - IDLE_MARGIN_MS
}
