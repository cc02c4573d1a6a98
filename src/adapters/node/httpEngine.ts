/**
 * Model engines over HTTP (docs/PORTS.md): completions as server-sent events, each with the weight
 * version that produced it; a report of load and version; orders with a fencing number.
 */

import { createParser } from 'eventsource-parser'
import type { Dispatcher, Pool } from 'undici'
import { z } from 'zod'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { CompletionPart, CompletionRequest, CompletionStream, Engine, EngineOrder, EngineReport } from '../../ports/common/targets.ts'
import { StreamBroken } from '../../ports/common/targets.ts'
import type { Connections } from './connections.ts'
import { neverSent, wentSilent } from './connections.ts'

const report = z.object({ weight_version: z.number().int(), running: z.number(), queued: z.number(), leaving: z.boolean() })

/** What engines send after the last event. */
const END_OF_STREAM = '[DONE]'

/** Event of a completion; checked by hand, as it comes once per few tokens. */
interface CompletionEvent {
  readonly id: string
  readonly choices: readonly { readonly text: string, readonly finish_reason: string | null }[]
  readonly weight_version: number
  readonly tokens: number
}

export class HttpEngine implements Engine {
  constructor (private readonly connections: Connections, private readonly orderTimeoutMs: number) {}

  async complete (address: string, request: CompletionRequest): Promise<Result<CompletionStream>> {
    const pool = this.connections.to(address)
    const abort = new AbortController()
    try {
      const answer = await pool.request({
        method: 'POST',
        path: '/v1/completions',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(completionBody(request)),
        signal: abort.signal
      })
      if (answer.statusCode !== 200) return await refusal(answer)
      const parts = this.parts(address, pool, answer.body, request.requestId)
      return success({ parts, cancel: () => { abort.abort() } })
    } catch (error) {
      if (wentSilent(error)) this.connections.suspect(address, pool)
      return neverSent(error) ? failure('targetUnreachable', String(error)) : failure('unknownOutcome', String(error))
    }
  }

  async report (address: string): Promise<Result<EngineReport>> {
    const answer = await this.exchange(address, 'GET', '/v1/load')
    if (!answer.ok) return answer
    const parsed = report.safeParse(answer.value.body)
    if (!parsed.success) return failure('unknownOutcome', 'the report cannot be read')
    const { weight_version: version, running, queued, leaving } = parsed.data
    return success({ version, running, queued, leaving })
  }

  async order (address: string, order: EngineOrder, fence: number): Promise<Result<void>> {
    const body = { order: 'load_weights', version: order.version, fence }
    const answer = await this.exchange(address, 'POST', '/v1/orders', body)
    if (!answer.ok) return answer
    switch (answer.value.status) {
      case 200: return success(undefined)
      case 409: return failure('revisionConflict', 'the engine knows a newer fencing number')
      case 429: return failure('targetRefused', 'the weight store is at its limit', { retryAfterMs: 500 })
      default: return failure('unknownOutcome', `the engine answered ${answer.value.status}`)
    }
  }

  private async exchange (address: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Result<{ status: number, body: unknown }>> {
    const pool = this.connections.to(address)
    try {
      const answer = await pool.request({
        method,
        path,
        headers: { 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(this.orderTimeoutMs)
      })
      return success({ status: answer.statusCode, body: await answer.body.json() })
    } catch (error) {
      if (wentSilent(error)) this.connections.suspect(address, pool)
      return neverSent(error) ? failure('targetUnreachable', String(error)) : failure('unknownOutcome', String(error))
    }
  }

  private async * parts (address: string, pool: Pool, body: AsyncIterable<Uint8Array>, requestId: string): AsyncGenerator<CompletionPart> {
    const ready: CompletionPart[] = []
    const parser = createParser({ onEvent: ({ data }) => { if (data !== END_OF_STREAM) ready.push(readPart(data, requestId)) } })
    const decoder = new TextDecoder()
    try {
      for await (const chunk of body) {
        parser.feed(decoder.decode(chunk, { stream: true }))
        for (const part of ready.splice(0)) {
          yield part
          if (part.finished) return
        }
      }
    } catch (error) {
      if (wentSilent(error)) this.connections.suspect(address, pool)
      throw error instanceof StreamBroken ? error : new StreamBroken(String(error))
    }
    throw new StreamBroken('the stream ended before its last part')
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

/** Reads one event; an answer to another request than ours must never be passed on. */
function readPart (data: string, requestId: string): CompletionPart {
  let event: CompletionEvent
  try {
    event = JSON.parse(data) as CompletionEvent
  } catch {
    throw new StreamBroken('an event cannot be read')
  }
  const choice = event.choices?.[0]
  const whole = choice !== undefined && typeof choice.text === 'string' && Number.isInteger(event.weight_version) && Number.isInteger(event.tokens)
  if (!whole) throw new StreamBroken('an event lacks its text, version or token count')
  if (event.id !== requestId) throw new StreamBroken('an event belongs to another request')
  return { raw: data, text: choice.text, tokens: event.tokens, version: event.weight_version, finished: choice.finish_reason !== null }
}

async function refusal (answer: Dispatcher.ResponseData): Promise<Result<never>> {
  const text = await answer.body.text()
  const refused = answer.headers['x-not-run'] === 'true'
  return refused
    ? failure('targetRefused', `the engine refused: ${answer.statusCode}`)
    : failure('unknownOutcome', `the engine answered ${answer.statusCode}: ${text.slice(0, 200)}`)
}
