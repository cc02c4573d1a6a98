/**
 * Plain services, scorers and the host list over HTTP (docs/PORTS.md). A service that refuses a
 * call before it ran says so with the header `x-not-run: true`; without that word a failed call has
 * an unknown outcome.
 */

import type { Dispatcher } from 'undici'
import { Client } from 'undici'
import { z } from 'zod'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { HostList, ListedHost, Scorer, Service, ServiceAnswer, ServiceCall } from '../../ports/common/targets.ts'
import type { Connections } from './connections.ts'
import { connector, neverSent, wentSilent } from './connections.ts'

export class HttpService implements Service {
  constructor (private readonly connections: Connections, private readonly connectTimeoutMs: number, private readonly maximumAnswerBytes: number) {}

  async call (address: string, call: ServiceCall): Promise<Result<ServiceAnswer>> {
    return call.once ? await this.callOnce(address, call) : await this.callPooled(address, call)
  }

  private async callPooled (address: string, call: ServiceCall): Promise<Result<ServiceAnswer>> {
    const pool = this.connections.to(address)
    const answer = await exchange(pool, call)
    if (answer.silent) this.connections.suspect(address, pool)
    return answer.result
  }

  /**
   * On a kept connection a reset can mean "closed while idle" or "ran and died", and the two cannot
   * be told apart. On a new connection an error before it is open proves that nothing was sent.
   */
  private async callOnce (address: string, call: ServiceCall): Promise<Result<ServiceAnswer>> {
    const client = new Client(address, { connect: connector(this.connectTimeoutMs), pipelining: 1, maxResponseSize: this.maximumAnswerBytes })
    try {
      return (await exchange(client, call)).result
    } finally {
      client.destroy().catch(() => undefined)
    }
  }
}

async function exchange (dispatcher: Dispatcher, call: ServiceCall): Promise<{ result: Result<ServiceAnswer>, silent: boolean }> {
  try {
    const answer = await dispatcher.request({
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: { 'x-request-id': call.requestId, ...(call.contentType === undefined ? {} : { 'content-type': call.contentType }) },
      body: call.body ?? null,
      signal: AbortSignal.timeout(Math.max(1, Math.ceil(call.timeoutMs)))
    })
    const body = await answer.body.text()
    return { result: readAnswer(answer, body, call), silent: false }
  } catch (error) {
    const result = neverSent(error) ? failure('targetUnreachable', String(error)) : failure('unknownOutcome', String(error))
    return { result, silent: wentSilent(error) }
  }
}

function readAnswer (answer: Dispatcher.ResponseData, body: string, call: ServiceCall): Result<ServiceAnswer> {
  if (answer.headers['x-not-run'] === 'true') return failure('targetRefused', `the service refused: ${answer.statusCode}`)
  const echoed = answer.headers['x-request-id']
  if (echoed !== undefined && echoed !== call.requestId) return failure('unknownOutcome', 'the answer belongs to another request')
  const contentType = answer.headers['content-type']
  return success({ status: answer.statusCode, contentType: typeof contentType === 'string' ? contentType : 'application/octet-stream', body })
}

const scored = z.object({ score: z.number() })

export class HttpScorer implements Scorer {
  constructor (private readonly address: string, private readonly connections: Connections, private readonly timeoutMs: number) {}

  async score (prompt: string, text: string): Promise<Result<number>> {
    const answer = await fetchJson(this.connections, this.address, '/v1/score', this.timeoutMs, { prompt, text })
    if (!answer.ok) return answer
    const parsed = scored.safeParse(answer.value)
    return parsed.success ? success(parsed.data.score) : failure('unknownOutcome', 'the score cannot be read')
  }
}

const hosts = z.object({ hosts: z.array(z.object({ address: z.string(), state: z.enum(['live', 'leaving']) })) })

export class HttpHostList implements HostList {
  constructor (private readonly address: string, private readonly connections: Connections, private readonly timeoutMs: number) {}

  async list (): Promise<Result<readonly ListedHost[]>> {
    const answer = await fetchJson(this.connections, this.address, '/hosts', this.timeoutMs)
    if (!answer.ok) return answer
    const parsed = hosts.safeParse(answer.value)
    return parsed.success ? success(parsed.data.hosts) : failure('unknownOutcome', 'the host list cannot be read')
  }
}

async function fetchJson (connections: Connections, address: string, path: string, timeoutMs: number, body?: unknown): Promise<Result<unknown>> {
  const pool = connections.to(address)
  try {
    const answer = await pool.request({
      method: body === undefined ? 'GET' : 'POST',
      path,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs)
    })
    const parsed: unknown = await answer.body.json()
    return answer.statusCode === 200 ? success(parsed) : failure('unknownOutcome', `${path} answered ${answer.statusCode}`)
  } catch (error) {
    if (wentSilent(error)) connections.suspect(address, pool)
    return failure('unknownOutcome', String(error))
  }
}
