/** A keyed topic in memory, with the faults of a store: away, answers lost, appends done late, history dropped. */

import type { Result } from '../../src/base/common/resultCode.ts'
import { failure, success } from '../../src/base/common/resultCode.ts'
import type { KeyedEntry, KeyedLog, KeyedPage, KeyedRecord, NewestPage } from '../../src/ports/common/keyedLog.ts'

const PAGE = 3

export class MemoryKeyedLog implements KeyedLog {
  entries: KeyedEntry[] = []
  /** Offset of the first entry that is still kept as history. */
  first = 0
  /** Whether calls are refused. */
  down = false
  /** Appends that are done and whose answers are lost. */
  loseAnswers = 0
  /** Appends that get no answer and are done when `land` is called. */
  delayAppends = 0
  appends = 0
  private readonly late: (readonly KeyedRecord[])[] = []

  async append (records: readonly KeyedRecord[]): Promise<Result<number>> {
    if (this.down) return failure('logUnavailable', 'the store is away')
    this.appends++
    if (this.delayAppends > 0) {
      this.delayAppends--
      this.late.push(records)
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

  /** Characters count as bytes here; one entry is given at least. */
  async readSome (from: number, kilobytes: number): Promise<Result<KeyedPage>> {
    const page = await this.read(from)
    if (!page.ok || page.value.type === 'forgotten') return page
    let room = kilobytes * 1024
    const entries = page.value.entries.filter(({ key, value }, index) => {
      room -= key.length + (value?.length ?? 0)
      return index === 0 || room >= 0
    })
    return success({ ...page.value, entries })
  }

  async newest (after: string | undefined): Promise<Result<NewestPage>> {
    if (this.down) return failure('logUnavailable', 'the store is away')
    const sorted = this.newestEntries().sort((a, b) => a.key < b.key ? -1 : 1).filter(({ key }) => after === undefined || key > after)
    const page = sorted.slice(0, PAGE)
    return success({ entries: page, end: this.entries.length, next: sorted.length > PAGE ? page.at(-1)?.key : undefined })
  }

  /** Writes as somebody else. */
  write (records: readonly KeyedRecord[]): void {
    for (const record of records) this.entries.push({ ...record, offset: this.entries.length })
  }

  /** Lets the delayed appends take effect. */
  land (): void {
    for (const records of this.late.splice(0)) this.write(records)
  }

  /** The newest record of each key that has a value. */
  newestEntries (): KeyedEntry[] {
    const newest = new Map<string, KeyedEntry>()
    for (const entry of this.entries) newest.set(entry.key, entry)
    return [...newest.values()].filter(({ value }) => value !== undefined)
  }
}
