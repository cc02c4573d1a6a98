/**
 * Port to the platform's append-only log. Contract, checked by test/ports/log.contract.test.ts:
 * offsets of a stream start at 0 and rise by one per entry; entries are kept for a limited time,
 * after which the first offset rises; an append whose answer is lost may have taken effect.
 */

import type { Result } from '../../base/common/resultCode.ts'

export interface LogEntry {
  readonly offset: number
  readonly data: string
}

/** A part of a stream. */
export interface LogPage {
  /** Lowest offset that the log still keeps. */
  readonly first: number
  /** Offset that the next append will get. */
  readonly end: number
  readonly entries: readonly LogEntry[]
}

export interface ReadOptions {
  readonly maximumEntries: number
  /** How long the log may wait for an entry, in milliseconds; 0 answers at once. */
  readonly waitMs: number
}

/** Streams that the system keeps on the log. */
export type StreamName = 'control' | 'payload' | 'checkpoint'

export interface Log {
  /**
   * Appends one entry and gives its offset. `logUnavailable`: the log refused it, it will not take
   * effect; with `retryAfterMs` it is only at its limit and will take it soon. `commandUnknown`: no answer, it may take effect, even later.
   */
  append (stream: StreamName, data: string): Promise<Result<number>>
  /** Reads entries from an offset on; entries below `first` are gone. */
  read (stream: StreamName, from: number, options: ReadOptions): Promise<Result<LogPage>>
}
