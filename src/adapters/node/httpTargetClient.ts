/** Sends requests to targets over pooled connections, or over a dedicated connection if a request must not run twice. */

import { connect } from 'node:net'
import { Client } from 'undici'
import type { Dispatcher } from 'undici'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { Listening, TargetResponse, TargetClient, TargetRequest, TargetStream } from '../../ports/common/targetClient.ts'
import type { ConnectionPools } from './connectionPools.ts'
import { createConnector, isNeverSent, isConnectionRefused } from './connectionPools.ts'

/** Short because the caller holds a request that it wants to send elsewhere. */
const LISTEN_PROBE_TIMEOUT_MS = 100

/** Number of bytes buffered ahead of the reader of a stream. */
const READ_AHEAD_BYTES = 16_384

export interface TargetClientSettings {
  /** Longest time to establish a connection, in milliseconds. */
  readonly connectTimeoutMs: number
  /** Size limit of a complete response, in bytes. */
  readonly maximumAnswerBytes: number
}

export class HttpTargetClient implements TargetClient {
  constructor (private readonly connections: ConnectionPools, private readonly settings: TargetClientSettings) {}

  async exchange (request: TargetRequest): Promise<Result<TargetResponse>> {
    const dispatcher = this.dispatcher(request)
    try {
      const response = await this.send(dispatcher, request)
      const body = await response.body.bytes()
      if (request.ownConnection) dispatcher.close().catch(() => undefined)
      return success({ status: response.statusCode, headers: response.headers, body })
    } catch (error) {
      // After an aborted request, a client that is closed but not destroyed opens another connection without using it.
      if (request.ownConnection) dispatcher.destroy().catch(() => undefined)
      return toFailure(error)
    }
  }

  async open (request: TargetRequest): Promise<Result<TargetStream>> {
    const dispatcher = this.dispatcher(request)
    const cancellation = new AbortController()
    try {
      const response = await this.send(dispatcher, { ...request, signal: AbortSignal.any([request.signal, cancellation.signal]) }, { highWaterMark: READ_AHEAD_BYTES })
      // Cancelling emits an error on the body, which the caller that cancelled it expects.
      response.body.on('error', () => undefined)
      return success({ status: response.statusCode, headers: response.headers, pieces: response.body, cancel: () => { cancellation.abort() } })
    } catch (error) {
      return toFailure(error)
    } finally {
      if (request.ownConnection) (dispatcher as Client).close().catch(() => undefined)
    }
  }

  retireConnections (address: string, minAgeMs: number = 0): void {
    this.connections.retireIfOlderThan(`http://${address}`, minAgeMs)
  }

  async listens (address: string): Promise<Listening> {
    const { hostname, port } = new URL(`http://${address}`)
    return await new Promise((resolve) => {
      const socket = connect({ host: hostname, port: Number(port), timeout: LISTEN_PROBE_TIMEOUT_MS })
      const finish = (listening: Listening): void => {
        socket.destroy()
        resolve(listening)
      }
      socket.once('connect', () => { finish('yes') })
      socket.once('timeout', () => { finish('unknown') })
      socket.once('error', (error) => { finish(isConnectionRefused(error) ? 'no' : 'unknown') })
    })
  }

  private dispatcher ({ address, ownConnection }: TargetRequest): Dispatcher {
    const origin = `http://${address}`
    if (!ownConnection) return this.connections.poolFor(origin)
    return new Client(origin, { connect: createConnector(this.settings.connectTimeoutMs), maxResponseSize: this.settings.maximumAnswerBytes })
  }

  private async send (dispatcher: Dispatcher, { method, path, headers, body, signal }: TargetRequest, options: { readonly highWaterMark?: number } = {}): Promise<Dispatcher.ResponseData> {
    return await dispatcher.request({ method: method as Dispatcher.HttpMethod, path, headers: [...headers], body: body ?? null, signal, ...options })
  }
}

function toFailure (error: unknown): Result<never> {
  return isNeverSent(error) ? failure('targetUnreachable', String(error)) : failure('unknownOutcome', String(error))
}
