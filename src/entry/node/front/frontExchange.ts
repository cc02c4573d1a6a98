/** One request at the callers' address: bounded reading of its body, and numbered failures. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, failureBody, resultCodes, success } from '../../../base/common/resultCode.ts'
import type { FrontProtocol } from '../../../ports/common/protocols.ts'

/** When to come back where a failure does not say, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 300

/** Bytes of bodies that a host holds at once: many large ones together would take more memory than it has. */
export class ByteBudget {
  private held = 0

  constructor (private readonly maximumBytes: number) {}

  /** Counts bytes that are held; false if there are too many. They count until they are given back. */
  take (bytes: number): boolean {
    this.held += bytes
    return this.held <= this.maximumBytes
  }

  giveBack (bytes: number): void {
    this.held -= bytes
  }
}

export class FrontExchange {
  /** Aborted when the caller goes away before it has its answer. */
  readonly gone: AbortSignal
  readonly method: string
  readonly path: string
  readonly query: URLSearchParams

  constructor (readonly request: IncomingMessage, readonly response: ServerResponse, private readonly protocol: FrontProtocol, private readonly onFailure: (failed: Failure) => void = () => undefined) {
    const abort = new AbortController()
    this.gone = abort.signal
    response.once('close', () => { if (!response.writableFinished) abort.abort() })
    this.method = request.method ?? 'GET'
    const url = request.url ?? '/'
    const mark = url.indexOf('?')
    this.path = mark < 0 ? url : url.slice(0, mark)
    this.query = new URLSearchParams(mark < 0 ? '' : url.slice(mark + 1))
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

  /** Reads the whole body, up to a limit; what it holds counts in the budget until the answer has ended. */
  async body (maximumBytes: number, budget: ByteBudget): Promise<Result<Uint8Array>> {
    if (Number(this.request.headers['content-length'] ?? 0) > maximumBytes) return tooLarge(maximumBytes)
    const pieces: Buffer[] = []
    let size = 0
    this.response.once('close', () => { budget.giveBack(size) })
    try {
      for await (const piece of this.request as AsyncIterable<Buffer>) {
        size += piece.length
        const fits = budget.take(piece.length)
        if (size > maximumBytes) return tooLarge(maximumBytes)
        if (!fits) return failure('overloaded', 'this host holds as many bytes of requests as it may')
        pieces.push(piece)
      }
    } catch (error) {
      return failure('tooSlow', `the body did not arrive in full: ${String(error)}`)
    }
    return success(pieces.length === 1 && pieces[0] !== undefined ? pieces[0] : Buffer.concat(pieces))
  }

  send (status: number, headers: Record<string, string | string[]>, body: Uint8Array | string): void {
    if (this.response.headersSent || this.response.destroyed) return
    this.response.writeHead(status, { ...headers, 'content-length': Buffer.byteLength(body) })
    this.response.end(this.method === 'HEAD' ? undefined : body)
  }

  /**
   * Sends a failure; the status says whether the request has run.
   * @param told whether the log has a line on it already
   */
  fail (failed: Failure, told = false): void {
    if (!told) this.onFailure(failed)
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

function tooLarge (maximumBytes: number): Failure {
  return failure('tooLarge', `a body may have ${maximumBytes} bytes`)
}
