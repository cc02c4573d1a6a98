/** One request and its response: bounded reading of the body, answers and failures as JSON. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { z } from 'zod'
import type { Failure, Result } from '../../base/common/resultCode.ts'
import { failure, failureBody, resultCodes, success } from '../../base/common/resultCode.ts'
import { jitterRetryAfter } from '../../core/common/requests/retryPolicy.ts'
import type { Chance } from '../../ports/common/clock.ts'
import type { Identity } from '../common/identity.ts'

/** Codes after which trying again makes sense; the failure's own time goes first. */
const DEFAULT_RETRY_AFTER_MS = 500

export interface ExchangeOptions {
  readonly maximumBodyBytes: number
  readonly chance: Chance
  /** Addresses of other hosts, for refusals. */
  readonly alternatives: () => string[]
  /** True once this host is about to exit: connections are not kept. */
  readonly leaving: () => boolean
}

export class Exchange {
  /** Aborted when the other end goes away before the answer is whole. */
  readonly gone: AbortSignal

  constructor (
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    readonly parameters: Readonly<Record<string, string>>,
    readonly query: URLSearchParams,
    readonly identity: Identity | undefined,
    private readonly options: ExchangeOptions
  ) {
    const abort = new AbortController()
    this.gone = abort.signal
    response.once('close', () => { if (!response.writableFinished) abort.abort() })
  }

  header (name: string): string | undefined {
    const value = this.request.headers[name]
    return Array.isArray(value) ? value[0] : value
  }

  /** Name of the caller, trainer or operator. */
  get callerName (): string {
    return this.identity === undefined || this.identity.type === 'peer' ? '' : this.identity.name
  }

  /** Reads the body, up to a limit. */
  async text (maximumBytes: number = this.options.maximumBodyBytes): Promise<Result<string>> {
    const declared = Number(this.header('content-length') ?? 0)
    if (declared > maximumBytes) return this.tooLarge(maximumBytes)
    const chunks: Buffer[] = []
    let size = 0
    try {
      for await (const chunk of this.request as AsyncIterable<Buffer>) {
        size += chunk.length
        if (size > maximumBytes) return this.tooLarge(maximumBytes)
        chunks.push(chunk)
      }
    } catch {
      return failure('tooSlow', 'the body did not arrive in full')
    }
    return success(Buffer.concat(chunks).toString('utf8'))
  }

  /** Reads a JSON body and checks it. */
  async json<Schema extends z.ZodType> (schema: Schema): Promise<Result<z.infer<Schema>>> {
    const text = await this.text()
    if (!text.ok) return text
    let parsed: unknown
    try {
      parsed = JSON.parse(text.value)
    } catch (error) {
      return failure('malformed', `the body is not JSON: ${(error as Error).message}`)
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

  /** Sends a failure with its number, when to come back, and where else to go. */
  sendFailure (failed: Failure): void {
    const complete = this.complete(failed)
    const retryAfter: Record<string, string> = complete.retryAfterMs === undefined ? {} : { 'retry-after': String(Math.max(1, Math.ceil(complete.retryAfterMs / 1000))) }
    this.sendJson(resultCodes[failed.code].status, failureBody(complete), retryAfter)
  }

  /** Adds to a refusal what every refusal carries. */
  complete (failed: Failure): Failure {
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

  /** What is left of an oversized body is not read; the connection ends after the answer. */
  private tooLarge (maximumBytes: number): Failure {
    this.response.setHeader('connection', 'close')
    return failure('tooLarge', `a body has at most ${maximumBytes} bytes`)
  }
}
