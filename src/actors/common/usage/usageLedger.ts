/** The usage topic as the holder of the duty reads it: only when something is due, and always to the end. */

import { UsageFold } from '../../../core/common/usage/usageFold.ts'
import type { KeyedEntry, KeyedLog } from '../../../ports/common/keyedLog.ts'

export class UsageLedger {
  readonly fold = new UsageFold()
  private offset: number | undefined

  constructor (private readonly log: KeyedLog) {}

  /** Whether it was read once. */
  get loaded (): boolean {
    return this.offset !== undefined
  }

  /** Reads all that the topic holds now; false if that failed. */
  async readOn (): Promise<boolean> {
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

  /** Loads the newest records. Pages are not a snapshot: what was written meanwhile is read again from the first page's end. */
  private async load (): Promise<boolean> {
    const found: KeyedEntry[] = []
    let after: string | undefined
    let end: number | undefined
    do {
      const page = await this.log.newest(after)
      if (!page.ok) return false
      end ??= page.value.end
      found.push(...page.value.entries)
      after = page.value.next
    } while (after !== undefined)
    const known = end
    this.fold.reset(found.filter(({ offset }) => offset < known).sort((a, b) => a.offset - b.offset))
    this.offset = known
    return true
  }
}
