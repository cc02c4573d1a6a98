/** Writes results. The text is written before the result record that refers to it, so that every reader of the record finds the text. */

import type { Result } from '../../../base/common/resultCode.ts'
import { success } from '../../../base/common/resultCode.ts'
import { resultRecord } from '../../../core/common/steps/stepRecords.ts'
import type { SampleResult } from '../../../core/common/steps/step.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import type { StepContents } from './stepContents.ts'
import type { ItemWork, StepWork } from './stepWork.ts'

export interface ResultWriterServices {
  readonly appender: GroupAppender
  readonly contents: StepContents
  readonly clock: Clock
  readonly stateLog: StateLog
}

/** Longer than an outage of the store. After this time, the result is written again from the start. */
const WRITE_TIMEOUT_MS = 60_000
/** Delay before a write that ended with an unexpected error is repeated. */
const ERROR_RETRY_DELAY_MS = 1000

export class ResultWriter {
  constructor (private readonly services: ResultWriterServices) {}

  /** Writes the result of an item, with retries until the store has it or the item is cancelled. */
  write (work: StepWork, itemWork: ItemWork, result: SampleResult): void {
    const { clock, stateLog } = this.services
    const step = work.step.submission.id
    itemWork.state = 'listing'
    itemWork.phases.enter('writing', clock.monotonic())
    this.appendResult(step, result, itemWork).then((written) => {
      if (written.ok || itemWork.cancel.signal.aborted) return
      stateLog.alarm('result not taken by the store', { step, item: result.item, error: written.message })
      this.write(work, itemWork, result)
    }).catch((error: unknown) => {
      stateLog.alarm('listing failed', { step, item: result.item, error: String(error) })
      clock.after(ERROR_RETRY_DELAY_MS, () => { if (!itemWork.cancel.signal.aborted) this.write(work, itemWork, result) })
    })
  }

  private async appendResult (step: string, { text, ...result }: SampleResult, { cancel, phases }: ItemWork): Promise<Result<unknown>> {
    const { contents, appender, clock } = this.services
    const saved = result.state === 'complete' ? await contents.saveText(step, result.item, text, WRITE_TIMEOUT_MS) : undefined
    if (saved?.ok === false || cancel.signal.aborted) return saved ?? success(undefined)
    phases.enter('listing', clock.monotonic())
    return await appender.append((nonce) => [resultRecord(step, { ...result, textKey: saved?.value.key, textAt: saved?.value.at, textFrom: saved?.value.from }, nonce)], WRITE_TIMEOUT_MS)
  }
}
