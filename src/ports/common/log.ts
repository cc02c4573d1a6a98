/**
 * Port to the platform's append-only log. Contract, checked by test/ports/log.contract.test.ts:
 * offsets of a stream start at 0 and increase by one per entry; entries are retained for a limited time,
 * after which the first offset increases; an append whose response is lost may have taken effect.
 */

import type { Result } from '../../base/common/resultCode.ts'

export interface LogEntry {
  readonly offset: number
  readonly data: string
}

/** A part of a stream. */
export interface LogPage {
  /** Lowest retained offset. */
  readonly first: number
  /** Offset that the next append will get. */
  readonly end: number
  readonly entries: readonly LogEntry[]
}

export interface ReadOptions {
  readonly maximumEntries: number
  /** Longest time that the log waits for an entry, in milliseconds; with 0 it responds immediately. */
  readonly waitMs: number
}

/** Streams that the system stores in the log. */
export type StreamName = 'control' | 'payload' | 'checkpoint'

export interface Log {
  /**
   * Appends one entry and returns its offset. `logUnavailable` means that the log refused the entry and it will not take
   * effect; with `retryAfterMs`, the log is only rate-limited and a retry can succeed soon. `commandUnknown` means that there
   * was no response and the entry may take effect, even later.
   */
  append (stream: StreamName, data: string): Promise<Result<number>>
  /** Reads entries from an offset; entries below `first` are no longer retained. */
  read (stream: StreamName, from: number, options: ReadOptions): Promise<Result<LogPage>>
}
