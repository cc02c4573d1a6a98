/**
 * Stand-ins for the plain services: a service with status queries and entries that must not be
 * duplicated, a scorer, the weight store with its rate limit, and the list of hosts, which lags.
 */

import type { ListedHost } from '../src/ports/common/targets.ts'
import type { StandIn, StandInRequest } from './httpStandIn.ts'
import { pause, sendJson, startStandIn } from './httpStandIn.ts'

export interface ServiceFaults {
  /** Number of calls that are executed but whose response is lost. */
  loseAnswers?: number
  /** Refuses calls before executing them. */
  refuse?: boolean
  /** Leaves every call unanswered. */
  silent?: boolean
  /** Duration of a call, in milliseconds. */
  delayMs?: number
  /** Reports in the load report that the service is leaving. */
  leaving?: boolean
}

/** A call that the service executed. */
export interface ExecutedCall {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly at: number
}

export class ServiceStandIn {
  readonly faults: ServiceFaults = {}
  /** All calls that the service executed, as ground truth for the tests. */
  readonly ran: ExecutedCall[] = []
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

/** Starts a scorer that scores a sample by its length. */
export async function startScorer (delayMs = 5, port = 0): Promise<StandIn> {
  return await startStandIn(async ({ text, response }) => {
    const sample = JSON.parse(text) as { text: string }
    await pause(delayMs)
    sendJson(response, 200, { score: (sample.text.length % 100) / 100 })
  }, port)
}

/** Starts a weight store that serves at most `perSecond` downloads per second and answers further ones with 429. */
export async function startWeightStore (perSecond: number, port = 0): Promise<StandIn> {
  let windowStartedAt = 0
  let servedInWindow = 0
  return await startStandIn(({ response }) => {
    if (Date.now() - windowStartedAt >= 1000) {
      windowStartedAt = Date.now()
      servedInWindow = 0
    }
    if (++servedInWindow > perSecond) sendJson(response, 429, { error: 'limit' })
    else sendJson(response, 200, { weights: 'bytes' })
  }, port)
}

/** Starts a list of hosts that returns the hosts that were set at least `lagMs` ago. */
export async function startHostList (lagMs: number, port = 0): Promise<StandIn & { set (hosts: ListedHost[]): void }> {
  const history: { at: number, hosts: ListedHost[] }[] = [{ at: 0, hosts: [] }]
  const set = (hosts: ListedHost[]): void => { history.push({ at: Date.now(), hosts }) }
  const server = await startStandIn(({ path, text, response }) => {
    if (path === '/control') set(JSON.parse(text) as ListedHost[])
    const reported = history.findLast(({ at }) => at <= Date.now() - lagMs)
    sendJson(response, 200, { hosts: reported?.hosts ?? [] })
  }, port)
  return { ...server, set }
}
