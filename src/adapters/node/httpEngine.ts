/**
 * Accesses model engines over HTTP (docs/PORTS.md): completions as server-sent events, each with the
 * weight version that produced it; reports of load and version; orders with a fencing token.
 */

import { createParser } from 'eventsource-parser'
import type { Dispatcher, Pool } from 'undici'
import { z } from 'zod'
import { isFinalStatus } from '../../base/common/httpStatus.ts'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import { MAX_EVENT_BYTES } from '../../core/common/streams/eventReader.ts'
import type { CompletionPart, CompletionRequest, CompletionStream, Engine, EngineOrder, EngineReport } from '../../ports/common/targets.ts'
import { StreamBrokenError } from '../../ports/common/targets.ts'
import type { ConnectionPools } from './connectionPools.ts'
import { isNeverSent, isTimeoutError } from './connectionPools.ts'

const reportSchema = z.object({ weight_version: z.number().int(), running: z.number(), queued: z.number(), leaving: z.boolean() })

/** Data of the event that ends a stream. */
const END_OF_STREAM = '[DONE]'

/** Event of a completion. It is validated by hand instead of by a schema because it arrives every few tokens. */
interface CompletionEvent {
  readonly id: string
  readonly choices: readonly { readonly text: string, readonly finish_reason: string | null }[]
  readonly weight_version: number
  readonly tokens: number
}

export class HttpEngine implements Engine {
  constructor (private readonly connections: ConnectionPools, private readonly orderTimeoutMs: number) {}

  async complete (address: string, request: CompletionRequest): Promise<Result<CompletionStream>> {
    const pool = this.connections.poolFor(address)
    const abort = new AbortController()
    try {
      const response = await pool.request({
        method: 'POST',
        path: '/v1/completions',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(completionBody(request)),
        signal: abort.signal
      })
      if (response.statusCode !== 200) return await failureForResponse(response)
      const parts = this.parts(address, pool, response.body, request.requestId)
      return success({ parts, cancel: () => { abort.abort() } })
    } catch (error) {
      if (isTimeoutError(error)) this.connections.retire(address, pool)
      return isNeverSent(error) ? failure('targetUnreachable', String(error)) : failure('unknownOutcome', String(error))
    }
  }

  async report (address: string): Promise<Result<EngineReport>> {
    const response = await this.exchange(address, 'GET', '/v1/load')
    if (!response.ok) return response
    const parsed = reportSchema.safeParse(response.value.body)
    if (!parsed.success) return failure('unknownOutcome', 'the report of the engine cannot be parsed')
    const { weight_version: version, running, queued, leaving } = parsed.data
    return success({ version, running, queued, leaving })
  }

  async order (address: string, order: EngineOrder, fence: number): Promise<Result<void>> {
    const body = { order: 'load_weights', version: order.version, fence }
    const response = await this.exchange(address, 'POST', '/v1/orders', body)
    if (!response.ok) return response
    switch (response.value.status) {
      case 200: return success(undefined)
      case 409: return failure('revisionConflict', 'the engine has seen a newer fencing token')
      case 429: return failure('targetRefused', 'the weight store has reached its rate limit', { retryAfterMs: 500 })
      default: return failure('unknownOutcome', `the engine responded with status ${response.value.status}`)
    }
  }

  private async exchange (address: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Result<{ status: number, body: unknown }>> {
    const pool = this.connections.poolFor(address)
    try {
      const response = await pool.request({
        method,
        path,
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(this.orderTimeoutMs)
      })
      return success({ status: response.statusCode, body: await response.body.json() })
    } catch (error) {
      if (isTimeoutError(error)) this.connections.retire(address, pool)
      return isNeverSent(error) ? failure('targetUnreachable', String(error)) : failure('unknownOutcome', String(error))
    }
  }

  private async * parts (address: string, pool: Pool, body: AsyncIterable<Uint8Array>, requestId: string): AsyncGenerator<CompletionPart> {
    const pending: CompletionPart[] = []
    const parser = createParser({
      maxBufferSize: MAX_EVENT_BYTES,
      onEvent: ({ data }) => { if (data !== END_OF_STREAM) pending.push(readPart(data, requestId)) },
      onError: (error) => { if (error.type === 'max-buffer-size-exceeded') throw new StreamBrokenError(error.message) }
    })
    const decoder = new TextDecoder()
    try {
      for await (const chunk of body) {
        parser.feed(decoder.decode(chunk, { stream: true }))
        for (const part of pending.splice(0)) {
          yield part
          if (part.finished) return
        }
      }
    } catch (error) {
      if (isTimeoutError(error)) this.connections.retire(address, pool)
      throw error instanceof StreamBrokenError ? error : new StreamBrokenError(String(error))
    }
    throw new StreamBrokenError('the stream ended before its last part')
  }
}

function completionBody (request: CompletionRequest): object {
  return {
    id: request.requestId,
    prompt: request.prompt,
    max_tokens: request.maximumTokens,
    priority: request.priority,
    stream: true,
    ...(request.resume === undefined ? {} : { resume: request.resume })
  }
}

/** Decodes one event. An event that belongs to another request is rejected and must never be forwarded. */
function readPart (data: string, requestId: string): CompletionPart {
  let event: CompletionEvent
  try {
    event = JSON.parse(data) as CompletionEvent
  } catch {
    throw new StreamBrokenError('an event of the stream is not valid JSON')
  }
  const choice = event.choices?.[0]
  const isComplete = choice !== undefined && typeof choice.text === 'string' && Number.isInteger(event.weight_version) && Number.isInteger(event.tokens)
  if (!isComplete) throw new StreamBrokenError('an event of the stream lacks its text, version or token count')
  if (event.id !== requestId) throw new StreamBrokenError('an event of the stream belongs to another request')
  return { raw: data, text: choice.text, tokens: event.tokens, version: event.weight_version, finished: choice.finish_reason !== null }
}

async function failureForResponse (response: Dispatcher.ResponseData): Promise<Result<never>> {
  const text = await response.body.text()
  const isRefused = isFinalStatus(response.statusCode) && response.headers['x-not-run'] === 'true'
  return isRefused
    ? failure('targetRefused', `the engine refused the request with status ${response.statusCode}`)
    : failure('unknownOutcome', `the engine responded with status ${response.statusCode}: ${text.slice(0, 200)}`)
}
