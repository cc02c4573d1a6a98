/**
 * Sends requests to targets over pooled connections, over connections that are kept while idle, or over a
 * dedicated connection if a request must not run twice.
 */

import { connect } from 'node:net'
import { setImmediate as nextTurn } from 'node:timers/promises'
import { Client } from 'undici'
import type { Dispatcher } from 'undici'
import type { NetworkAddress } from '../../base/common/address.ts'
import { parseAddress } from '../../base/common/address.ts'
import type { Failure, Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { IdleConnections, Listening, TargetResponse, TargetClient, TargetRequest, TargetStream } from '../../ports/common/targetClient.ts'
import { AnswerBuffers } from './answerBuffers.ts'
import type { ConnectionPools } from './connectionPools.ts'
import { createConnector, isInvalidRequest, isNeverSent, isConnectionRefused } from './connectionPools.ts'
import type { KeepAliveConnections } from './keepAliveConnections.ts'

/** Short because the caller holds a request that it wants to send elsewhere. */
const LISTEN_PROBE_TIMEOUT_MS = 100

/** Number of bytes buffered ahead of the reader of a stream. */
const READ_AHEAD_BYTES = 16_384

const HTTP_CLIENT_ERROR = 400
/** Bounds of the rest of a refused or failed stream that is read so that its connection can be used again. */
const MAX_DISCARDED_BYTES = 65_536
const DISCARD_TIMEOUT_MS = 1000

export interface TargetClientSettings {
  /** Longest time to establish a connection, in milliseconds. */
  readonly connectTimeoutMs: number
  /** Size limit of a complete response, and of all responses that are being received together, in bytes. */
  readonly maximumAnswerBytes: number
  /** Called for each connection that this client opens itself. */
  readonly onConnected?: () => void
}

export class HttpTargetClient implements TargetClient, IdleConnections {
  private readonly buffers: AnswerBuffers

  /** @param keepAlive connections for requests that keep them while idle; without it such requests use the pools */
  constructor (private readonly connections: ConnectionPools, private readonly settings: TargetClientSettings, private readonly keepAlive?: KeepAliveConnections) {
    this.buffers = new AnswerBuffers(settings.maximumAnswerBytes)
  }

  async exchange (request: TargetRequest): Promise<Result<TargetResponse>> {
    if (parseAddress(request.address) === undefined) return invalidAddress(request)
    if (request.keepsIdle === true && this.keepAlive !== undefined) return await this.exchangeAndKeep(this.keepAlive, request)
    const dispatcher = this.dispatcher(request)
    try {
      const response = await this.send(dispatcher, request)
      const body = await this.buffers.read(response.body, request.maximumAnswerBytes)
      if (request.ownConnection) dispatcher.close().catch(() => undefined)
      // A pooled connection can be used again one turn later. A request that is sent before would open another one.
      else await nextTurn()
      return success({ status: response.statusCode, headers: response.headers, body })
    } catch (error) {
      // After an aborted request, a client that is closed but not destroyed opens another connection without using it.
      if (request.ownConnection) dispatcher.destroy().catch(() => undefined)
      return toFailure(error)
    }
  }

  /** Exchanges over a kept connection, or over a new one that is kept afterwards. */
  private async exchangeAndKeep (keepAlive: KeepAliveConnections, request: TargetRequest): Promise<Result<TargetResponse>> {
    const origin = `http://${request.address}`
    const kept = request.ownConnection ? keepAlive.open(origin) : keepAlive.acquire(origin)
    try {
      const { statusCode: status, headers, body: stream } = await this.send(kept.client, request)
      const body = await this.buffers.read(stream, request.maximumAnswerBytes)
      keepAlive.release(origin, kept, headers)
      return success({ status, headers, body })
    } catch (error) {
      keepAlive.fail(origin, kept)
      return toFailure(error)
    }
  }

  hasIdleConnection (address: string): boolean {
    return this.keepAlive?.hasIdle(`http://${address}`) === true
  }

  async open (request: TargetRequest): Promise<Result<TargetStream>> {
    if (parseAddress(request.address) === undefined) return invalidAddress(request)
    if (request.keepsIdle === true && this.keepAlive !== undefined) return await this.openAndKeep(this.keepAlive, request)
    const dispatcher = this.dispatcher(request)
    const cancellation = new AbortController()
    try {
      const response = await this.send(dispatcher, { ...request, signal: AbortSignal.any([request.signal, cancellation.signal]) }, { highWaterMark: READ_AHEAD_BYTES })
      // Cancelling emits an error on the body, which the caller that cancelled it expects.
      response.body.on('error', () => undefined)
      return success({ status: response.statusCode, headers: response.headers, pieces: request.ownConnection ? response.body : endOnceReusable(response.body), cancel: () => { cancellation.abort() } })
    } catch (error) {
      return toFailure(error)
    } finally {
      if (request.ownConnection) (dispatcher as Client).close().catch(() => undefined)
    }
  }

  /** Opens a stream over a kept connection, or over a new one, which is kept once the stream has ended. */
  private async openAndKeep (keepAlive: KeepAliveConnections, request: TargetRequest): Promise<Result<TargetStream>> {
    const origin = `http://${request.address}`
    const kept = request.ownConnection ? keepAlive.open(origin) : keepAlive.acquire(origin)
    const cancellation = new AbortController()
    try {
      const { statusCode: status, headers, body } = await this.send(kept.client, { ...request, signal: AbortSignal.any([request.signal, cancellation.signal]) }, { highWaterMark: READ_AHEAD_BYTES })
      body.on('error', () => undefined)
      body.once('close', () => { body.readableEnded ? keepAlive.release(origin, kept, headers) : keepAlive.fail(origin, kept) })
      // The target runs nothing after it has refused or failed, so that reading the rest costs less than another connection.
      const cancel = (): void => {
        if (status < HTTP_CLIENT_ERROR) return cancellation.abort()
        body.dump({ limit: MAX_DISCARDED_BYTES, signal: AbortSignal.timeout(DISCARD_TIMEOUT_MS) }).catch(() => { cancellation.abort() })
      }
      return success({ status, headers, pieces: body, cancel })
    } catch (error) {
      keepAlive.fail(origin, kept)
      return toFailure(error)
    }
  }

  retireConnections (address: string, minAgeMs: number = 0, answeredWithinMs: number = 0): void {
    this.connections.retireIfOlderThan(`http://${address}`, minAgeMs)
    this.keepAlive?.retire(`http://${address}`, minAgeMs, answeredWithinMs)
  }

  async listens (address: string): Promise<Listening> {
    const parsed = parseAddress(address)
    return parsed === undefined ? 'unknown' : await this.probe(parsed)
  }

  private async probe ({ ip, port }: NetworkAddress): Promise<Listening> {
    return await new Promise((resolve) => {
      const socket = connect({ host: ip, port, timeout: LISTEN_PROBE_TIMEOUT_MS })
      const finish = (listening: Listening): void => {
        socket.destroy()
        resolve(listening)
      }
      socket.once('connect', () => {
        this.settings.onConnected?.()
        finish('yes')
      })
      socket.once('timeout', () => { finish('unknown') })
      socket.once('error', (error) => { finish(isConnectionRefused(error) ? 'no' : 'unknown') })
    })
  }

  private dispatcher ({ address, ownConnection }: TargetRequest): Dispatcher {
    const origin = `http://${address}`
    if (!ownConnection) return this.connections.poolFor(origin)
    return new Client(origin, { connect: createConnector(this.settings.connectTimeoutMs, this.settings.onConnected) })
  }

  private async send (dispatcher: Dispatcher, { method, path, headers, body, signal }: TargetRequest, options: { readonly highWaterMark?: number } = {}): Promise<Dispatcher.ResponseData> {
    return await dispatcher.request({ method: method as Dispatcher.HttpMethod, path, headers: [...headers], body: body ?? null, signal, ...options })
  }
}

/**
 * Ends one turn of the event loop after the body, when its pooled connection can be used again. A request that
 * is sent before would open another connection.
 */
async function * endOnceReusable (body: AsyncIterable<Uint8Array>): AsyncGenerator<Uint8Array> {
  yield * body
  await nextTurn()
}

/** A request to an invalid address cannot have been sent. */
function invalidAddress ({ address }: TargetRequest): Failure {
  return failure('targetUnreachable', `the address ${address} of the target is not IP:PORT`)
}

function toFailure (error: unknown): Result<never> {
  if (isInvalidRequest(error)) return failure('malformed', String(error))
  return isNeverSent(error) ? failure('targetUnreachable', String(error)) : failure('unknownOutcome', String(error))
}
