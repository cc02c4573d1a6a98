/**
 * Drops old records of ends, answers and trials from the topic: a keyed topic keeps the newest record of each key for good, and every
 * host that starts reads them all. With its records a mark lapses, and the request is sent again like any other.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { tombstone } from '../../../core/common/keyedRecords.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { DutyLeaseManager } from '../duties/dutyLeaseManager.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import type { HeldRequests } from './heldRequests.ts'

export interface EndsCleanerServices {
  readonly held: Pick<HeldRequests, 'outdatedKeys'>
  readonly appender: Pick<GroupAppender, 'append'>
  readonly duty: Pick<DutyLeaseManager, 'holds'>
  readonly clock: Clock
  readonly stateLog: StateLog
}

/** Time between two looks, in milliseconds: a mark that is kept a little longer does no harm. */
const LOOK_MS = 10_000
/** Records that one look drops, at most; the others are dropped by the next ones. */
const MOST_DROPPED = 500

export class EndsCleaner implements Disposable {
  private readonly timer: Disposable

  constructor (private readonly services: EndsCleanerServices) {
    this.timer = services.clock.every(LOOK_MS, () => { this.look() })
  }

  dispose (): void {
    this.timer.dispose()
  }

  private look (): void {
    const { held, duty, appender, stateLog } = this.services
    if (!duty.holds) return
    const keys = held.outdatedKeys().slice(0, MOST_DROPPED)
    if (keys.length === 0) return
    appender.append(() => keys.map(tombstone), LOOK_MS).then((dropped) => {
      stateLog.decided('ends of targets forgotten', { records: keys.length, failed: !dropped.ok })
    }).catch((error: unknown) => { stateLog.alarm('ends of targets not forgotten', { error: String(error) }) })
  }
}
