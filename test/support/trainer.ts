/** A trainer as the tests have it: submits groups, pulls until it has all, and keeps its own record. */

import type { Segment } from '../../src/core/common/fold/records.ts'
import type { HostAnswer, HostProcess } from './hostProcess.ts'
import { call, keys } from './hostProcess.ts'
import { attributionFaults } from './judge.ts'

interface Delivered {
  readonly group: string
  readonly index: number
  readonly text: string
  readonly segments: readonly Segment[]
}

export class Trainer {
  /** How often each sample was delivered, by `group/index`. */
  readonly taken = new Map<string, number>()
  readonly faults: string[] = []
  cursor = 0
  version = 1
  private turn = 0
  private submitted = 0

  /** @param hosts asked in turn; one that does not answer is passed over. */
  constructor (private readonly hosts: readonly HostProcess[], private readonly staleness = 1, private readonly subscription = 'drafts', private readonly key: string = keys.trainer) {}

  get expected (): number {
    return this.submitted
  }

  get takenTwice (): number {
    return [...this.taken.values()].filter((count) => count > 1).length
  }

  /** Submits groups, again and again until they are acknowledged. */
  async submit (count: number, samples: number, prefix = 'g', until = Date.now() + 15_000): Promise<void> {
    const groups = Array.from({ length: count }, (_, index) => ({ id: `${prefix}${index}`, step: 0, prompt: `prompt ${prefix} ${index}`, samples, issued_at: Date.now() }))
    this.submitted += count * samples
    while (Date.now() < until) {
      const answer = await this.ask('groups', { groups })
      if (answer?.status === 200) return
    }
    throw new Error('the groups were not taken')
  }

  /** Pulls once; a lost answer leaves the cursor where it was. */
  async pull (options: { loseAnswer?: boolean, waitMs?: number, maximum?: number } = {}): Promise<number> {
    const { loseAnswer = false, waitMs = 500, maximum = 16 } = options
    const version = this.version
    const answer = await this.ask('pull', { cursor: this.cursor, version, maximum, wait_ms: waitMs })
    if (answer?.status !== 200 || loseAnswer) return 0
    this.cursor = answer.body.cursor as number
    const samples = answer.body.samples as Delivered[]
    for (const sample of samples) this.take(sample, version)
    return samples.length
  }

  /** Pulls until everything that was submitted has come. */
  async pullAll (timeoutMs: number, between: () => void | Promise<void> = () => undefined): Promise<void> {
    const until = Date.now() + timeoutMs
    while (this.taken.size < this.submitted) {
      if (Date.now() >= until) throw new Error(`${this.taken.size} of ${this.submitted} samples came within ${timeoutMs} ms`)
      await this.pull()
      await between()
    }
  }

  private take (sample: Delivered, version: number): void {
    const name = `${sample.group}/${sample.index}`
    this.taken.set(name, (this.taken.get(name) ?? 0) + 1)
    const oldest = Math.min(...sample.segments.map((segment) => segment.version))
    if (oldest < version - this.staleness) this.faults.push(`${name} is of version ${oldest} at version ${version}`)
    this.faults.push(...attributionFaults(sample.text, sample.segments).map((fault) => `${name}: ${fault}`))
  }

  private async ask (what: 'groups' | 'pull', body: unknown): Promise<HostAnswer | undefined> {
    const host = this.hosts[this.turn++ % this.hosts.length]
    if (host === undefined) return undefined
    try {
      const answer = await call(host.address, `/v1/subscriptions/${this.subscription}/${what}`, { key: this.key, body, timeoutMs: 4000 })
      if (answer.status !== 200) await new Promise((resolve) => setTimeout(resolve, 50))
      return answer
    } catch {
      await new Promise((resolve) => setTimeout(resolve, 50))
      return undefined
    }
  }
}
