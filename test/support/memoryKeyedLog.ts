/** A keyed topic in memory that can simulate faults of a store: outages, lost answers, delayed appends and compacted history. */

import type { Result } from '../../src/base/common/resultCode.ts'
import { failure, success } from '../../src/base/common/resultCode.ts'
import type { KeyedEntry, KeyedLog, KeyedPage, KeyedRecord, NewestPage } from '../../src/ports/common/keyedLog.ts'

const PAGE_SIZE = 3

export class MemoryKeyedLog implements KeyedLog {
  entries: KeyedEntry[] = []
  /** Offset of the first entry that is still available to readers of the history. */
  first = 0
  /** Whether all calls fail. */
  down = false
  /** Number of appends that take effect but whose answer is lost. */
  loseAnswers = 0
  /** Number of appends that get no answer and take effect only when `applyDelayedAppends` is called. */
  delayAppends = 0
  appends = 0
  private readonly delayedAppends: (readonly KeyedRecord[])[] = []

  async append (records: readonly KeyedRecord[]): Promise<Result<number>> {
    if (this.down) return failure('logUnavailable', 'the store is away')
    this.appends++
    if (this.delayAppends > 0) {
      this.delayAppends--
      this.delayedAppends.push(records)
      return failure('commandUnknown', 'no answer')
    }
    const offset = this.entries.length
    this.write(records)
    if (this.loseAnswers > 0) {
      this.loseAnswers--
      return failure('commandUnknown', 'the answer was lost')
    }
    return success(offset)
  }

  async read (from: number): Promise<Result<KeyedPage>> {
    if (this.down) return failure('logUnavailable', 'the store is away')
    if (from < this.first) return success({ type: 'forgotten' })
    return success({ type: 'entries', entries: this.entries.slice(from), end: this.entries.length })
  }

  /** Characters count as bytes here. At least one entry is returned if there is any. */
  async readSome (from: number, kilobytes: number): Promise<Result<KeyedPage>> {
    const page = await this.read(from)
    if (!page.ok || page.value.type === 'forgotten') return page
    let remainingBytes = kilobytes * 1024
    const entries = page.value.entries.filter(({ key, value }, index) => {
      remainingBytes -= key.length + (value?.length ?? 0)
      return index === 0 || remainingBytes >= 0
    })
    return success({ ...page.value, entries })
  }

  async newest (after: string | undefined): Promise<Result<NewestPage>> {
    if (this.down) return failure('logUnavailable', 'the store is away')
    const sorted = this.newestEntries().sort((a, b) => a.key < b.key ? -1 : 1).filter(({ key }) => after === undefined || key > after)
    const page = sorted.slice(0, PAGE_SIZE)
    return success({ entries: page, end: this.entries.length, next: sorted.length > PAGE_SIZE ? page.at(-1)?.key : undefined })
  }

  /** Appends records directly, as another writer would. */
  write (records: readonly KeyedRecord[]): void {
    for (const record of records) this.entries.push({ ...record, offset: this.entries.length })
  }

  /** Applies the delayed appends. */
  applyDelayedAppends (): void {
    for (const records of this.delayedAppends.splice(0)) this.write(records)
  }

  /** Returns the newest record of each key, without keys whose newest record is a tombstone. */
  newestEntries (): KeyedEntry[] {
    const newest = new Map<string, KeyedEntry>()
    for (const entry of this.entries) newest.set(entry.key, entry)
    return [...newest.values()].filter(({ value }) => value !== undefined)
  }
}
