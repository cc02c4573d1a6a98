/** Callers and a trainer of the soak test. They check the answers that they get and record violations. */

import { request } from 'undici'
import type { Fleet } from '../platform/support/fleet.ts'
import { CALLS_HOST } from '../platform/support/fleet.ts'
import type { SeededRandom } from './seededRandom.ts'
import type { WorkspaceKeys } from './keys.ts'
import type { Link } from './link.ts'

interface Answer {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly text: string
}

interface ItemResult {
  readonly id: string
  readonly state: string
  readonly text: string
  readonly versions: readonly number[]
  readonly score?: string
}

/** State of a submitted step as known to the trainer. */
interface SubmittedStep {
  readonly id: string
  /** Workspace of the step, if callers have keys. */
  readonly workspace: string | undefined
  /** Number of events of each item. */
  readonly items: ReadonlyMap<string, number>
  readonly minimumVersion: number
  /** `ending`: the request to end the step was sent but not acknowledged, so the step may have ended or not. */
  state: 'open' | 'rejected' | 'unknown' | 'accepted' | 'ending' | 'ended'
  acceptedAt: number
  endedAt: number
  /** Results by position, as first read. */
  readonly results: ItemResult[]
}

/** Body of the request that crashes its targets. */
export const FATAL_BODY = 'ends its target'
/** Statuses that guarantee that a request has not run and never will. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503])
const MAX_ATTEMPTS = 3
/** Maximum time by which the state of a host may lag, in milliseconds. */
const MAX_HOST_LAG_MS = 1000
/** Maximum time after the acknowledged end of a step at which a run of it may start, in milliseconds. */
const MAX_CANCEL_DELAY_MS = 3000

export class SoakLoad {
  readonly violations: string[] = []
  readonly steps: SubmittedStep[] = []
  answered = 0
  private readonly onceOnly = new Map<string, number | undefined>()
  private next = 0

  constructor (private readonly fleet: Fleet, private readonly links: readonly Link[], private readonly draw: SeededRandom, private readonly keys?: WorkspaceKeys) {}

  /** Sends one interactive request of a random kind: idempotent, once-only or streaming. */
  async sendRandomCall (): Promise<void> {
    const id = `call-${this.next++}`
    switch (this.draw.pick(['look-up', 'entry', 'chat'] as const)) {
      case 'look-up': return this.checkAnswer(id, await this.send(`/look-up/${id}`, { id }))
      case 'entry': {
        const answer = await this.send(`/entry/${id}`, { id })
        this.onceOnly.set(id, answer?.status)
        return this.checkAnswer(id, answer)
      }
      case 'chat': return this.checkStream(id, await this.send(`/chat/events-6/${id}`, { id, headers: { 'bulrushvalve-model': 'm' } }))
    }
  }

  /** Sends the request that crashes its targets, each time with a new id. */
  async sendFatalRequest (): Promise<void> {
    const answer = await this.send('/look-up/fatal', { body: FATAL_BODY })
    if (answer?.status === 200) this.violations.push('a request that crashes its targets was answered with 200')
  }

