/** Ports for what the system tells about itself: counters, changes of state, and decisions. */

import type { CounterName, GaugeName, TimingName } from '../../base/common/metricNames.ts'
import type { AlarmEvent, ChangedEvent, DecidedEvent } from '../../base/common/logEvents.ts'

/** Counters and measures; docs/METRICS.md lists them. */
export interface Metrics {
  count (name: CounterName, by?: number): void
  gauge (name: GaugeName, value: number): void
  timing (name: TimingName, milliseconds: number): void
}

export type LogDetails = Readonly<Record<string, string | number | boolean>>

/** Structured log lines. */
export interface StateLog {
  /** What this process believes has changed. */
  changed (what: ChangedEvent, details: LogDetails): void
  /** Something is wrong that an operator may have to mend. */
  alarm (what: AlarmEvent, details: LogDetails): void
  /** A decision on a request; dropped, and counted, where there are too many. */
  decided (what: DecidedEvent, details: LogDetails): void
}
