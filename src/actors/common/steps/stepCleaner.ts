/**
 * Drops steps whose time is over from the store. A keyed topic keeps the newest record of each key
 * for good; without this a store that takes some hundred megabytes is full within the hour, and then
 * refuses every submission.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import { dropRecord } from '../../../core/common/steps/stepRecords.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { DutyKeeper } from '../duties/dutyKeeper.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import type { StepTopic } from '../store/stepTopic.ts'
import type { StepContents } from './stepContents.ts'

export interface StepCleanerServices {
  readonly topic: StepTopic
  readonly appender: GroupAppender
  readonly contents: StepContents
  readonly duty: DutyKeeper
  readonly clock: Clock
  readonly stateLog: StateLog
}

/** Time between two looks, in milliseconds: a step that is kept a little longer does no harm. */
const LOOK_MS = 10_000

export class StepCleaner implements Disposable {
  private readonly timer: Disposable

  /** @param keepMs how long a step is kept after its submission, at least */
  constructor (private readonly services: StepCleanerServices, private readonly keepMs: number) {
    this.timer = services.clock.every(LOOK_MS, () => { this.look() })
  }

  dispose (): void {
    this.timer.dispose()
  }

  private look (): void {
    const { topic, duty } = this.services
    if (!duty.holds) return
    for (const step of [...topic.steps()]) if (this.isOver(step)) this.drop(step.submission.id)
  }

  /** A step that is still open is kept however old it is. */
  private isOver ({ submittedAt, ended, results, items }: FoldedStep): boolean {
    return this.services.clock.wall() - submittedAt > this.keepMs && (ended || results.length === items.size)
  }

  private drop (step: string): void {
    const { topic, contents, appender, stateLog } = this.services
    const records = topic.keysOf(step).map(dropRecord)
    // The step's own records go last: they name the others, and a holder that is lost in between leaves none behind.
    contents.drop(topic.contentKeysOf(step)).then(async (gone) => gone.ok ? await appender.append(() => records, LOOK_MS) : gone).then((dropped) => {
      stateLog.decided('step forgotten', { step, records: records.length, failed: !dropped.ok })
    }).catch((error: unknown) => { stateLog.alarm('step not forgotten', { step, error: String(error) }) })
  }
}
