/** Ports for what the system tells about itself: counters first, lines only for changes of state. */

/** Counters and measures. Names are listed in docs/OPERATORS.md. */
export interface Metrics {
  count (name: string, by?: number): void
  gauge (name: string, value: number): void
  timing (name: string, milliseconds: number): void
}

/** Structured log lines, one for each change of state. */
export interface StateLog {
  changed (what: string, details: Readonly<Record<string, string | number | boolean>>): void
  alarm (what: string, details: Readonly<Record<string, string | number | boolean>>): void
}
