/** A trainer for tests. It submits groups, pulls samples until all have arrived, and records what it received. */

import type { Segment } from '../../src/core/common/fold/records.ts'
import type { HostAnswer, HostProcess } from './hostProcess.ts'
import { call, keys } from './hostProcess.ts'
import { findAttributionErrors } from './attributionChecks.ts'

interface DeliveredSample {
  readonly group: string
  readonly index: number
  readonly text: string
  readonly segments: readonly Segment[]
}

export class TestTrainer {
  /** Number of deliveries of each sample, by `group/index`. */
  readonly deliveryCounts = new Map<string, number>()
  readonly faults: string[] = []
  cursor = 0
  version = 1
  private nextHostIndex = 0
  private submitted = 0

  /** @param hosts hosts that are called in rotation; one that does not answer is skipped */
  constructor (private readonly hosts: readonly HostProcess[], private readonly staleness = 1, private readonly subscription = 'drafts', private readonly key: string = keys.trainer) {}

  get submittedCount (): number {
    return this.submitted
  }

  get duplicateCount (): number {
    return [...this.deliveryCounts.values()].filter((count) => count > 1).length
  }

  /** Submits groups, with retries until they are acknowledged. */
  async submit (count: number, samples: number, prefix = 'g', deadline = Date.now() + 15_000): Promise<void> {
    const groups = Array.from({ length: count }, (_, index) => ({ id: `${prefix}${index}`, step: 0, prompt: `prompt ${prefix} ${index}`, samples, issued_at: Date.now() }))
    this.submitted += count * samples
    while (Date.now() < deadline) {
      const answer = await this.post('groups', { groups })
      if (answer?.status === 200) return
    }
    throw new Error(`${count} groups were not acknowledged before the deadline`)
  }

  /** Pulls once. A lost answer does not advance the cursor. */
  async pull (options: { loseAnswer?: boolean, waitMs?: number, maximum?: number } = {}): Promise<number> {
    const { loseAnswer = false, waitMs = 500, maximum = 16 } = options
    const version = this.version
    const answer = await this.post('pull', { cursor: this.cursor, version, maximum, wait_ms: waitMs })
    if (answer?.status !== 200 || loseAnswer) return 0
    this.cursor = answer.body.cursor as number
    const samples = answer.body.samples as DeliveredSample[]
    for (const sample of samples) this.recordSample(sample, version)
    return samples.length
  }

  /** Pulls until all submitted samples have arrived. */
  async pullAll (timeoutMs: number, onPull: () => void | Promise<void> = () => undefined): Promise<void> {
    const deadline = Date.now() + timeoutMs
    while (this.deliveryCounts.size < this.submitted) {
      if (Date.now() >= deadline) throw new Error(`${this.deliveryCounts.size} of ${this.submitted} samples arrived within ${timeoutMs} ms`)
      await this.pull()
      await onPull()
    }
  }

  private recordSample (sample: DeliveredSample, version: number): void {
    const name = `${sample.group}/${sample.index}`
    this.deliveryCounts.set(name, (this.deliveryCounts.get(name) ?? 0) + 1)
    const oldest = Math.min(...sample.segments.map((segment) => segment.version))
    if (oldest < version - this.staleness) this.faults.push(`${name} is of version ${oldest} at version ${version}`)
    this.faults.push(...findAttributionErrors(sample.text, sample.segments).map((fault) => `${name}: ${fault}`))
  }

  private async post (operation: 'groups' | 'pull', body: unknown): Promise<HostAnswer | undefined> {
    const host = this.hosts[this.nextHostIndex++ % this.hosts.length]
    if (host === undefined) return undefined
    try {
      const answer = await call(host.address, `/v1/subscriptions/${this.subscription}/${operation}`, { key: this.key, body, timeoutMs: 4000 })
      if (answer.status !== 200) await new Promise((resolve) => setTimeout(resolve, 50))
      return answer
    } catch {
      await new Promise((resolve) => setTimeout(resolve, 50))
      return undefined
    }
  }
}
