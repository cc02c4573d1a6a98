/** A request at the address for callers and its response, with size-limited body reading and numbered errors. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, failureBody, resultCodes, success } from '../../../base/common/resultCode.ts'
import type { FrontProtocol } from '../../../ports/common/protocols.ts'
import type { RequestTarget } from '../requestTarget.ts'
import { parseRequestTarget } from '../requestTarget.ts'

/** Retry delay for failures that do not set one. */
const DEFAULT_RETRY_AFTER_MS = 300

/** Limits the total size of request bodies in memory, as many large bodies at once could exhaust it. */
export class ByteBudget {
  private held = 0

  constructor (private readonly maximumBytes: number) {}

  /** Adds bytes to the total and returns whether it is within the limit. The bytes count until they are freed. */
  reserve (bytes: number): boolean {
    this.held += bytes
    return this.held <= this.maximumBytes
  }

  free (bytes: number): void {
    this.held -= bytes
  }
}

export class FrontExchange {
  /** Aborted when the caller disconnects before the response is complete. */
  readonly disconnectSignal: AbortSignal
  readonly method: string
  readonly target: Result<RequestTarget>
  private isDispatched = false

  constructor (readonly request: IncomingMessage, readonly response: ServerResponse, private readonly protocol: FrontProtocol, private readonly onFailure: (failed: Failure) => void = () => undefined) {
    const abort = new AbortController()
    this.disconnectSignal = abort.signal
    response.once('close', () => { if (!response.writableFinished) abort.abort() })
    this.method = request.method ?? 'GET'
    this.target = parseRequestTarget(request.url)
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
    return this.request.headers['transfer-encoding'] !== undefined || Number(this.request.headers['content-length'] ?? 0) > 0
  }

  /** Reads the whole body, up to a limit. Its bytes count towards the budget until the response closes. */
  async readBody (maximumBytes: number, budget: ByteBudget): Promise<Result<Uint8Array>> {
    if (Number(this.request.headers['content-length'] ?? 0) > maximumBytes) return bodyTooLarge(maximumBytes)
    const chunks: Buffer[] = []
    let size = 0
    this.response.once('close', () => { budget.free(size) })
    try {
      for await (const chunk of this.request as AsyncIterable<Buffer>) {
        size += chunk.length
        const fits = budget.reserve(chunk.length)
        if (size > maximumBytes) return bodyTooLarge(maximumBytes)
        if (!fits) return failure('overloaded', 'the limit of this host on buffered request bodies is reached')
        chunks.push(chunk)
      }
    } catch (error) {
      return failure('tooSlow', `the request body did not arrive completely: ${String(error)}`)
    }
    return success(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks))
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

function bodyTooLarge (maximumBytes: number): Failure {
  return failure('tooLarge', `the request body exceeds the limit of ${maximumBytes} bytes`)
}
