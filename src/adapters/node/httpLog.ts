/**
 * The platform's log over HTTP (docs/PORTS.md): `POST /streams/NAME` appends the body as an entry,
 * `GET /streams/NAME?from=&max=&wait_ms=` reads.
 */

import { z } from 'zod'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { Log, LogPage, ReadOptions, StreamName } from '../../ports/common/log.ts'
import type { Connections } from './connections.ts'
import { neverSent, wentSilent } from './connections.ts'

/** Pause after the log refused an append because of its limit a second, in milliseconds. */
const LIMIT_PAUSE_MS = 200

const appended = z.object({ offset: z.number().int().nonnegative() })
const page = z.object({
  first: z.number().int().nonnegative(),
  end: z.number().int().nonnegative(),
  entries: z.array(z.object({ offset: z.number().int().nonnegative(), data: z.string() }))
})

export class HttpLog implements Log {
  constructor (private readonly address: string, private readonly connections: Connections, private readonly timeoutMs: number) {}

  async append (stream: StreamName, data: string): Promise<Result<number>> {
    const answer = await this.request('POST', `/streams/${stream}`, this.timeoutMs, data)
    if (!answer.ok) return answer
    if (answer.value.status === 429) return failure('logUnavailable', 'the log is at its limit of appends', { retryAfterMs: LIMIT_PAUSE_MS })
    if (answer.value.status === 503) return failure('logUnavailable', 'the log takes no entries now')
    const body = answer.value.status === 201 ? appended.safeParse(parse(answer.value.text)) : undefined
    return body?.success === true ? success(body.data.offset) : failure('commandUnknown', `the log answered ${answer.value.status}`)
  }

  async read (stream: StreamName, from: number, { maximumEntries, waitMs }: ReadOptions): Promise<Result<LogPage>> {
    const path = `/streams/${stream}?from=${from}&max=${maximumEntries}&wait_ms=${waitMs}`
    const answer = await this.request('GET', path, this.timeoutMs + waitMs)
    if (!answer.ok) return failure('logUnavailable', answer.message)
    const body = answer.value.status === 200 ? page.safeParse(parse(answer.value.text)) : undefined
    return body?.success === true ? success(body.data) : failure('logUnavailable', `the log answered ${answer.value.status}`)
  }

  private async request (method: 'GET' | 'POST', path: string, timeoutMs: number, body?: string): Promise<Result<{ status: number, text: string }>> {
    const pool = this.connections.to(this.address)
    try {
      const answer = await pool.request({ method, path, body: body ?? null, signal: AbortSignal.timeout(timeoutMs) })
      return success({ status: answer.statusCode, text: await answer.body.text() })
    } catch (error) {
      if (wentSilent(error)) this.connections.suspect(this.address, pool)
      return neverSent(error) ? failure('logUnavailable', String(error)) : failure('commandUnknown', String(error))
    }
  }
}

function parse (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
