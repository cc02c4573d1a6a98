/** Writes results: the text of each first, so that whoever reads of a result finds its text, and then where it stands. */

import type { Result } from '../../../base/common/resultCode.ts'
import { success } from '../../../base/common/resultCode.ts'
import { resultRecord } from '../../../core/common/steps/stepRecords.ts'
import type { SampleResult } from '../../../core/common/steps/step.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import type { StepContents } from './stepContents.ts'
import type { ItemWork, StepWork } from './stepWork.ts'

export interface ResultListerServices {
  readonly appender: GroupAppender
  readonly contents: StepContents
  readonly clock: Clock
  readonly stateLog: StateLog
}

/** How long a result is offered to the topic before it is made anew, in milliseconds: longer than outages of the store. */
const LIST_MS = 60_000

export class ResultLister {
  constructor (private readonly services: ResultListerServices) {}

  /** Writes the result of an item until the store has it, unless the item is cancelled before. */
  list (work: StepWork, itemWork: ItemWork, result: SampleResult): void {
    const { clock, stateLog } = this.services
    const step = work.step.submission.id
    itemWork.state = 'listing'
    itemWork.phases.enter('writing', clock.monotonic())
    this.write(step, result, itemWork).then((written) => {
      if (written.ok || itemWork.cancel.signal.aborted) return
      stateLog.alarm('result not taken by the store', { step, item: result.item, error: written.message })
      this.list(work, itemWork, result)
    }).catch((error: unknown) => { stateLog.alarm('listing failed', { step, item: result.item, error: String(error) }) })
  }

  private async write (step: string, { text, ...result }: SampleResult, { cancel, phases }: ItemWork): Promise<Result<unknown>> {
    const { contents, appender, clock } = this.services
    const saved = result.state === 'complete' ? await contents.saveText(step, result.item, text, LIST_MS) : undefined
    if (saved?.ok === false || cancel.signal.aborted) return saved ?? success(undefined)
    phases.enter('listing', clock.monotonic())
    return await appender.append((nonce) => [resultRecord(step, { ...result, textKey: saved?.value.key, textAt: saved?.value.at, textFrom: saved?.value.from }, nonce)], LIST_MS)
  }
}
