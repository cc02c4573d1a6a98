/** Ports for observability: metrics and structured log lines. */

import type { CounterName, GaugeName, TimingName } from '../../base/common/metricNames.ts'
import type { AlarmEvent, ChangedEvent, DecidedEvent } from '../../base/common/logEvents.ts'

/** Counters, gauges and timings; docs/METRICS.md lists them. */
export interface Metrics {
  count (name: CounterName, by?: number): void
  gauge (name: GaugeName, value: number): void
  timing (name: TimingName, milliseconds: number): void
}

export type LogDetails = Readonly<Record<string, string | number | boolean>>

/** Structured log lines. */
export interface StateLog {
  /** Logs a change of the state that this process knows. */
  changed (what: ChangedEvent, details: LogDetails): void
  /** Logs a problem that may need the attention of an operator. */
  alarm (what: AlarmEvent, details: LogDetails): void
  /** Logs a decision on a request. Lines above the rate limit are dropped and counted. */
  decided (what: DecidedEvent, details: LogDetails): void
}
