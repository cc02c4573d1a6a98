/**
 * Reports the usage of each window while this host holds the duty: seals the counts in the store, sends what is sealed until it is
 * accepted, and writes down up to where all is reported. A window is sent late rather than not at all.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { DisposableStore } from '../../../base/common/lifecycle.ts'
import type { SealedWindow } from '../../../core/common/usage/usageFold.ts'
import type { UsageAction, UsageTimes } from '../../../core/common/usage/usagePlan.ts'
import { nextUsageAction, windowAt } from '../../../core/common/usage/usagePlan.ts'
import { reportedRecord, sealRecord } from '../../../core/common/usage/usageRecords.ts'
import { tombstone } from '../../../core/common/keyedRecords.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { KeyedLog } from '../../../ports/common/keyedLog.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { PlatformDuties } from '../../../ports/common/platformDuties.ts'
import type { DutyLeaseManager } from '../duties/dutyLeaseManager.ts'
import { keyNonce } from '../store/groupAppender.ts'
import { UsageLedger } from './usageLedger.ts'

export interface UsageReporterServices {
  readonly duty: Pick<DutyLeaseManager, 'alone' | 'holds' | 'term' | 'onChange'>
  readonly log: KeyedLog
  readonly duties: Pick<PlatformDuties, 'reportUsage'>
  readonly clock: Clock
  readonly chance: Chance
  readonly stateLog: StateLog
  /** Machine of this host: the holder's name. */
  readonly machine: string
}

/** Time between two looks, in milliseconds. */
const LOOK_MS = 250
/** Pause after a call that was refused or not answered, in milliseconds; it doubles with each further one, and is drawn between half and all of it. */
const RETRY_MS = 250
const LONGEST_RETRY_MS = 4000
/** Records that are dropped with one report, at most; the others go with the next ones. */
const MOST_DROPPED = 1000

export class UsageReporter implements Disposable {
  private readonly disposables = new DisposableStore()
  private readonly ledger: UsageLedger
  private readonly acknowledged = new Set<number>()
  private firstWindow = 0
  private timer: Disposable | undefined
  private working = false
  private failures = 0
  private pausedUntil = Number.NEGATIVE_INFINITY

  constructor (private readonly services: UsageReporterServices, private readonly times: UsageTimes) {
    this.ledger = new UsageLedger(services.log)
    this.disposables.add(services.duty.onChange(() => {
      this.timer?.dispose()
      this.firstWindow = windowAt(services.clock.wall(), times.windowMs)
      this.timer = services.duty.holds ? services.clock.every(LOOK_MS, () => { this.look() }) : undefined
    }))
  }

  /** Last window up to which all are reported, as this host knows it. */
  get reportedThrough (): number | undefined {
    return this.ledger.fold.reportedThrough
  }

  dispose (): void {
    this.timer?.dispose()
    this.disposables.dispose()
  }

  private look (): void {
    const { clock, duty, chance, stateLog } = this.services
    if (this.working || !duty.alone || clock.monotonic() < this.pausedUntil) return
    this.working = true
    this.work().catch((error: unknown) => {
      stateLog.alarm('usage not reported', { error: String(error) })
      return false
    }).then((done) => {
      this.failures = done ? 0 : this.failures + 1
      const pauseMs = Math.min(LONGEST_RETRY_MS, RETRY_MS * 2 ** (this.failures - 1))
      if (this.failures > 0) this.pausedUntil = clock.monotonic() + pauseMs * (1 + chance.next()) / 2
    }).finally(() => { this.working = false }).catch(() => undefined)
  }

  /** Takes steps while there are any; false where one failed and is to be tried again later. */
  private async work (): Promise<boolean> {
    while (this.services.duty.alone) {
      // Nothing is read before something is due: the store is asked a few times for each window.
      if (this.ledger.loaded && this.next().type === 'wait') return true
      if (!await this.ledger.readOn()) return false
      this.tellLate()
      const step = this.next()
      if (step.type === 'wait') return true
      if (!await this.take(step)) return false
    }
    return true
  }

  private next (): UsageAction {
    return nextUsageAction(this.ledger.fold, { acknowledged: this.acknowledged, firstWindow: this.firstWindow }, this.services.clock.wall(), this.times)
  }

  private async take (step: Exclude<UsageAction, { type: 'wait' }>): Promise<boolean> {
    const { log, chance } = this.services
    switch (step.type) {
      // A seal without an answer may stand all the same: what counts is what the topic says when it is read again.
      case 'seal': return (await log.append([sealRecord(step.window, step.counts, keyNonce(chance))])).ok
      case 'report': return await this.report(step.report)
      case 'close': {
        const closed = await log.append([reportedRecord(step.through), ...step.keys.slice(0, MOST_DROPPED).map(tombstone)])
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
        // It would be rejected again, and the windows after it would never be reported.
        stateLog.alarm('usage report rejected', { window })
        this.acknowledged.add(window)
        return true
      case 'later':
      case 'no-answer':
        return false
    }
  }

  private tellLate (): void {
    const requests = this.ledger.fold.takeLateCount()
    if (requests === 0) return
    this.services.stateLog.alarm('usage counted too late for its report', { requests })
  }
}
