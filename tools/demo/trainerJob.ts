/** A trainer of the demo. For each step it submits groups, pulls samples until all have arrived, trains, and publishes new weights. */

import { request } from 'undici'
import { findAttributionErrors } from '../../test/support/attributionChecks.ts'
import { keys } from '../../test/support/hostProcess.ts'
import type { Segment } from '../../src/core/common/fold/records.ts'
import type { AddressBook } from './addressBook.ts'
import { pause } from './callers.ts'
import type { Tally } from './tally.ts'

export interface TrainerPlan {
  readonly subscription: string
  readonly key: string
  readonly pool: string
  readonly staleness: number
  readonly steps: number
  readonly groups: number
  readonly samples: number
  /** Prefix of the prompts. */
  readonly topic: string
  readonly trainMs: number
}

interface Sample {
  readonly group: string
  readonly index: number
  readonly text: string
  readonly segments: readonly Segment[]
}

export class TrainerJob {
  private readonly deliveryCounts = new Map<string, number>()
  private cursor = 0
  private idleMs = 0
  private startedAt = 0
  private endedAt = 0
  finishedSteps = 0

  constructor (private readonly plan: TrainerPlan, private readonly addressBook: AddressBook, private readonly tally: Tally, private readonly newestWeights: { version: number }) {}

  get idleShare (): number {
    return this.idleMs / Math.max(1, this.endedAt - this.startedAt)
  }

  /** Runs all steps, submitting one step ahead, and adds the delivered samples to the tally. */
  async run (): Promise<void> {
    this.startedAt = performance.now()
    await this.submit(0)
    for (let step = 0; step < this.plan.steps; step++) {
      if (step + 1 < this.plan.steps) await this.submit(step + 1)
      await this.collect((step + 1) * this.plan.groups * this.plan.samples)
      await pause(this.plan.trainMs)
      await this.publish()
      this.finishedSteps++
    }
    this.endedAt = performance.now()
    const wanted = this.plan.steps * this.plan.groups * this.plan.samples
    const { samples } = this.tally
    samples.submitted += wanted
    samples.delivered += this.deliveryCounts.size
    samples.lost += wanted - this.deliveryCounts.size
    samples.deliveredTwice += [...this.deliveryCounts.values()].filter((count) => count > 1).length
  }

  private async submit (step: number): Promise<void> {
    const groups = Array.from({ length: this.plan.groups }, (_, index) => ({
      id: `step-${step}-${index}`, step, prompt: `${this.plan.topic} ${step}.${index}`, samples: this.plan.samples, issued_at: Date.now()
    }))
    while (await this.post('groups', { groups }) === undefined) await pause(100)
  }

  private async collect (wanted: number): Promise<void> {
    const deadline = performance.now() + 40_000
    while (this.deliveryCounts.size < wanted && performance.now() < deadline) {
      const pullStartedAt = performance.now()
      const version = this.newestWeights.version
      const batch = await this.post('pull', { cursor: this.cursor, version, maximum: 64, wait_ms: 1000 }) as { cursor: number, samples: Sample[] } | undefined
      this.idleMs += performance.now() - pullStartedAt
      if (batch === undefined) continue
      this.cursor = batch.cursor
      for (const sample of batch.samples) this.recordSample(sample, version)
    }
  }

  private recordSample (sample: Sample, version: number): void {
    const name = `${sample.group}/${sample.index}`
    this.deliveryCounts.set(name, (this.deliveryCounts.get(name) ?? 0) + 1)
    const age = Math.max(0, version - Math.min(...sample.segments.map((segment) => segment.version)))
    const { samples, trainers } = this.tally
    trainers.staleness[age] = (trainers.staleness[age] ?? 0) + 1
    if (age > this.plan.staleness) samples.tooOld++
    if (findAttributionErrors(sample.text, sample.segments).length > 0) samples.wronglyAttributed++
  }

  private async publish (): Promise<void> {
    const version = this.newestWeights.version + 1
    const address = await this.addressBook.next()
    try {
      const answer = await request(`${address}/v1/command`, {
        method: 'POST',
        headers: { authorization: `Bearer ${keys.operator}`, 'content-type': 'application/json' },
        body: JSON.stringify({ statement: `load weights ${version} on pool ${this.plan.pool}` }),
        signal: AbortSignal.timeout(5000)
      })
      await answer.body.dump()
      if (answer.statusCode === 200) this.newestWeights.version = Math.max(this.newestWeights.version, version)
    } catch {}
  }

  private async post (operation: string, body: unknown): Promise<unknown> {
    try {
      const address = await this.addressBook.next()
      const answer = await request(`${address}/v1/subscriptions/${this.plan.subscription}/${operation}`, {
        method: 'POST',
        headers: { authorization: `Bearer ${this.plan.key}`, 'content-type': 'application/json' },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(6000)
      })
      const parsed = await answer.body.json()
      if (answer.statusCode === 200) return parsed
    } catch {}
    await pause(100)
    return undefined
  }
}
