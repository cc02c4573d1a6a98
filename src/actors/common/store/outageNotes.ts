/**
 * Tells an outage of the store once for all topics that a host follows. What goes wrong without: each topic notices it by itself, and
 * in an outage that hundreds of hosts see most lines of the whole deployment say the same.
 */

import type { AlarmEvent, ChangedEvent, DecidedEvent } from '../../../base/common/logEvents.ts'
import type { LogDetails, StateLog } from '../../../ports/common/observation.ts'

export class OutageNotes implements StateLog {
  /** Topics whose calls fail. */
  private readonly lost = new Set<string>()
  /** Topics that were lost since the line about the outage. */
  private readonly told = new Set<string>()

  constructor (private readonly log: StateLog) {}

  changed (what: ChangedEvent, details: LogDetails): void {
    if (what === 'store regained') this.regained(details)
    else this.log.changed(what, details)
  }

  alarm (what: AlarmEvent, details: LogDetails): void {
    if (what === 'store lost') this.begins(details)
    else this.log.alarm(what, details)
  }

  decided (what: DecidedEvent, details: LogDetails): void {
    this.log.decided(what, details)
  }

  private begins (details: LogDetails): void {
    const topic = String(details.topic)
    this.lost.add(topic)
    this.told.add(topic)
    if (this.told.size === 1) this.log.alarm('store lost', details)
  }

  private regained (details: LogDetails): void {
    this.lost.delete(String(details.topic))
    if (this.lost.size > 0) return
    this.log.changed('store regained', { ...details, topics: this.told.size })
    this.told.clear()
  }
}
