/**
 * Drops steps whose time is over from the store. A keyed topic keeps the newest record of each key
 * for good; without this a store that takes some hundred megabytes is full within the hour, and then
 * refuses every submission.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { DisposableStore } from '../../../base/common/lifecycle.ts'
import type { FoldedStep, StepChange } from '../../../core/common/steps/stepFold.ts'
import { tombstone } from '../../../core/common/keyedRecords.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { DutyKeeper } from '../duties/dutyKeeper.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import type { StepTopic } from '../store/stepTopic.ts'
import type { StepContents } from './stepContents.ts'

export interface StepCleanerServices {
  readonly topic: Pick<StepTopic, 'steps' | 'keysOf' | 'contentKeysOf' | 'onChange'>
  readonly appender: Pick<GroupAppender, 'append'>
  readonly contents: Pick<StepContents, 'drop'>
  readonly duty: Pick<DutyKeeper, 'holds'>
  readonly clock: Clock
  readonly stateLog: StateLog
}

/** Time between two looks, in milliseconds: a step that is kept a little longer does no harm. */
const LOOK_MS = 10_000

export class StepCleaner implements Disposable {
  private readonly disposables = new DisposableStore()
  /** Monotonic times at which this host first read of each step. */
  private readonly learnedAt = new Map<string, number>()

  /** @param keepMs how long a step is kept after this host has read of it, at least */
  constructor (private readonly services: StepCleanerServices, private readonly keepMs: number) {
    this.disposables.add(services.topic.onChange((change) => { this.note(change) }))
    this.disposables.add(services.clock.every(LOOK_MS, () => { this.look() }))
  }

  dispose (): void {
    this.disposables.dispose()
  }

  private note (change: StepChange): void {
    if (change.type === 'forgotten') this.learnedAt.delete(change.step)
    if (change.type !== 'accepted') return
    const { id } = change.step.submission
    if (!this.learnedAt.has(id)) this.learnedAt.set(id, this.services.clock.monotonic())
  }

  private look (): void {
    const { topic, duty } = this.services
    if (!duty.holds) return
    for (const step of [...topic.steps()]) if (this.isOver(step)) this.drop(step.submission.id)
  }

  /**
   * A step that is still open is kept however old it is. The age is counted on this host's own monotonic clock: the
   * submission's time is of another host, and a clock that is ahead of it would take steps away while trainers
   * read them. A host that has just started keeps what it finds for as long again.
   */
  private isOver ({ submission, ended, results, items }: FoldedStep): boolean {
    const learnedAt = this.learnedAt.get(submission.id)
    return learnedAt !== undefined && this.services.clock.monotonic() - learnedAt > this.keepMs && (ended || results.length === items.size)
  }

  private drop (step: string): void {
    const { topic, contents, appender, stateLog } = this.services
    const records = topic.keysOf(step).map(tombstone)
    // The step's own records go last: they name the others, and a holder that is lost in between leaves none behind.
    contents.drop(topic.contentKeysOf(step)).then(async (gone) => gone.ok ? await appender.append(() => records, LOOK_MS) : gone).then((dropped) => {
      stateLog.decided('step forgotten', { step, records: records.length, failed: !dropped.ok })
    }).catch((error: unknown) => { stateLog.alarm('step not forgotten', { step, error: String(error) }) })
  }
}
