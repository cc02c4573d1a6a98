/** Reads the usage topic for the holder of the duty: only when something is due, and always to the end. */

import { UsageFold } from '../../../core/common/usage/usageFold.ts'
import type { KeyedLog } from '../../../ports/common/keyedLog.ts'
import { loadNewest } from '../store/newestRecords.ts'

export class UsageTopicReader {
  readonly fold = new UsageFold()
  private offset: number | undefined

  constructor (private readonly log: KeyedLog) {}

  /** Whether the topic has been read since the start or the last loss of its position. */
  get loaded (): boolean {
    return this.offset !== undefined
  }

  /** Reads to the current end of the topic; resolves to false if that failed. */
  async catchUp (): Promise<boolean> {
    for (;;) {
      if (this.offset === undefined && !await this.load()) return false
      const from = this.offset ?? 0
      const page = await this.log.read(from, 0)
      if (!page.ok) return false
      if (page.value.type === 'forgotten') {
        this.offset = undefined
        continue
      }
      this.fold.apply(page.value.entries)
      this.offset = from + page.value.entries.length
      if (this.offset >= page.value.end) return true
    }
  }

  private async load (): Promise<boolean> {
    const newest = await loadNewest(this.log)
    if (newest === undefined) return false
    this.fold.reset(newest.entries)
    this.offset = newest.end
    return true
  }
}