  /** Submits a step, with up to four attempts until it is accepted. */
  async submitStep (): Promise<void> {
    const id = `step-${this.next++}`
    const groups = Array.from({ length: this.draw.intBetween(1, 3) }, () => Array.from({ length: 2 }, () => this.draw.intBetween(1, this.draw.chance(0.2) ? 150 : 30)))
    const items = new Map(groups.flatMap((events, group) => events.map((count, index): [string, number] => [`${id}-${group}-${index}`, count])))
    const workspace = this.keys === undefined ? undefined : this.draw.pick(this.keys.workspaces)
    const step: SubmittedStep = { id, workspace, items, minimumVersion: 1, state: 'open', acceptedAt: 0, endedAt: 0, results: [] }
    this.steps.push(step)
    const body = JSON.stringify({
      step: 0,
      model: 'm',
      min_version: step.minimumVersion,
      group_count: groups.length,
      items: [...items].map(([item, count]) => ({ id: item, path: `/steps/events-${count}/${item}`, headers: { 'Bulrushvalve-Model': 'm', 'Bulrushvalve-Length-Hint': `${count}` }, body: btoa(item), tokens: 100, group: item.slice(0, -2), scorer: { id: `score-${item}`, host: CALLS_HOST, path: `/score/${item}`, body: '' } }))
    })
    const statuses: (number | undefined)[] = []
    for (let attempt = 0; attempt < 4 && step.state === 'open'; attempt++) {
      const answer = await this.send(`/steps/${id}`, { id, body, workspace, headers: { 'content-type': 'application/json' } })
      statuses.push(answer?.status)
      if (answer?.status === 202) {
        step.state = 'accepted'
        step.acceptedAt = Date.now()
      }
    }
    if (step.state === 'open') step.state = statuses.every((status) => status !== undefined && NOT_RUN_STATUSES.has(status)) ? 'rejected' : 'unknown'
  }

  /** Reads results of a step from a random host and compares them with those read before. */
  async readStep (step: SubmittedStep): Promise<void> {
    const after = this.draw.intBetween(0, step.results.length)
    const sentAt = Date.now()
    const answer = await this.send(`/lots/${step.id}?after=${after}`, { method: 'GET', workspace: step.workspace })
    if (answer?.status === 404 && sentAt - step.acceptedAt > MAX_HOST_LAG_MS) this.violations.push(`${step.id} was accepted but is not found`)
    if (answer?.status !== 200) return
    const page = JSON.parse(answer.text) as { total: number, results: ItemResult[] }
    if (page.total !== step.items.size) this.violations.push(`${step.id} has ${page.total} items instead of ${step.items.size}`)
    for (const [index, result] of page.results.entries()) {
      const earlier = step.results[after + index]
      if (earlier !== undefined && JSON.stringify(earlier) !== JSON.stringify(result)) this.violations.push(`position ${after + index} of ${step.id} has a different result than before`)
      if (earlier === undefined) {
        step.results[after + index] = result
        this.checkResult(step, result)
      }
    }
  }

  async endStep (step: SubmittedStep): Promise<void> {
    step.state = 'ending'
    if ((await this.send(`/lots/${step.id}`, { method: 'DELETE', workspace: step.workspace }))?.status !== 200) return
    step.state = 'ended'
    step.endedAt = Date.now()
  }

  /** Checks all runs on targets. Must be called after the last run. */
  checkRuns (): void {
    const runs = this.fleet.targets.flatMap((target) => target.runs)
    const runCount = (id: string): number => runs.filter((run) => run.id === id).length
    for (const [id, status] of this.onceOnly) {
      if (runCount(id) > 1) this.violations.push(`${id} may run only once but ran ${runCount(id)} times`)
      if (status !== undefined && NOT_RUN_STATUSES.has(status) && runCount(id) > 0) this.violations.push(`${id} was answered with status ${status} but has run`)
    }
    for (const step of this.steps) {
      const lateRuns = runs.filter(({ id, at }) => step.items.has(id) && step.state === 'ended' && at > step.endedAt + MAX_CANCEL_DELAY_MS)
      if (lateRuns.length > 0) this.violations.push(`${lateRuns.length} runs of ${step.id} started after its end`)
      if (step.state === 'rejected' && runs.some(({ id }) => step.items.has(id))) this.violations.push(`${step.id} was rejected by all hosts but has run`)
    }
    for (const { options, orders } of this.fleet.targets) {
      for (const [index, order] of orders.entries()) {
        const former = orders[index - 1]
        if (former !== undefined && (order.fence < former.fence || (order.fence === former.fence && order.holder !== former.holder))) this.violations.push(`${options.id} got an order of ${order.holder} with fencing token ${order.fence} after one of ${former.holder} with fencing token ${former.fence}`)
      }
    }
  }

