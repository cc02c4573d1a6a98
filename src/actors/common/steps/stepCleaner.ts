/**
 * Deletes expired steps from the store. A keyed topic retains the newest record of each key forever; without
 * this, a store with a capacity of some hundred megabytes is full within an hour and then rejects every submission.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { DisposableStore } from '../../../base/common/lifecycle.ts'
import type { FoldedStep, StepChange } from '../../../core/common/steps/stepFold.ts'
import { tombstone } from '../../../core/common/keyedRecords.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { DutyLeaseManager } from '../duties/dutyLeaseManager.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import type { StepTopic } from '../store/stepTopic.ts'
import type { StepContents } from './stepContents.ts'

export interface StepCleanerServices {
  readonly topic: Pick<StepTopic, 'steps' | 'keysOf' | 'contentKeysOf' | 'onChange'>
  readonly appender: Pick<GroupAppender, 'append'>
  readonly contents: Pick<StepContents, 'deleteRecords'>
  readonly duty: Pick<DutyLeaseManager, 'holds'>
  readonly clock: Clock
  readonly stateLog: StateLog
}

/** A step that is kept a little longer does no harm. */
const CHECK_INTERVAL_MS = 10_000

export class StepCleaner implements Disposable {
  private readonly disposables = new DisposableStore()
  /** Monotonic time at which this host first read each step. */
  private readonly firstSeenAt = new Map<string, number>()

  /** @param retentionMs minimum time for which a step is kept after this host first read it, in milliseconds */
  constructor (private readonly services: StepCleanerServices, private readonly retentionMs: number) {
    this.disposables.add(services.topic.onChange((change) => { this.handleChange(change) }))
    this.disposables.add(services.clock.every(CHECK_INTERVAL_MS, () => { this.removeExpired() }))
  }

  dispose (): void {
    this.disposables.dispose()
  }

  private handleChange (change: StepChange): void {
    if (change.type === 'forgotten') this.firstSeenAt.delete(change.step)
    if (change.type !== 'accepted') return
    const { id } = change.step.submission
    if (!this.firstSeenAt.has(id)) this.firstSeenAt.set(id, this.services.clock.monotonic())
  }

  private removeExpired (): void {
    const { topic, duty } = this.services
    if (!duty.holds) return
    for (const step of [...topic.steps()]) if (this.isExpired(step)) this.remove(step.submission.id)
  }

  /**
   * An open step never expires. The age is measured on this host's monotonic clock, because the submission time comes
   * from another host: a clock that is ahead of that host's would delete steps while trainers read them. A host that
   * has just started keeps the steps that it finds for the full retention time.
   */
  private isExpired ({ submission, ended, results, items }: FoldedStep): boolean {
    const firstSeenAt = this.firstSeenAt.get(submission.id)
    return firstSeenAt !== undefined && this.services.clock.monotonic() - firstSeenAt > this.retentionMs && (ended || results.length === items.size)
  }

  private remove (step: string): void {
    const { topic, contents, appender, stateLog } = this.services
    const records = topic.keysOf(step).map(tombstone)
    // The step's own records are deleted last, because they name the content records: if the holder is lost in between, its successor can still delete those.
    contents.deleteRecords(topic.contentKeysOf(step)).then(async (deleted) => deleted.ok ? await appender.append(() => records, CHECK_INTERVAL_MS) : deleted).then((outcome) => {
      stateLog.decided('step forgotten', { step, records: records.length, failed: !outcome.ok })
    }).catch((error: unknown) => { stateLog.alarm('step not forgotten', { step, error: String(error) }) })
  }
}
