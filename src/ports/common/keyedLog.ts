/**
 * Port to a log whose records have keys: an ordered log that retains the newest record of every key
 * permanently and older records for a limited time. A reader that falls behind the retained records
 * starts over from the newest record of each key.
 */

import type { Result } from '../../base/common/resultCode.ts'

/** A record; one without a value deletes its key. */
export interface KeyedRecord {
  readonly key: string
  readonly value: string | undefined
}

export interface KeyedEntry extends KeyedRecord {
  readonly offset: number
}

/** Part of the log; `forgotten` means that the entry at the requested offset is no longer retained. */
export type KeyedPage =
  | { readonly type: 'entries', readonly entries: readonly KeyedEntry[], readonly end: number }
  | { readonly type: 'forgotten' }

/** Newest records in key order. The pages do not form a snapshot: records may change between them. */
export interface NewestPage {
  readonly entries: readonly KeyedEntry[]
  readonly end: number
  /** Key after which the next page begins; `undefined` on the last page. */
  readonly next: string | undefined
}

/**
 * A keyed topic. The failure `logUnavailable` means that nothing was done; `commandUnknown` means that
 * an append may have taken effect, or may still do so seconds later.
 */
export interface KeyedLog {
  /** Appends records atomically and returns the offset of the first. */
  append (records: readonly KeyedRecord[]): Promise<Result<number>>
  /** Reads entries from an offset; waits up to `waitMs` for an entry, unless the signal is aborted before. */
  read (from: number, waitMs: number, signal?: AbortSignal): Promise<Result<KeyedPage>>
  /** Reads about `kilobytes` of entries from an offset, without waiting. */
  readSome (from: number, kilobytes: number): Promise<Result<KeyedPage>>
  /** Reads a page of the newest records, beginning after a key, or with the first key if it is `undefined`. */
  newest (after: string | undefined): Promise<Result<NewestPage>>
}
