/**
 * Accesses plain services, scorers and the host list over HTTP (docs/PORTS.md). A service that refuses
 * a call before running it sets the header `x-not-run: true`; without this header a failed call has an
 * unknown outcome.
 */

import type { Dispatcher } from 'undici'
import { Client } from 'undici'
import { z } from 'zod'
import { isFinalStatus } from '../../base/common/httpStatus.ts'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { HostList, ListedHost, Scorer, Service, ServiceResponse, ServiceCall } from '../../ports/common/targets.ts'
import type { ConnectionPools } from './connectionPools.ts'
import { createConnector, isNeverSent, isTimeoutError } from './connectionPools.ts'

export class HttpService implements Service {
  constructor (private readonly connections: ConnectionPools, private readonly connectTimeoutMs: number, private readonly maximumAnswerBytes: number) {}

  async call (address: string, call: ServiceCall): Promise<Result<ServiceResponse>> {
    return call.once ? await this.callOnNewConnection(address, call) : await this.callPooled(address, call)
  }

  private async callPooled (address: string, call: ServiceCall): Promise<Result<ServiceResponse>> {
    const pool = this.connections.poolFor(address)
    const outcome = await exchange(pool, call)
    if (outcome.silent) this.connections.retire(address, pool)
    return outcome.result
  }

  /**
   * A reset of a reused connection can mean that it was closed while idle or that the service crashed
   * while running the call, and the two cannot be told apart. On a new connection, an error before the
   * connection is established proves that nothing was sent.
   */
  private async callOnNewConnection (address: string, call: ServiceCall): Promise<Result<ServiceResponse>> {
    const client = new Client(address, { connect: createConnector(this.connectTimeoutMs), pipelining: 1, maxResponseSize: this.maximumAnswerBytes })
    try {
      return (await exchange(client, call)).result
    } finally {
      client.destroy().catch(() => undefined)
    }
  }
}

async function exchange (dispatcher: Dispatcher, call: ServiceCall): Promise<{ result: Result<ServiceResponse>, silent: boolean }> {
  try {
    const response = await dispatcher.request({
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: { 'x-request-id': call.requestId, ...(call.contentType === undefined ? {} : { 'content-type': call.contentType }) },
      body: call.body ?? null,
      signal: AbortSignal.timeout(Math.max(1, Math.ceil(call.timeoutMs)))
    })
    const body = await response.body.text()
    return { result: decodeResponse(response, body, call), silent: false }
  } catch (error) {
    const result = isNeverSent(error) ? failure('targetUnreachable', String(error)) : failure('unknownOutcome', String(error))
    return { result, silent: isTimeoutError(error) }
  }
}

function decodeResponse (response: Dispatcher.ResponseData, body: string, call: ServiceCall): Result<ServiceResponse> {
  if (!isFinalStatus(response.statusCode)) return failure('unknownOutcome', `the service responded with the invalid status ${response.statusCode}`)
  if (response.headers['x-not-run'] === 'true') return failure('targetRefused', `the service refused the call with status ${response.statusCode}`)
  const echoed = response.headers['x-request-id']
  if (echoed !== undefined && echoed !== call.requestId) return failure('unknownOutcome', 'the response belongs to another request')
  const contentType = response.headers['content-type']
  return success({ status: response.statusCode, contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream', body })
}

const scoreSchema = z.object({ score: z.number() })

export class HttpScorer implements Scorer {
  constructor (private readonly address: string, private readonly connections: ConnectionPools, private readonly timeoutMs: number) {}

  async score (prompt: string, text: string): Promise<Result<number>> {
    const response = await fetchJson(this.connections, this.address, '/v1/score', this.timeoutMs, { prompt, text })
    if (!response.ok) return response
    const parsed = scoreSchema.safeParse(response.value)
    return parsed.success ? success(parsed.data.score) : failure('unknownOutcome', 'the response of the scorer cannot be parsed')
  }
}

const hostsSchema = z.object({ hosts: z.array(z.object({ address: z.string(), state: z.enum(['live', 'leaving']) })) })

export class HttpHostList implements HostList {
  constructor (private readonly address: string, private readonly connections: ConnectionPools, private readonly timeoutMs: number) {}

  async list (): Promise<Result<readonly ListedHost[]>> {
    const response = await fetchJson(this.connections, this.address, '/hosts', this.timeoutMs)
    if (!response.ok) return response
    const parsed = hostsSchema.safeParse(response.value)
    return parsed.success ? success(parsed.data.hosts) : failure('unknownOutcome', 'the host list cannot be parsed')
  }
}

async function fetchJson (connections: ConnectionPools, address: string, path: string, timeoutMs: number, body?: unknown): Promise<Result<unknown>> {
  const pool = connections.poolFor(address)
  try {
    const response = await pool.request({
      method: body === undefined ? 'GET' : 'POST',
      path,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs)
    })
    const parsed: unknown = await response.body.json()
    return response.statusCode === 200 ? success(parsed) : failure('unknownOutcome', `${path} responded with status ${response.statusCode}`)
  } catch (error) {
    if (isTimeoutError(error)) connections.retire(address, pool)
    return failure('unknownOutcome', String(error))
  }
}
