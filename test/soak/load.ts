/** Callers and a trainer of a soak, and what they find wrong with the answers they get. */

import { request } from 'undici'
import type { Fleet } from '../platform/support/fleet.ts'
import { CALLS_HOST } from '../platform/support/fleet.ts'
import type { Draw } from './chance.ts'
import type { Keys } from './keys.ts'
import type { Link } from './link.ts'

interface Answer {
  readonly status: number
  readonly headers: Record<string, string | string[] | undefined>
  readonly text: string
}

interface Result {
  readonly id: string
  readonly state: string
  readonly text: string
  readonly versions: readonly number[]
  readonly score?: string
}

/** What is known of a step that was submitted. */
interface SubmittedStep {
  readonly id: string
  /** Whose it is, where callers have keys. */
  readonly workspace: string | undefined
  /** Events of each item. */
  readonly items: ReadonlyMap<string, number>
  readonly minimumVersion: number
  /** `ending`: its end was asked for and no answer came, so it may be ended or not. */
  state: 'open' | 'rejected' | 'unknown' | 'accepted' | 'ending' | 'ended'
  acceptedAt: number
  endedAt: number
  /** Results by position, as they were first read. */
  readonly results: Result[]
}

/** Body of the request that ends its targets. */
export const FATAL = 'ends its target'
/** Statuses that promise that a request has not run and never will. */
const NOT_RUN = new Set([408, 421, 429, 503])
const ATTEMPTS = 3
/** A host may be behind by this time, in milliseconds. */
const SETTLE_MS = 1000
/** Nothing of an ended step may start later than this after the end was acknowledged, in milliseconds. */
const CANCEL_MS = 3000

export class Load {
  readonly violations: string[] = []
  readonly steps: SubmittedStep[] = []
  answered = 0
  private readonly onceOnly = new Map<string, number | undefined>()
  private next = 0

  constructor (private readonly fleet: Fleet, private readonly links: readonly Link[], private readonly draw: Draw, private readonly keys?: Keys) {}

  /** One interactive request, of one of three kinds. */
  async callOnce (): Promise<void> {
    const id = `call-${this.next++}`
    switch (this.draw.oneOf(['look-up', 'entry', 'chat'] as const)) {
      case 'look-up': return this.checkWhole(id, await this.send(`/look-up/${id}`, { id }))
      case 'entry': {
        const answer = await this.send(`/entry/${id}`, { id })
        this.onceOnly.set(id, answer?.status)
        return this.checkWhole(id, answer)
      }
      case 'chat': return this.checkStream(id, await this.send(`/chat/events-6/${id}`, { id, headers: { 'bulrushvalve-model': 'm' } }))
    }
  }

  /** The request that ends its targets, with an id of its own each time. */
  async callFatal (): Promise<void> {
    const answer = await this.send('/look-up/fatal', { body: FATAL })
    if (answer?.status === 200) this.violations.push('a request that ends its targets was answered')
  }

  /** Submits a step, until it is accepted or four tries have failed. */
  async submit (): Promise<void> {
    const id = `step-${this.next++}`
    const groups = Array.from({ length: this.draw.between(1, 3) }, () => Array.from({ length: 2 }, () => this.draw.between(1, this.draw.chance(0.2) ? 150 : 30)))
    const items = new Map(groups.flatMap((events, group) => events.map((count, index): [string, number] => [`${id}-${group}-${index}`, count])))
    const workspace = this.keys === undefined ? undefined : this.draw.oneOf(this.keys.workspaces)
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
    if (step.state === 'open') step.state = statuses.every((status) => status !== undefined && NOT_RUN.has(status)) ? 'rejected' : 'unknown'
  }

  /** Reads a step at some host and compares with what was read before. */
  async read (step: SubmittedStep): Promise<void> {
    const after = this.draw.between(0, step.results.length)
    const askedAt = Date.now()
    const answer = await this.send(`/lots/${step.id}?after=${after}`, { method: 'GET', workspace: step.workspace })
    if (answer?.status === 404 && askedAt - step.acceptedAt > SETTLE_MS) this.violations.push(`${step.id} was accepted and is not found`)
    if (answer?.status !== 200) return
    const page = JSON.parse(answer.text) as { total: number, results: Result[] }
    if (page.total !== step.items.size) this.violations.push(`${step.id} has ${page.total} items in place of ${step.items.size}`)
    for (const [index, result] of page.results.entries()) {
      const known = step.results[after + index]
      if (known !== undefined && JSON.stringify(known) !== JSON.stringify(result)) this.violations.push(`position ${after + index} of ${step.id} holds another result than before`)
      if (known === undefined) {
        step.results[after + index] = result
        this.checkResult(step, result)
      }
    }
  }

