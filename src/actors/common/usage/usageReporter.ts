/**
 * Reports the usage of each window while this host holds the duty: seals the counts in the store, sends sealed windows until they are
 * accepted, and records up to which window all are reported. A window is reported late rather than not at all.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { DisposableStore } from '../../../base/common/lifecycle.ts'
import type { SealedWindow } from '../../../core/common/usage/usageFold.ts'
import type { UsageAction, UsageTimes } from '../../../core/common/usage/usagePlan.ts'
import { nextUsageAction, windowAt } from '../../../core/common/usage/usagePlan.ts'
import { reportedRecord, sealRecord } from '../../../core/common/usage/usageRecords.ts'
import { tombstone } from '../../../core/common/keyedRecords.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { KeyedLog } from '../../../ports/common/keyedLog.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { PlatformDuties } from '../../../ports/common/platformDuties.ts'
import type { DutyLeaseManager } from '../duties/dutyLeaseManager.ts'
import { keyNonce } from '../store/groupAppender.ts'
import { UsageTopicReader } from './usageTopicReader.ts'

export interface UsageReporterServices {
  readonly duty: Pick<DutyLeaseManager, 'alone' | 'holds' | 'term' | 'onChange'>
  readonly log: KeyedLog
  readonly duties: Pick<PlatformDuties, 'reportUsage'>
  readonly clock: Clock
  readonly chance: RandomSource
  readonly stateLog: StateLog
  /** Machine of this host, which is the name of the duty holder. */
  readonly machine: string
}

const CHECK_INTERVAL_MS = 250
/** Initial pause after a refused or unanswered call; it doubles with each further one, with jitter between half and all of it. */
const INITIAL_RETRY_DELAY_MS = 250
const MAX_RETRY_DELAY_MS = 4000
/** Limit of records dropped with one report; the remaining ones are dropped with later reports. */
const MAX_DROPPED_PER_REPORT = 1000

export class UsageReporter implements Disposable {
  private readonly disposables = new DisposableStore()
  private readonly reader: UsageTopicReader
  private readonly acknowledged = new Set<number>()
  private firstWindow = 0
  private timer: Disposable | undefined
  private running = false
  private failures = 0
  private pausedUntil = Number.NEGATIVE_INFINITY

  constructor (private readonly services: UsageReporterServices, private readonly times: UsageTimes) {
    this.reader = new UsageTopicReader(services.log)
    this.disposables.add(services.duty.onChange(() => {
      this.timer?.dispose()
      this.firstWindow = windowAt(services.clock.wall(), times.windowMs)
      this.timer = services.duty.holds ? services.clock.every(CHECK_INTERVAL_MS, () => { this.runIfDue() }) : undefined
    }))
  }

  /** The last window up to which all are reported, as far as this host knows. */
  get reportedThrough (): number | undefined {
    return this.reader.fold.reportedThrough
  }

  dispose (): void {
    this.timer?.dispose()
    this.disposables.dispose()
  }

  private runIfDue (): void {
    const { clock, duty, chance, stateLog } = this.services
    if (this.running || !duty.alone || clock.monotonic() < this.pausedUntil) return
    this.running = true
    this.runSteps().catch((error: unknown) => {
      stateLog.alarm('usage not reported', { error: String(error) })
      return false
    }).then((done) => {
      this.failures = done ? 0 : this.failures + 1
      const retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** (this.failures - 1))
      if (this.failures > 0) this.pausedUntil = clock.monotonic() + retryDelayMs * (1 + chance.next()) / 2
    }).finally(() => { this.running = false }).catch(() => undefined)
  }

  /** Runs all steps that are due; resolves to false if one failed and is to be retried later. */
  private async runSteps (): Promise<boolean> {
    while (this.services.duty.alone) {
      // Nothing is read before a step is due, so that the store gets only a few reads for each window.
      if (this.reader.loaded && this.nextStep().type === 'wait') return true
      if (!await this.reader.catchUp()) return false
      this.logLateCounts()
      const step = this.nextStep()
      if (step.type === 'wait') return true
      if (!await this.runStep(step)) return false
    }
    return true
  }

  private nextStep (): UsageAction {
    return nextUsageAction(this.reader.fold, { acknowledged: this.acknowledged, firstWindow: this.firstWindow }, this.services.clock.wall(), this.times)
  }

  private async runStep (step: Exclude<UsageAction, { type: 'wait' }>): Promise<boolean> {
    const { log, chance } = this.services
    switch (step.type) {
      // An unconfirmed seal may still be in the topic, so the next read of the topic decides.
      case 'seal': return (await log.append([sealRecord(step.window, step.counts, keyNonce(chance))])).ok
      case 'report': return await this.report(step.report)
      case 'close': {
        const closed = await log.append([reportedRecord(step.through), ...step.keys.slice(0, MAX_DROPPED_PER_REPORT).map(tombstone)])
        if (closed.ok) for (const window of [...this.acknowledged]) if (window <= step.through) this.acknowledged.delete(window)
        return closed.ok
      }
    }
  }

  private async report ({ window, counts }: SealedWindow): Promise<boolean> {
    const { duties, duty, clock, machine, stateLog } = this.services
    if (!duty.alone) return false
    const afterMs = Math.round(clock.wall() - (window + 1) * this.times.windowMs)
    const verdict = await duties.reportUsage({ window, counts }, { name: machine, term: duty.term })
    const requests = [...counts.values()].reduce((sum, count) => sum + count, 0)
    stateLog.decided('usage reported', { window, workspaces: counts.size, requests, outcome: verdict, afterMs, term: duty.term })
    switch (verdict) {
      case 'accepted':
        this.acknowledged.add(window)
        return true
      case 'rejected':
        // A retry would be rejected again, and later windows would never be reported.
        stateLog.alarm('usage report rejected', { window })
        this.acknowledged.add(window)
        return true
      case 'later':
      case 'no-answer':
        return false
    }
  }

  private logLateCounts (): void {
    const requests = this.reader.fold.takeLateCount()
    if (requests === 0) return
    this.services.stateLog.alarm('usage counted too late for its report', { requests })
  }
}
