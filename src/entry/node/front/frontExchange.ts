/** A request at the address for callers and its response, with size-limited body reading and numbered errors. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, failureBody, resultCodes, success } from '../../../base/common/resultCode.ts'
import type { FrontProtocol } from '../../../ports/common/protocols.ts'
import type { RequestBody } from '../requestBody.ts'
import { hasBody } from '../requestBody.ts'
import type { RequestTarget } from '../requestTarget.ts'
import { parseRequestTarget } from '../requestTarget.ts'

/** Retry delay for failures that do not set one. */
const DEFAULT_RETRY_AFTER_MS = 300

export class FrontExchange {
  /** Aborted when the caller disconnects before the response is complete. */
  readonly disconnectSignal: AbortSignal
  readonly method: string
  readonly target: Result<RequestTarget>
  private isDispatched = false

  constructor (readonly request: IncomingMessage, readonly response: ServerResponse, private readonly protocol: FrontProtocol, private readonly body: RequestBody | undefined, private readonly onFailure: (failed: Failure) => void = () => undefined) {
    const abort = new AbortController()
    this.disconnectSignal = abort.signal
    response.once('close', () => { if (!response.writableFinished) abort.abort() })
    this.method = request.method ?? 'GET'
    this.target = parseRequestTarget(request.url)
    response.once('close', () => { body?.release() })
  }

  /** Notes that the request may run from now on. */
  markDispatched (): void {
    this.isDispatched = true
  }

  /** Path as sent, or the whole target if it cannot be parsed. */
  get path (): string {
    return this.target.ok ? this.target.value.path : this.request.url ?? ''
  }

  get host (): string {
    return this.request.headers.host ?? ''
  }

  get headers (): Record<string, string | undefined> {
    return this.request.headers as Record<string, string | undefined>
  }

  get hasBody (): boolean {
    return hasBody(this.request)
  }

  /** Resolves with the whole body. Its memory is released when the response closes. */
  async readBody (): Promise<Result<Uint8Array>> {
    const body = await this.body?.read() ?? success(new Uint8Array())
    // The rest of such a body is not going to arrive.
    if (!body.ok && body.code === 'tooSlow') this.response.shouldKeepAlive = false
    return body
  }

  /** Releases what a request occupies that is not going to be served. */
  discard (): void {
    this.body?.release()
  }

  send (status: number, headers: Record<string, string | string[]>, body: Uint8Array | string): void {
    if (this.response.headersSent || this.response.destroyed) return
    this.response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) })
    this.response.end(this.method === 'HEAD' ? undefined : body)
  }

  /** Answers a request that this host cannot finish because it stops. A response whose head has been sent stays as it is. */
  sendStopped (): void {
    if (this.response.headersSent) return
    this.sendFailure(this.isDispatched
      ? failure('unknownOutcome', 'this host stopped before it could finish the request')
      : failure('leaving', 'this host stops', { retryAfterMs: 0 }))
  }

  /**
   * Sends a failure. The status code indicates whether the request may have been executed.
   * @param logged whether the failure has already been logged
   */
  sendFailure (failed: Failure, logged = false): void {
    if (!logged) this.onFailure(failed)
    if (failed.code === 'cancelled') {
      this.response.destroy()
      return
    }
    const entry = resultCodes[failed.code]
    const notRun = entry.effect === 'not-run'
    const status = notRun ? 503 : entry.status
    const retryAfterMs = notRun ? failed.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS : failed.retryAfterMs
    this.send(status, this.protocol.failureHeaders(retryAfterMs), JSON.stringify(failureBody(failed)))
  }
}
