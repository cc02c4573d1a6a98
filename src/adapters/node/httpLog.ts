/**
 * Accesses the platform's log over HTTP (docs/PORTS.md): `POST /streams/NAME` appends the body as an
 * entry, `GET /streams/NAME?from=&max=&wait_ms=` reads entries.
 */

import { z } from 'zod'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { Log, LogPage, ReadOptions, StreamName } from '../../ports/common/log.ts'
import type { ConnectionPools } from './connectionPools.ts'
import { isNeverSent, isTimeoutError } from './connectionPools.ts'

/** Delay before an append is repeated that exceeded the log's limit per second. */
const RATE_LIMIT_RETRY_AFTER_MS = 200

const appendedSchema = z.object({ offset: z.number().int().nonnegative() })
const pageSchema = z.object({
  first: z.number().int().nonnegative(),
  end: z.number().int().nonnegative(),
  entries: z.array(z.object({ offset: z.number().int().nonnegative(), data: z.string() }))
})

export class HttpLog implements Log {
  constructor (private readonly address: string, private readonly connections: ConnectionPools, private readonly timeoutMs: number) {}

  async append (stream: StreamName, data: string): Promise<Result<number>> {
    const response = await this.request('POST', `/streams/${stream}`, this.timeoutMs, data)
    if (!response.ok) return response
    if (response.value.status === 429) return failure('logUnavailable', 'the log has reached its append rate limit', { retryAfterMs: RATE_LIMIT_RETRY_AFTER_MS })
    if (response.value.status === 503) return failure('logUnavailable', 'the log is temporarily unavailable (status 503)')
    const body = response.value.status === 201 ? appendedSchema.safeParse(parseJson(response.value.text)) : undefined
    return body?.success === true ? success(body.data.offset) : failure('commandUnknown', `the log responded with status ${response.value.status}`)
  }

  async read (stream: StreamName, from: number, { maximumEntries, waitMs }: ReadOptions): Promise<Result<LogPage>> {
    const path = `/streams/${stream}?from=${from}&max=${maximumEntries}&wait_ms=${waitMs}`
    const response = await this.request('GET', path, this.timeoutMs + waitMs)
    if (!response.ok) return failure('logUnavailable', response.message)
    const body = response.value.status === 200 ? pageSchema.safeParse(parseJson(response.value.text)) : undefined
    return body?.success === true ? success(body.data) : failure('logUnavailable', `the log responded with status ${response.value.status}`)
  }

  private async request (method: 'GET' | 'POST', path: string, timeoutMs: number, body?: string): Promise<Result<{ status: number, text: string }>> {
    const pool = this.connections.poolFor(this.address)
    try {
      const response = await pool.request({ method, path, body: body ?? null, signal: AbortSignal.timeout(timeoutMs) })
      return success({ status: response.statusCode, text: await response.body.text() })
    } catch (error) {
      if (isTimeoutError(error)) this.connections.retire(this.address, pool)
      return isNeverSent(error) ? failure('logUnavailable', String(error)) : failure('commandUnknown', String(error))
    }
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
