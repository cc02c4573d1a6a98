/** A trainer that submits batch submissions, reads their results and ends them, at any host. */

import type { Deployment, Ended } from './deployment.ts'
import { send } from './deployment.ts'
import type { Record } from './record.ts'
import { pause } from './record.ts'

export interface Item {
  readonly id: string
  readonly group: string
}

export interface Submission {
  readonly id: string
  readonly step: number
  readonly minimumVersion: number
  readonly groupCount: number
  readonly items: readonly Item[]
}

export interface ListedItem {
  readonly id: string
  readonly state: 'complete' | 'lost'
  readonly text: string
  readonly versions: readonly number[]
  readonly score?: string
}

export interface TrainerOptions {
  readonly host: string
  readonly prefix: string
  readonly scorerPrefix: string
  readonly model: string
  /** Returns the number of output tokens that an item may have. */
  readonly outputTokens: (id: string) => number
}

const PROMPT_TOKENS = 271
/** How often a trainer reads. */
const READ_INTERVAL_MS = 500
const WAIT_MS = 1000

export class Trainer {
  private turn = 0

  constructor (private readonly deployment: Deployment, private readonly record: Record, private readonly options: TrainerOptions) {}

  /** Submits until it is accepted; each attempt goes to another host. */
  async submit (submission: Submission, timeoutMs: number): Promise<void> {
    const { host, prefix } = this.options
    const until = Date.now() + timeoutMs
    for (;;) {
      const ended = await this.send('POST', `${prefix}${submission.id}`, { host, 'bulrushvalve-request-id': submission.id, 'bulrushvalve-deadline-ms': '12000', 'content-type': 'application/json' }, this.body(submission))
      this.record.write(`trainer submits ${submission.id} (step ${submission.step}, versions from ${submission.minimumVersion} on, ${submission.items.length} items): ${describe(ended)}`)
      if (ended.type === 'answer' && ended.status === 202) return
      if (Date.now() > until) throw new Error(`${submission.id} was not accepted`)
      await pause(300)
    }
  }

  /** Reads results until the wanted number of groups and all groups of `awaited` are complete, or the time is over. */
  async readUntilComplete ({ id, items, groupCount }: Submission, awaited: ReadonlySet<string>, timeoutMs: number): Promise<Map<string, ListedItem>> {
    const until = Date.now() + timeoutMs
    const listed = new Map<string, ListedItem>()
    let after = 0
    while (Date.now() < until) {
      const readAt = Date.now()
      const ended = await this.send('GET', `/lots/${id}?after=${after}`, { host: this.options.host, 'bulrushvalve-wait-ms': String(WAIT_MS) })
      if (ended.type === 'answer' && ended.status === 200) {
        const page = JSON.parse(ended.text) as { next: number, results: ListedItem[] }
        for (const result of page.results) {
          listed.set(result.id, result)
          this.record.write(`trainer reads ${result.id} of ${id}: ${result.state}, versions ${result.versions.join(' ')}, ${result.text.split('\n').length} events`)
        }
        after = page.next
      } else this.record.write(`trainer reads ${id}: ${describe(ended)}`)
      const incomplete = new Set(items.filter((item) => !listed.has(item.id)).map(({ group }) => group))
      const groups = new Set(items.map(({ group }) => group))
      if (groups.size - incomplete.size >= groupCount && ![...incomplete].some((group) => awaited.has(group))) return listed
      await pause(Math.min(READ_INTERVAL_MS - (Date.now() - readAt), until - Date.now()))
    }
    return listed
  }

  async end (id: string): Promise<void> {
    for (let attempt = 0; attempt < 5; attempt++) {
      const ended = await this.send('DELETE', `/lots/${id}`, { host: this.options.host })
      this.record.write(`trainer ends ${id}: ${describe(ended)}`)
      if (ended.type === 'answer' && ended.status === 200) return
      await pause(300)
    }
    throw new Error(`the end of ${id} was not acknowledged`)
  }

  nameVersion (version: number): void {
    const { model } = this.options
    this.record.write(`trainer names version ${version} of ${model}`)
    this.deployment.store.put('keyed.op', `version/${model}`, { model, version })
  }

  private async send (method: string, path: string, headers: { readonly [name: string]: string }, body?: string): Promise<Ended> {
    const { ip } = this.deployment.host(this.turn++ % this.deployment.hosts.length)
    return await send({ ip, method, path, headers, ...(body === undefined ? {} : { body }), timeoutMs: 3000 })
  }

  private body ({ step, minimumVersion, groupCount, items }: Submission): string {
    const { prefix, scorerPrefix, host, model, outputTokens } = this.options
    return JSON.stringify({
      step,
      model,
      min_version: minimumVersion,
      group_count: groupCount,
      items: items.map(({ id, group }) => ({
        id,
        path: `${prefix}3/${id}`,
        headers: { 'Bulrushvalve-Model': model, 'Bulrushvalve-Token-Usage': `${PROMPT_TOKENS},${outputTokens(id)}`, 'Bulrushvalve-Prompt-Prefix': `${Buffer.from(group).toString('hex')}:255,${Buffer.from(id).toString('hex')}:16` },
        body: Buffer.from(`prompt of ${id}`).toString('base64'),
        tokens: PROMPT_TOKENS + outputTokens(id),
        group,
        scorer: { id: `score-${id}`, host, path: `${scorerPrefix}${id}`, body: Buffer.from(`score ${id}`).toString('base64') }
      }))
    })
  }
}

function describe (ended: Ended): string {
  switch (ended.type) {
    case 'answer': return String(ended.status)
    case 'broken': return `channel ended: ${ended.error}`
    case 'given up': return 'nothing in time'
  }
}
