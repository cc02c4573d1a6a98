/**
 * What trainers ask for: submission of groups and pulls of samples. Any host answers; what is
 * decided is decided by the fold.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { Batch, SubscriptionState } from '../../../core/common/fold/subscriptions.ts'
import type { RecordOf, Segment } from '../../../core/common/fold/records.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { Appender } from '../log/appender.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { Payloads } from './payloads.ts'

/** A group as a trainer submits it. */
export interface SubmittedGroup {
  readonly id: string
  readonly step: number
  readonly prompt: string
  readonly samples: number
  /** Time of issue, in milliseconds since the epoch. */
  readonly issuedAt: number
}

export interface PullRequest {
  readonly cursor: number
  readonly version: number
  readonly maximum: number
  /** Samples to wait for, as long as the wait allows. */
  readonly minimum: number
  readonly waitMs: number
}

/** A sample as a trainer gets it. */
export interface DeliveredSample {
  readonly group: string
  readonly step: number
  readonly index: number
  readonly text: string
  readonly score: number
  readonly segments: readonly Segment[]
}

export interface PulledBatch {
  /** Cursor of the next pull; it acknowledges this batch. */
  readonly cursor: number
  readonly samples: readonly DeliveredSample[]
}

export interface TrainerDeskServices {
  readonly fold: FoldView
  readonly appender: Pick<Appender, 'decide'>
  readonly payloads: Payloads
  readonly clock: Clock
  readonly chance: Chance
  readonly hash: Hash
}

export class TrainerDesk {
  constructor (private readonly services: TrainerDeskServices, private readonly verdictWaitMs: number) {}

  /** Records groups; answers only once all are in the fold. Submitting a group again is harmless. */
  async submit (subscription: string, groups: readonly SubmittedGroup[]): Promise<Result<number>> {
    const references = await this.services.payloads.append(groups.map((group) => group.prompt))
    if (!references.ok) return notTaken(references.message)
    const decided = await Promise.all(groups.map(async (group, position) => {
      const payload = references.value[position] ?? { offset: 0, item: 0 }
      const record: RecordOf<'submit'> = {
        kind: 'submit',
        ...this.recordBase(),
        subscription,
        group: group.id,
        step: group.step,
        samples: group.samples,
        issuedAt: group.issuedAt,
        digest: this.services.hash.digest(group.prompt),
        payload
      }
      return await this.services.appender.decide(record, this.verdictWaitMs)
    }))
    for (const verdict of decided) {
      if (!verdict.ok) return verdict
      if (!verdict.value.result.ok) return verdict.value.result
    }
    return success(groups.length)
  }

  /** Hands over the next batch, waiting for samples if there are none. */
  async pull (subscription: string, request: PullRequest): Promise<Result<PulledBatch>> {
    const until = this.services.clock.monotonic() + request.waitMs
    let batch = await this.decideWhenDue(subscription, request, until)
    while (batch.ok && batch.value.groups.length === 0 && this.services.clock.monotonic() < until) {
      batch = await this.decideWhenDue(subscription, request, until)
    }
    if (!batch.ok) return batch
    return await this.describe(batch.value)
  }

  /**
   * A pull is one record. It is written when it has something to acknowledge, when it repeats one
   * whose answer was lost, or when enough samples wait; not while it would come back empty.
   */
  private async decideWhenDue (subscription: string, request: PullRequest, until: number): Promise<Result<Batch>> {
    const urgent = (): boolean => {
      const state = this.state(subscription)
      return request.cursor !== (state?.acknowledged ?? 0) || state?.handover !== undefined
    }
    const enough = (): boolean => this.readySamples(subscription) >= request.minimum
    if (!urgent() && !enough()) await this.waitFor(() => urgent() || enough(), until)
    if (!urgent() && this.readySamples(subscription) === 0) return success({ nextCursor: request.cursor, groups: [] })
    const record: RecordOf<'pull'> = { kind: 'pull', ...this.recordBase(), subscription, cursor: request.cursor, version: request.version, maximum: request.maximum }
    const decided = await this.services.appender.decide(record, this.verdictWaitMs)
    if (!decided.ok) return notTaken(decided.message)
    return decided.value.result as Result<Batch>
  }

  private state (subscription: string): SubscriptionState | undefined {
    return this.services.fold.state.subscriptions[subscription]
  }

  private readySamples (subscription: string): number {
    const state = this.state(subscription)
    return (state?.ready ?? []).reduce((sum, name) => sum + (state?.groups[name]?.slots.length ?? 0), 0)
  }

  private async waitFor (condition: () => boolean, until: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = this.services.clock.after(Math.max(0, until - this.services.clock.monotonic()), done)
      const listener = this.services.fold.onChange(() => { if (condition()) done() })
      function done (): void {
        timer.dispose()
        listener.dispose()
        resolve()
      }
    })
  }

  /** If a text cannot be read now the trainer repeats the pull and is given the same batch. */
  private async describe (batch: Batch): Promise<Result<PulledBatch>> {
    const slots = batch.groups.flatMap(({ group, step, slots }) => slots.map((sample, index) => ({ group, step, index, sample })))
    const texts = await this.services.payloads.readAll(slots.map(({ sample }) => sample.payload))
    if (!texts.ok) return notTaken(texts.message)
    const samples = slots.map(({ group, step, index, sample }, position): DeliveredSample => ({
      group, step, index, text: texts.value[position] ?? '', score: sample.score, segments: sample.segments
    }))
    return success({ cursor: batch.nextCursor, samples })
  }

  private recordBase (): { id: string, at: number } {
    return { id: this.services.chance.id(), at: this.services.clock.wall() }
  }
}

/** Pulls and submissions may be repeated without harm, so the trainer is told to come back. */
function notTaken (message: string): Result<never> {
  return failure('logUnavailable', message, { retryAfterMs: 1000 })
}
