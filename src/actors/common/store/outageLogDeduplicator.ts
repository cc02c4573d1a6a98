/**
 * Logs an outage of the store once for all topics that a host follows. Each topic detects the outage by itself; if each logged it,
 * most log lines of a deployment of hundreds of hosts would be duplicates during an outage.
 */

import type { AlarmEvent, ChangedEvent, DecidedEvent } from '../../../base/common/logEvents.ts'
import type { LogDetails, StateLog } from '../../../ports/common/observation.ts'

export class OutageLogDeduplicator implements StateLog {
  /** Topics whose calls currently fail. */
  private readonly lost = new Set<string>()
  /** Topics that were lost since the start of the outage was logged. */
  private readonly reported = new Set<string>()

  constructor (private readonly log: StateLog) {}

  changed (what: ChangedEvent, details: LogDetails): void {
    if (what === 'store regained') this.handleRegained(details)
    else this.log.changed(what, details)
  }

  alarm (what: AlarmEvent, details: LogDetails): void {
    if (what === 'store lost') this.handleLost(details)
    else this.log.alarm(what, details)
  }

  decided (what: DecidedEvent, details: LogDetails): void {
    this.log.decided(what, details)
  }

  private handleLost (details: LogDetails): void {
    const topic = String(details.topic)
    this.lost.add(topic)
    this.reported.add(topic)
    if (this.reported.size === 1) this.log.alarm('store lost', details)
  }

  private handleRegained (details: LogDetails): void {
    this.lost.delete(String(details.topic))
    if (this.lost.size > 0) return
    this.log.changed('store regained', { ...details, topics: this.reported.size })
    this.reported.clear()
  }
}