  /** Whether the results of all accepted steps are listed. */
  get isComplete (): boolean {
    return this.steps.every(({ state, items, results }) => state !== 'accepted' || results.length === items.size)
  }

  private checkAnswer (id: string, answer: Answer | undefined): void {
    if (answer?.status !== 200) return
    this.answered++
    if (answer.headers['bulrushvalve-response-seal'] !== `seal-of-${id}` || !this.isTargetAnswer(id, answer.text)) this.violations.push(`${id} got an answer that is not the whole answer of its target: ${answer.text.slice(0, 80)}`)
  }

  /** Returns whether a target sent this text as its whole answer. */
  private isTargetAnswer (id: string, text: string): boolean {
    return this.fleet.targets.flatMap(({ runs }) => runs).some((run) => run.id === id && run.answer?.status === 200 && run.answer.body === text)
  }

  private checkStream (id: string, answer: Answer | undefined): void {
    if (answer?.status !== 200) return
    this.answered++
    // A target may answer a streaming request with something else, which is passed on unchanged.
    if (answer.headers['bulrushvalve-response-seal'] === `seal-of-${id}` && this.isTargetAnswer(id, answer.text)) return
    const events = [...answer.text.matchAll(/^id: (\d+)\ndata: (.*)$/gm)].map(([, number, data]) => `${number ?? ''} ${data ?? ''}`)
    if (events.join() !== Array.from({ length: 6 }, (_, index) => `${index} ${id}-${index}`).join()) this.violations.push(`the stream of ${id} was reported as whole with the events ${events.join(', ')}`)
  }

  private checkResult ({ id, items, minimumVersion }: SubmittedStep, { id: item, state, text, versions, score }: ItemResult): void {
    const count = items.get(item)
    if (count === undefined) {
      this.violations.push(`${id} lists ${item}, which is not one of its items`)
      return
    }
    if (state === 'lost') return this.checkLostItem(item)
    if (text !== Array.from({ length: count }, (_, index) => `${item}-${index}`).join('\n')) this.violations.push(`the text of ${item} does not consist of its ${count} events; number of lines: ${text.split('\n').length}`)
    if (versions.length === 0 || versions.some((version) => version < minimumVersion)) this.violations.push(`${item} has versions ${versions.join()}`)
    if (score !== `seal-of-score-${item}`) this.violations.push(`${item} has the score ${score ?? 'none'}`)
  }

  /** Checks that an item that is listed as lost, or its scorer, failed as many times as the route allows. */
  private checkLostItem (item: string): void {
    const failures = (id: string): number => this.fleet.targets.flatMap(({ runs }) => runs).filter((run) => run.id === id && run.answer?.status === 500).length
    if (failures(item) < MAX_ATTEMPTS && failures(`score-${item}`) < MAX_ATTEMPTS) this.violations.push(`${item} was listed as lost after ${failures(item)} failures, its scorer after ${failures(`score-${item}`)}`)
  }

  /** Sends a request to a random host over its link. Returns `undefined` if no whole answer arrived. */
  private async send (path: string, { method = 'POST', id = `ask-${this.next++}`, headers = {}, body, workspace }: { method?: string, id?: string, headers?: Record<string, string>, body?: string, workspace?: string | undefined }): Promise<Answer | undefined> {
    const key = this.keys?.presentKey(id, workspace)
    try {
      const answer = await request(`${this.draw.pick(this.links).address}${path}`, {
        method: method as 'POST',
        headers: { host: CALLS_HOST, 'bulrushvalve-request-id': id, 'bulrushvalve-deadline-ms': '2000', ...(key === undefined ? {} : { authorization: `Token ${key}` }), ...headers },
        body: body ?? null,
        signal: AbortSignal.timeout(5000)
      })
      return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() }
    } catch {
      return undefined
    }
  }
}
