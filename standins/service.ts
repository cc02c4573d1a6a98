/**
 * Stand-ins of the plain services: one with status queries and entries that must not be doubled,
 * a scorer, the weight store with its rate limit, and the lagging list of hosts.
 */

import type { ListedHost } from '../src/ports/common/targets.ts'
import type { StandIn, StandInRequest } from './httpStandIn.ts'
import { pause, sendJson, startStandIn } from './httpStandIn.ts'

export interface ServiceFaults {
  /** Runs the call and loses the answer, so many times. */
  loseAnswers?: number
  /** Refuses before running. */
  refuse?: boolean
  /** Answers nothing. */
  silent?: boolean
  /** Milliseconds that a call takes. */
  delayMs?: number
  /** Marks itself as leaving in its load report. */
  leaving?: boolean
}

/** A call that the service ran. */
export interface RanCall {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly at: number
}

export class ServiceStandIn {
  readonly faults: ServiceFaults = {}
  /** The service's own record of what it ran. */
  readonly ran: RanCall[] = []
  private running = 0

  async handle (call: StandInRequest): Promise<void> {
    const { path, method, text, response, headers } = call
    if (path === '/control') {
      Object.assign(this.faults, JSON.parse(text) as ServiceFaults)
      return sendJson(response, 200, this.faults)
    }
    if (path === '/records') return sendJson(response, 200, { ran: this.ran })
    const { faults } = this
    if (faults.silent === true) return
    if (path === '/v1/load') return sendJson(response, 200, { weight_version: 0, running: this.running, queued: 0, leaving: faults.leaving === true })
    if (faults.refuse === true) return sendJson(response, 503, { error: 'refused' }, { 'x-not-run': 'true' })
    const id = String(headers['x-request-id'] ?? '')
    this.running++
    this.ran.push({ id, method, path, at: Date.now() })
    await pause(faults.delayMs ?? 2)
    this.running--
    if ((faults.loseAnswers ?? 0) > 0) {
      faults.loseAnswers = (faults.loseAnswers ?? 0) - 1
      response.destroy()
      return
    }
    sendJson(response, 200, { id, path, entry: this.ran.length }, { 'x-request-id': id })
  }
}

export async function startService (port = 0): Promise<StandIn & { readonly service: ServiceStandIn }> {
  const service = new ServiceStandIn()
  const server = await startStandIn(async (request) => { await service.handle(request) }, port)
  return { ...server, service }
}

/** Scores a sample by its length. */
export async function startScorer (delayMs = 5, port = 0): Promise<StandIn> {
  return await startStandIn(async ({ text, response }) => {
    const sample = JSON.parse(text) as { text: string }
    await pause(delayMs)
    sendJson(response, 200, { score: (sample.text.length % 100) / 100 })
  }, port)
}

/** Serves so many weight downloads a second. */
export async function startWeightStore (perSecond: number, port = 0): Promise<StandIn> {
  let windowStart = 0
  let served = 0
  return await startStandIn(({ response }) => {
    if (Date.now() - windowStart >= 1000) {
      windowStart = Date.now()
      served = 0
    }
    if (++served > perSecond) sendJson(response, 429, { error: 'limit' })
    else sendJson(response, 200, { weights: 'bytes' })
  }, port)
}

/** Tells what was set so long ago. */
export async function startHostList (lagMs: number, port = 0): Promise<StandIn & { set (hosts: ListedHost[]): void }> {
  const history: { at: number, hosts: ListedHost[] }[] = [{ at: 0, hosts: [] }]
  const set = (hosts: ListedHost[]): void => { history.push({ at: Date.now(), hosts }) }
  const server = await startStandIn(({ path, text, response }) => {
    if (path === '/control') set(JSON.parse(text) as ListedHost[])
    const seen = history.findLast(({ at }) => at <= Date.now() - lagMs)
    sendJson(response, 200, { hosts: seen?.hosts ?? [] })
  }, port)
  return { ...server, set }
}