  /** Ends a step. */
  async end (step: SubmittedStep): Promise<void> {
    step.state = 'ending'
    if ((await this.send(`/lots/${step.id}`, { method: 'DELETE', workspace: step.workspace }))?.status !== 200) return
    step.state = 'ended'
    step.endedAt = Date.now()
  }

  /** Checks that need all that has run. */
  checkRuns (): void {
    const runs = this.fleet.targets.flatMap((target) => target.runs)
    const countOf = (id: string): number => runs.filter((run) => run.id === id).length
    for (const [id, status] of this.onceOnly) {
      if (countOf(id) > 1) this.violations.push(`${id} may run once and ran ${countOf(id)} times`)
      if (status !== undefined && NOT_RUN.has(status) && countOf(id) > 0) this.violations.push(`${id} was answered ${status} and has run`)
    }
    for (const step of this.steps) {
      const late = runs.filter(({ id, at }) => step.items.has(id) && step.state === 'ended' && at > step.endedAt + CANCEL_MS)
      if (late.length > 0) this.violations.push(`${late.length} runs of ${step.id} began after its end`)
      if (step.state === 'rejected' && runs.some(({ id }) => step.items.has(id))) this.violations.push(`${step.id} was rejected by all and has run`)
    }
    for (const { options, orders } of this.fleet.targets) {
      for (const [index, order] of orders.entries()) {
        const former = orders[index - 1]
        if (former !== undefined && (order.fence < former.fence || (order.fence === former.fence && order.holder !== former.holder))) this.violations.push(`${options.id} got an order of ${order.holder} with number ${order.fence} after one of ${former.holder} with ${former.fence}`)
      }
    }
  }

  /** Whether all that was accepted is listed. */
  get whole (): boolean {
    return this.steps.every(({ state, items, results }) => state !== 'accepted' || results.length === items.size)
  }

  private checkWhole (id: string, answer: Answer | undefined): void {
    if (answer?.status !== 200) return
    this.answered++
    if (answer.headers['bulrushvalve-response-seal'] !== `seal-of-${id}` || !this.isGiven(id, answer.text)) this.violations.push(`${id} got what is not its target's whole answer: ${answer.text.slice(0, 80)}`)
  }

  /** Whether a target gave this as its whole answer. */
  private isGiven (id: string, text: string): boolean {
    return this.fleet.targets.flatMap(({ runs }) => runs).some((run) => run.id === id && run.answer?.status === 200 && run.answer.body === text)
  }

  private checkStream (id: string, answer: Answer | undefined): void {
    if (answer?.status !== 200) return
    this.answered++
    // A target may answer a request for a stream by something else; then that is passed on as it is.
    if (answer.headers['bulrushvalve-response-seal'] === `seal-of-${id}` && this.isGiven(id, answer.text)) return
    const events = [...answer.text.matchAll(/^id: (\d+)\ndata: (.*)$/gm)].map(([, number, data]) => `${number ?? ''} ${data ?? ''}`)
    if (events.join() !== Array.from({ length: 6 }, (_, index) => `${index} ${id}-${index}`).join()) this.violations.push(`the stream of ${id} ended as whole with ${events.join(', ')}`)
  }

  private checkResult ({ id, items, minimumVersion }: SubmittedStep, { id: item, state, text, versions, score }: Result): void {
    const count = items.get(item)
    if (count === undefined) {
      this.violations.push(`${id} lists ${item}, which is not its own`)
      return
    }
    if (state === 'lost') return this.checkLost(item)
    if (text !== Array.from({ length: count }, (_, index) => `${item}-${index}`).join('\n')) this.violations.push(`the text of ${item} is not its ${count} events: ${text.split('\n').length}`)
    if (versions.length === 0 || versions.some((version) => version < minimumVersion)) this.violations.push(`${item} has versions ${versions.join()}`)
    if (score !== `seal-of-score-${item}`) this.violations.push(`${item} has the score ${score ?? 'none'}`)
  }

  /** An item may be lost after as many failures as its route allows, its scorer's too. */
  private checkLost (item: string): void {
    const failures = (id: string): number => this.fleet.targets.flatMap(({ runs }) => runs).filter((run) => run.id === id && run.answer?.status === 500).length
    if (failures(item) < ATTEMPTS && failures(`score-${item}`) < ATTEMPTS) this.violations.push(`${item} was listed as lost after ${failures(item)} failures, its scorer after ${failures(`score-${item}`)}`)
  }

  /** Sends to some host over its link; `undefined` where no whole answer came. */
  private async send (path: string, { method = 'POST', id = `ask-${this.next++}`, headers = {}, body, workspace }: { method?: string, id?: string, headers?: Record<string, string>, body?: string, workspace?: string | undefined }): Promise<Answer | undefined> {
    const key = this.keys?.present(id, workspace)
    try {
      const answer = await request(`${this.draw.oneOf(this.links).address}${path}`, {
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
