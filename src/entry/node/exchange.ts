/** A request and its response, with size-limited body reading and JSON responses and errors. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { z } from 'zod'
import type { Failure, Result } from '../../base/common/resultCode.ts'
import { failure, failureBody, resultCodes, success } from '../../base/common/resultCode.ts'
import { jitterRetryAfter } from '../../core/common/requests/retryPolicy.ts'
import type { RandomSource } from '../../ports/common/clock.ts'
import type { Identity } from '../common/identity.ts'
import type { RequestBody } from './requestBody.ts'

/** Retry delay for rejections that do not set one. */
const DEFAULT_RETRY_AFTER_MS = 500

export interface ExchangeOptions {
  readonly chance: RandomSource
  /** Addresses of other hosts to try, included in rejections. */
  readonly alternatives: () => string[]
  /** Whether this host is stopping. Connections are then closed after the response. */
  readonly leaving: () => boolean
}

export class Exchange {
  /** Aborted when the client disconnects before the response is complete. */
  readonly disconnectSignal: AbortSignal

  constructor (
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    readonly parameters: Readonly<Record<string, string>>,
    readonly query: URLSearchParams,
    readonly identity: Identity | undefined,
    private readonly body: RequestBody | undefined,
    private readonly options: ExchangeOptions
  ) {
    const abort = new AbortController()
    this.disconnectSignal = abort.signal
    response.once('close', () => {
      body?.release()
      if (!response.writableFinished) abort.abort()
    })
  }

  header (name: string): string | undefined {
    const value = this.request.headers[name]
    return Array.isArray(value) ? value[0] : value
  }

  /** Name of the caller, trainer or operator. */
  get callerName (): string {
    return this.identity === undefined || this.identity.type === 'peer' ? '' : this.identity.name
  }

  /** Resolves with the whole body. */
  async readText (): Promise<Result<string>> {
    const body = await this.body?.read() ?? success(new Uint8Array())
    if (body.ok) return success(Buffer.from(body.value.buffer, body.value.byteOffset, body.value.byteLength).toString('utf8'))
    // The rest of such a body is not read or does not arrive.
    if (body.code === 'tooLarge' || body.code === 'tooSlow') this.response.setHeader('connection', 'close')
    return body
  }

  /** Reads a JSON body and validates it against a schema. */
  async readJson<Schema extends z.ZodType> (schema: Schema): Promise<Result<z.infer<Schema>>> {
    const text = await this.readText()
    if (!text.ok) return text
    let parsed: unknown
    try {
      parsed = JSON.parse(text.value)
    } catch (error) {
      return failure('malformed', `the request body is not valid JSON: ${(error as Error).message}`)
    }
    const checked = schema.safeParse(parsed)
    if (checked.success) return success(checked.data)
    return failure('malformed', checked.error.issues.map((issue) => `${issue.path.join('.') || 'body'}: ${issue.message}`).join('; '))
  }

  sendJson (status: number, body: unknown, headers: Record<string, string> = {}): void {
    this.send(status, 'application/json', JSON.stringify(body), headers)
  }

  send (status: number, contentType: string, body: string, headers: Record<string, string> = {}): void {
    if (this.response.headersSent) return
    this.response.writeHead(status, { 'content-type': contentType, 'content-length': Buffer.byteLength(body), ...this.connectionHeader(), ...headers })
    this.response.end(body)
  }

  /** Sends a failure with its error number, the retry delay and alternative hosts. */
  sendFailure (failed: Failure): void {
    const advisedFailure = this.withRetryAdvice(failed)
    const retryAfter: Record<string, string> = advisedFailure.retryAfterMs === undefined ? {} : { 'retry-after': String(Math.max(1, Math.ceil(advisedFailure.retryAfterMs / 1000))) }
    this.sendJson(resultCodes[failed.code].status, failureBody(advisedFailure), retryAfter)
  }

  /** Adds a retry delay and alternative hosts to a failure of a request that was not executed. */
  withRetryAdvice (failed: Failure): Failure {
    if (resultCodes[failed.code].effect !== 'not-run') return failed
    return {
      ...failed,
      retryAfterMs: jitterRetryAfter(failed.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS, this.options.chance),
      alternatives: failed.alternatives ?? this.options.alternatives()
    }
  }

  connectionHeader (): Record<string, string> {
    return this.options.leaving() ? { connection: 'close' } : {}
  }
}
