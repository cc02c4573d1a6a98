/** A trainer of the demo: submits a step's groups, pulls until it has them, trains, publishes weights. */

import { request } from 'undici'
import { attributionFaults } from '../../test/support/judge.ts'
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
  /** Beginning of the prompts: shaped like the users' work. */
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
  private readonly taken = new Map<string, number>()
  private cursor = 0
  private idleMs = 0
  private began = 0
  private ended = 0
  finishedSteps = 0

  constructor (private readonly plan: TrainerPlan, private readonly book: AddressBook, private readonly tally: Tally, private readonly newest: { version: number }) {}

  get idleShare (): number {
    return this.idleMs / Math.max(1, this.ended - this.began)
  }

  /** Runs all steps, submitting one step ahead; counts what came into the tally. */
  async run (): Promise<void> {
    this.began = performance.now()
    await this.submit(0)
    for (let step = 0; step < this.plan.steps; step++) {
      if (step + 1 < this.plan.steps) await this.submit(step + 1)
      await this.collect((step + 1) * this.plan.groups * this.plan.samples)
      await pause(this.plan.trainMs)
      await this.publish()
      this.finishedSteps++
    }
    this.ended = performance.now()
    const wanted = this.plan.steps * this.plan.groups * this.plan.samples
    const { samples } = this.tally
    samples.submitted += wanted
    samples.delivered += this.taken.size
    samples.lost += wanted - this.taken.size
    samples.deliveredTwice += [...this.taken.values()].filter((count) => count > 1).length
  }

  private async submit (step: number): Promise<void> {
    const groups = Array.from({ length: this.plan.groups }, (_, index) => ({
      id: `step-${step}-${index}`, step, prompt: `${this.plan.topic} ${step}.${index}`, samples: this.plan.samples, issued_at: Date.now()
    }))
    while (await this.ask('groups', { groups }) === undefined) await pause(100)
  }

  private async collect (wanted: number): Promise<void> {
    const until = performance.now() + 40_000
    while (this.taken.size < wanted && performance.now() < until) {
      const waiting = performance.now()
      const version = this.newest.version
      const batch = await this.ask('pull', { cursor: this.cursor, version, maximum: 64, wait_ms: 1000 }) as { cursor: number, samples: Sample[] } | undefined
      this.idleMs += performance.now() - waiting
      if (batch === undefined) continue
      this.cursor = batch.cursor
      for (const sample of batch.samples) this.take(sample, version)
    }
  }

  private take (sample: Sample, version: number): void {
    const name = `${sample.group}/${sample.index}`
    this.taken.set(name, (this.taken.get(name) ?? 0) + 1)
    const age = Math.max(0, version - Math.min(...sample.segments.map((segment) => segment.version)))
    const { samples, trainers } = this.tally
    trainers.staleness[age] = (trainers.staleness[age] ?? 0) + 1
    if (age > this.plan.staleness) samples.tooOld++
    if (attributionFaults(sample.text, sample.segments).length > 0) samples.wronglyAttributed++
  }

  private async publish (): Promise<void> {
    const version = this.newest.version + 1
    const address = await this.book.next()
    try {
      const answer = await request(`${address}/v1/command`, {
        method: 'POST',
        headers: { authorization: `Bearer ${keys.operator}`, 'content-type': 'application/json' },
        body: JSON.stringify({ statement: `load weights ${version} on pool ${this.plan.pool}` }),
        signal: AbortSignal.timeout(5000)
      })
      await answer.body.dump()
      if (answer.statusCode === 200) this.newest.version = Math.max(this.newest.version, version)
    } catch {}
  }

  private async ask (what: string, body: unknown): Promise<unknown> {
    try {
      const address = await this.book.next()
      const answer = await request(`${address}/v1/subscriptions/${this.plan.subscription}/${what}`, {
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
