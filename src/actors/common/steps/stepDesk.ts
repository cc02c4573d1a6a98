/** What trainers ask of any host: to take a step, to read its results and its items' bodies, to end it. */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import { endRecord, submissionRecords } from '../../../core/common/steps/stepRecords.ts'
import type { SampleResult, StepSubmission } from '../../../core/common/steps/step.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import type { StepTopic } from '../store/stepTopic.ts'

export interface StepDeskServices {
  readonly topic: StepTopic
  readonly appender: GroupAppender
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export interface StepDeskSettings {
  /** How long a submission is offered to the store while its caller waits, in milliseconds. */
  readonly acceptMs: number
  /** How long the end of a step is offered to the store, also after its caller has gone, in milliseconds. */
  readonly endMs: number
  /** Longest wait of a read for a result, in milliseconds. */
  readonly longestWaitMs: number
  /** Characters of a submission, at most: it goes to the store in one piece. */
  readonly submissionCharacters: number
}

export interface ResultPage {
  readonly total: number
  readonly results: readonly SampleResult[]
}

export class StepDesk {
  constructor (private readonly services: StepDeskServices, private readonly settings: StepDeskSettings) {}

  /**
   * Takes a step. `logUnavailable` and `tooLarge`: surely not taken, none of it will run;
   * `commandUnknown`: it may be taken, the same submission may be sent again anywhere.
   */
  async submit (submission: StepSubmission): Promise<Result<void>> {
    const { topic, appender, clock, stateLog } = this.services
    if (topic.step(submission.id) !== undefined) return success(undefined)
    const records = submissionRecords({ submission, at: clock.wall() })
    const characters = records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0)
    if (characters > this.settings.submissionCharacters) return failure('tooLarge', `a submission may have ${this.settings.submissionCharacters} characters, this one has ${characters}`)
    const began = clock.monotonic()
    const appended = await appender.append(() => records, this.settings.acceptMs)
    const taken = appended.ok || (appended.code === 'commandUnknown' && await this.find(submission.id) !== undefined)
    this.services.metrics.timing('steps.accept', clock.monotonic() - began)
    stateLog.decided('step submitted', { step: submission.id, failed: !taken, number: submission.number, model: submission.model, items: submission.items.length, outcome: taken ? 'accepted' : appended.ok ? '' : appended.code, tookMs: Math.round(clock.monotonic() - began), offset: appended.ok ? appended.value : topic.position })
    return taken ? success(undefined) : appended as Result<void>
  }

  /** Reads results from a position on; waits for one up to `waitMs`. */
  async results (id: string, after: number, waitMs: number, gone: AbortSignal): Promise<Result<ResultPage>> {
    const found = await this.known(id)
    if (!found.ok) return found
    const step = found.value
    if (after > step.results.length && !await this.services.topic.catchUp()) {
      return failure('stale', 'this host is behind the store', { retryAfterMs: 200 })
    }
    if (after >= step.results.length && after < step.items.size && waitMs > 0) {
      await this.waitForResult(id, Math.min(waitMs, this.settings.longestWaitMs), gone)
    }
    return success({ total: step.items.size, results: step.results.slice(after) })
  }

  /** Body of an item, in base64, while the item is not listed and its step not ended. */
  async body (id: string, item: string): Promise<Result<string>> {
    const found = await this.known(id)
    if (!found.ok) return found
    const known = found.value.items.get(item)
    if (known === undefined || found.value.ended || found.value.positions.has(item)) return failure('notFound', `item ${item} of step ${id} is not open`)
    return success(known.body)
  }

  /** Ends a step; it is done once the store has it. */
  async end (id: string): Promise<Result<void>> {
    const found = await this.known(id)
    if (!found.ok) return found
    if (found.value.ended) return success(undefined)
    const appended = await this.services.appender.append(() => [endRecord(id)], this.settings.endMs)
    this.services.stateLog.decided('step end asked', { step: id, failed: !appended.ok, outcome: appended.ok ? 'ended' : appended.code })
    if (!appended.ok) return appended
    // Otherwise this host would still give bodies of the step that it has just said to be ended.
    await this.services.topic.catchUp()
    return success(undefined)
  }

  private async find (id: string): Promise<FoldedStep | undefined> {
    const step = this.services.topic.step(id)
    if (step !== undefined) return step
    await this.services.topic.catchUp()
    return this.services.topic.step(id)
  }

  /** A step that is not known here may have been accepted elsewhere; only a host that has read to the end says that there is none. */
  private async known (id: string): Promise<Result<FoldedStep>> {
    const { topic } = this.services
    const step = topic.step(id)
    if (step !== undefined) return success(step)
    if (!await topic.catchUp()) return failure('stale', 'this host may be behind the store', { retryAfterMs: 200 })
    const found = topic.step(id)
    return found === undefined ? failure('notFound', `there is no step ${id}`) : success(found)
  }

  private async waitForResult (id: string, waitMs: number, gone: AbortSignal): Promise<void> {
    const reading = this.services.topic.awaitRecords()
    await new Promise<void>((resolve) => {
      const done = (): void => {
        reading.dispose()
        timer.dispose()
        subscription.dispose()
        gone.removeEventListener('abort', done)
        resolve()
      }
      const timer = this.services.clock.after(waitMs, done)
      const subscription = this.services.topic.onChange((change) => {
        if (change.type !== 'forgotten' && change.type !== 'duty' && change.step.submission.id === id) done()
      })
      gone.addEventListener('abort', done, { once: true })
    })
  }
}
