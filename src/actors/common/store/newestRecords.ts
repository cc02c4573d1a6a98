/** Loads the newest record of every key of a topic. */

import type { KeyedEntry, KeyedLog } from '../../../ports/common/keyedLog.ts'

export interface NewestRecords {
  /** Records before `end`, in the order of their offsets. */
  readonly entries: readonly KeyedEntry[]
  /** Offset from which to continue reading the topic. */
  readonly end: number
  /** Whether all records came in one page, so that none that the topic held at that time is missing. */
  readonly isComplete: boolean
}

/**
 * Loads all pages and returns `undefined` if a page cannot be read. The pages are not a snapshot. Records written during the load are left
 * out, as they are read again from the end offset of the first page. A record that is rewritten between two pages may be in neither of them.
 */
export async function loadNewest (log: Pick<KeyedLog, 'newest'>): Promise<NewestRecords | undefined> {
  const found: KeyedEntry[] = []
  let pages = 0
  let after: string | undefined
  let end: number | undefined
  do {
    const page = await log.newest(after)
    if (!page.ok) return undefined
    end ??= page.value.end
    found.push(...page.value.entries)
    pages++
    after = page.value.next
  } while (after !== undefined)
  const firstEnd = end
  return { entries: found.filter(({ offset }) => offset < firstEnd).sort((a, b) => a.offset - b.offset), end: firstEnd, isComplete: pages === 1 }
}
