/**
 * Serves the requests of trainers: submissions of groups and pulls of samples. Any host can answer
 * them, as all decisions are made by the fold.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { Batch, SubscriptionState } from '../../../core/common/fold/subscriptions.ts'
import type { RecordOf, Segment } from '../../../core/common/fold/records.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { Appender } from '../log/appender.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { PayloadStore } from './payloadStore.ts'

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
  /** Number of samples to wait for, up to the maximum wait. */
  readonly minimum: number
  readonly waitMs: number
}

/** A sample as delivered to a trainer. */
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

export interface TrainerServiceDependencies {
  readonly fold: FoldView
  readonly appender: Pick<Appender, 'decide'>
  readonly payloads: PayloadStore
  readonly clock: Clock
  readonly chance: RandomSource
  readonly hash: Hash
}

export class TrainerService {
  constructor (private readonly services: TrainerServiceDependencies, private readonly verdictTimeoutMs: number) {}

  /** Records groups and returns when all of them are in the fold. Submitting a group again is idempotent. */
  async submit (subscription: string, groups: readonly SubmittedGroup[]): Promise<Result<number>> {
    const references = await this.services.payloads.append(groups.map((group) => group.prompt))
    if (!references.ok) return retryLater(references.message)
    const verdicts = await Promise.all(groups.map(async (group, position) => {
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
      return await this.services.appender.decide(record, this.verdictTimeoutMs)
    }))
    for (const verdict of verdicts) {
      if (!verdict.ok) return verdict
      if (!verdict.value.result.ok) return verdict.value.result
    }
    return success(groups.length)
  }

  /** Returns the next batch, waiting for samples if there are none. */
  async pull (subscription: string, request: PullRequest): Promise<Result<PulledBatch>> {
    const deadline = this.services.clock.monotonic() + request.waitMs
    let batch = await this.pullWhenDue(subscription, request, deadline)
    while (batch.ok && batch.value.groups.length === 0 && this.services.clock.monotonic() < deadline) {
      batch = await this.pullWhenDue(subscription, request, deadline)
    }
    if (!batch.ok) return batch
    return await this.readSamples(batch.value)
  }

  /**
   * Writes the record of a pull when the pull acknowledges a batch, repeats a pull whose answer was lost,
   * or when enough samples are ready. No record is written while the pull would return no samples.
   */
  private async pullWhenDue (subscription: string, request: PullRequest, deadline: number): Promise<Result<Batch>> {
    const isUrgent = (): boolean => {
      const state = this.subscriptionState(subscription)
      return request.cursor !== (state?.acknowledged ?? 0) || state?.handover !== undefined
    }
    const hasEnoughSamples = (): boolean => this.countReadySamples(subscription) >= request.minimum
    if (!isUrgent() && !hasEnoughSamples()) await this.waitForCondition(() => isUrgent() || hasEnoughSamples(), deadline)
    if (!isUrgent() && this.countReadySamples(subscription) === 0) return success({ nextCursor: request.cursor, groups: [] })
    const record: RecordOf<'pull'> = { kind: 'pull', ...this.recordBase(), subscription, cursor: request.cursor, version: request.version, maximum: request.maximum }
    const decided = await this.services.appender.decide(record, this.verdictTimeoutMs)
    if (!decided.ok) return retryLater(decided.message)
    return decided.value.result as Result<Batch>
  }

  private subscriptionState (subscription: string): SubscriptionState | undefined {
    return this.services.fold.state.subscriptions[subscription]
  }

  private countReadySamples (subscription: string): number {
    const state = this.subscriptionState(subscription)
    return (state?.ready ?? []).reduce((sum, name) => sum + (state?.groups[name]?.slots.length ?? 0), 0)
  }

  private async waitForCondition (condition: () => boolean, deadline: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = this.services.clock.after(Math.max(0, deadline - this.services.clock.monotonic()), done)
      const listener = this.services.fold.onChange(() => { if (condition()) done() })
      function done (): void {
        timer.dispose()
        listener.dispose()
        resolve()
      }
    })
  }

  /** Reads the texts of a batch. If one cannot be read at present, the trainer repeats the pull and receives the same batch. */
  private async readSamples (batch: Batch): Promise<Result<PulledBatch>> {
    const slots = batch.groups.flatMap(({ group, step, slots }) => slots.map((sample, index) => ({ group, step, index, sample })))
    const texts = await this.services.payloads.readAll(slots.map(({ sample }) => sample.payload))
    if (!texts.ok) return retryLater(texts.message)
    const samples = slots.map(({ group, step, index, sample }, position): DeliveredSample => ({
      group, step, index, text: texts.value[position] ?? '', score: sample.score, segments: sample.segments
    }))
    return success({ cursor: batch.nextCursor, samples })
  }

  private recordBase (): { id: string, at: number } {
    return { id: this.services.chance.id(), at: this.services.clock.wall() }
  }
}

/** Returns a failure that tells the trainer to retry, as pulls and submissions are idempotent. */
function retryLater (message: string): Result<never> {
  return failure('logUnavailable', message, { retryAfterMs: 1000 })
}
