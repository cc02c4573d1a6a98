/** Loading of the newest record of every key of a topic. */

import type { KeyedEntry, KeyedLog } from '../../../ports/common/keyedLog.ts'

export interface NewestRecords {
  /** Records that stand before `end`, in their order. */
  readonly entries: readonly KeyedEntry[]
  /** Offset from which the topic is to be read on. */
  readonly end: number
  /** Whether they came in one page, and so are all that the topic held then. */
  readonly isWhole: boolean
}

/**
 * Loads page after page; `undefined` if a page was not given. Pages are not a snapshot: what was written meanwhile is left out, as it is
 * read again from the first page's end, and a record that was written again between two pages is in neither of them.
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
  const known = end
  return { entries: found.filter(({ offset }) => offset < known).sort((a, b) => a.offset - b.offset), end: known, isWhole: pages === 1 }
}
