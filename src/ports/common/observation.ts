/** Ports for what the system tells about itself: counters, changes of state, and decisions. */

/** Counters and measures. Names are listed in docs/OPERATORS.md. */
export interface Metrics {
  count (name: string, by?: number): void
  gauge (name: string, value: number): void
  timing (name: string, milliseconds: number): void
}

export type LogDetails = Readonly<Record<string, string | number | boolean>>

/** Structured log lines. */
export interface StateLog {
  /** What this process believes has changed. */
  changed (what: string, details: LogDetails): void
  /** Something is wrong that an operator may have to mend. */
  alarm (what: string, details: LogDetails): void
  /** A decision on a request; dropped, and counted, where there are too many. */
  decided (what: string, details: LogDetails): void
}
