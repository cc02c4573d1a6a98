/**
 * Drops expired crash, clearance and trial records from the topic. A keyed topic keeps the newest record of each key indefinitely, and every
 * host that starts reads them all. Once its records are dropped, a request is no longer marked and is sent like any other.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { tombstone } from '../../../core/common/keyedRecords.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { DutyLeaseManager } from '../duties/dutyLeaseManager.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import type { RequestQuarantine } from './requestQuarantine.ts'

export interface CrashRecordCleanerServices {
  readonly held: Pick<RequestQuarantine, 'expiredKeys'>
  readonly appender: Pick<GroupAppender, 'append'>
  readonly duty: Pick<DutyLeaseManager, 'holds'>
  readonly clock: Clock
  readonly stateLog: StateLog
}

/** Interval between cleanup runs; a mark that is kept slightly past its retention period does no harm. */
const CLEANUP_INTERVAL_MS = 10_000
/** Limit of records dropped by one run; the remaining ones are dropped by later runs. */
const MAX_DROPPED_PER_RUN = 500

export class CrashRecordCleaner implements Disposable {
  private readonly timer: Disposable

  constructor (private readonly services: CrashRecordCleanerServices) {
    this.timer = services.clock.every(CLEANUP_INTERVAL_MS, () => { this.removeExpired() })
  }

  dispose (): void {
    this.timer.dispose()
  }

  private removeExpired (): void {
    const { held, duty, appender, stateLog } = this.services
    if (!duty.holds) return
    const keys = held.expiredKeys().slice(0, MAX_DROPPED_PER_RUN)
    if (keys.length === 0) return
    appender.append(() => keys.map(tombstone), CLEANUP_INTERVAL_MS).then((dropped) => {
      stateLog.decided('ends of targets forgotten', { records: keys.length, failed: !dropped.ok })
    }).catch((error: unknown) => { stateLog.alarm('ends of targets not forgotten', { error: String(error) }) })
  }
}
