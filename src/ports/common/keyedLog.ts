/**
 * Port to a log whose records have keys: an ordered log that keeps the newest record of every key
 * for good and older records only for a limited time. A reader that fell behind starts over from the
 * newest records.
 */

import type { Result } from '../../base/common/resultCode.ts'

/** A record; without a value it removes its key. */
export interface KeyedRecord {
  readonly key: string
  readonly value: string | undefined
}

export interface KeyedEntry extends KeyedRecord {
  readonly offset: number
}

/** Part of the log; `forgotten` means that entries from the wanted offset on are no longer kept. */
export type KeyedPage =
  | { readonly type: 'entries', readonly entries: readonly KeyedEntry[], readonly end: number }
  | { readonly type: 'forgotten' }

/** Newest records, in the order of their keys; not a snapshot, records may change between pages. */
export interface NewestPage {
  readonly entries: readonly KeyedEntry[]
  readonly end: number
  /** Key after which the next page begins; absent on the last page. */
  readonly next: string | undefined
}

/**
 * One keyed topic. Failures: `logUnavailable` means that nothing was done, `commandUnknown` that an
 * append may have been done or may still be done seconds later.
 */
export interface KeyedLog {
  /** Appends records in one piece and gives the offset of the first. */
  append (records: readonly KeyedRecord[]): Promise<Result<number>>
  /** Reads from an offset on; waits up to `waitMs` for an entry, unless given up before. */
  read (from: number, waitMs: number, givenUp?: AbortSignal): Promise<Result<KeyedPage>>
  /** Reads at once from an offset on, about as many kilobytes as said. */
  readSome (from: number, kilobytes: number): Promise<Result<KeyedPage>>
  /** Reads a page of newest records after a key (all where it is absent). */
  newest (after: string | undefined): Promise<Result<NewestPage>>
}
