/** Requests to targets over undici: kept connections, or one of its own for what must not run twice. */

import { connect } from 'node:net'
import { Client } from 'undici'
import type { Dispatcher } from 'undici'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { Listening, TargetAnswer, TargetClient, TargetRequest, TargetStream } from '../../ports/common/targetClient.ts'
import type { Connections } from './connections.ts'
import { connector, neverSent, refusedConnection } from './connections.ts'

/** Longest wait for a connection that only asks whether anybody listens, in milliseconds: who waits for the answer has a request to send elsewhere. */
const LISTENING_MS = 100

/** Bytes that are read ahead of whoever takes a stream. */
const READ_AHEAD_BYTES = 16_384

export interface TargetClientSettings {
  /** Longest time for a connection to open, in milliseconds. */
  readonly connectTimeoutMs: number
  /** Bytes of a whole answer, at most. */
  readonly maximumAnswerBytes: number
}

export class HttpTargetClient implements TargetClient {
  constructor (private readonly connections: Connections, private readonly settings: TargetClientSettings) {}

  async exchange (request: TargetRequest): Promise<Result<TargetAnswer>> {
    const dispatcher = this.dispatcher(request)
    try {
      const answer = await this.send(dispatcher, request)
      const body = await answer.body.bytes()
      if (request.ownConnection) dispatcher.close().catch(() => undefined)
      return success({ status: answer.statusCode, headers: answer.headers, body })
    } catch (error) {
      // A client that is only closed connects again after an aborted request, to send nothing.
      if (request.ownConnection) dispatcher.destroy().catch(() => undefined)
      return failed(error)
    }
  }

  async open (request: TargetRequest): Promise<Result<TargetStream>> {
    const dispatcher = this.dispatcher(request)
    const end = new AbortController()
    try {
      const answer = await this.send(dispatcher, { ...request, signal: AbortSignal.any([request.signal, end.signal]) }, { highWaterMark: READ_AHEAD_BYTES })
      // A cancelled body reports its end as an error; whoever cancelled it knows.
      answer.body.on('error', () => undefined)
      return success({ status: answer.statusCode, headers: answer.headers, pieces: answer.body, cancel: () => { end.abort() } })
    } catch (error) {
      return failed(error)
    } finally {
      if (request.ownConnection) (dispatcher as Client).close().catch(() => undefined)
    }
  }

  distrust (address: string, youngMs: number = 0): void {
    this.connections.suspectOlder(`http://${address}`, youngMs)
  }

  async listens (address: string): Promise<Listening> {
    const { hostname, port } = new URL(`http://${address}`)
    return await new Promise((resolve) => {
      const socket = connect({ host: hostname, port: Number(port), timeout: LISTENING_MS })
      const end = (listening: Listening): void => {
        socket.destroy()
        resolve(listening)
      }
      socket.once('connect', () => { end('yes') })
      socket.once('timeout', () => { end('unknown') })
      socket.once('error', (error) => { end(refusedConnection(error) ? 'no' : 'unknown') })
    })
  }

  private dispatcher ({ address, ownConnection }: TargetRequest): Dispatcher {
    const origin = `http://${address}`
    if (!ownConnection) return this.connections.to(origin)
    return new Client(origin, { connect: connector(this.settings.connectTimeoutMs), maxResponseSize: this.settings.maximumAnswerBytes })
  }

  private async send (dispatcher: Dispatcher, { method, path, headers, body, signal }: TargetRequest, bounds: { readonly highWaterMark?: number } = {}): Promise<Dispatcher.ResponseData> {
    return await dispatcher.request({ method: method as Dispatcher.HttpMethod, path, headers: [...headers], body: body ?? null, signal, ...bounds })
  }
}

function failed (error: unknown): Result<never> {
  return neverSent(error) ? failure('targetUnreachable', String(error)) : failure('unknownOutcome', String(error))
}
