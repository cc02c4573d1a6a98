/**
 * Reads and writes payloads. The newest entries are cached up to a total size, because a home reads
 * the prompt of each group once per sample.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { PayloadReference } from '../../../core/common/fold/records.ts'
import { decodePayload, encodePayload, referencesTo } from '../../../core/common/samples/payload.ts'
import type { Log } from '../../../ports/common/log.ts'

const MAX_CACHE_CHARACTERS = 4_000_000
const MAX_PARALLEL_READS = 8

export class PayloadStore {
  private readonly cache = new Map<number, readonly string[]>()
  private cachedCharacters = 0

  constructor (private readonly log: Log) {}

  /** Appends texts as one entry. */
  async append (items: readonly string[]): Promise<Result<PayloadReference[]>> {
    const appended = await this.log.append('payload', encodePayload(items))
    if (!appended.ok) return appended
    this.addToCache(appended.value, items)
    return success(referencesTo(appended.value, items))
  }

  async read (reference: PayloadReference): Promise<Result<string>> {
    const items = this.cache.get(reference.offset) ?? await this.fetch(reference.offset)
    if ('ok' in items) return items
    const text = items[reference.item]
    return text === undefined ? failure('logUnavailable', `payload ${reference.offset} has no item ${reference.item}`) : success(text)
  }

  /** Reads many texts, a few entries in parallel; fails if one of them cannot be read at present. */
  async readAll (references: readonly PayloadReference[]): Promise<Result<string[]>> {
    const offsets = [...new Set(references.map(({ offset }) => offset))]
    const entries = new Map<number, readonly string[]>()
    let firstFailure: Result<never> | undefined
    const worker = async (): Promise<void> => {
      for (let offset = offsets.pop(); offset !== undefined && firstFailure === undefined; offset = offsets.pop()) {
        const items = this.cache.get(offset) ?? await this.fetch(offset)
        if ('ok' in items) firstFailure = items
        else entries.set(offset, items)
      }
    }
    await Promise.all(Array.from({ length: MAX_PARALLEL_READS }, worker))
    if (firstFailure !== undefined) return firstFailure
    const texts = references.map(({ offset, item }) => entries.get(offset)?.[item])
    return texts.every((text) => text !== undefined) ? success(texts) : failure('logUnavailable', 'a payload has no item of the requested index')
  }

  private async fetch (offset: number): Promise<readonly string[] | ReturnType<typeof failure>> {
    const page = await this.log.read('payload', offset, { maximumEntries: 1, waitMs: 0 })
    if (!page.ok) return page
    const entry = page.value.entries[0]
    const items = entry?.offset === offset ? decodePayload(entry.data) : undefined
    if (items === undefined) return failure('logUnavailable', `payload ${offset} is not in the log`, { retryAfterMs: 1000 })
    this.addToCache(offset, items)
    return items
  }

  private addToCache (offset: number, items: readonly string[]): void {
    if (this.cache.has(offset)) return
    this.cache.set(offset, items)
    this.cachedCharacters += countCharacters(items)
    for (const [oldestOffset, oldestItems] of this.cache) {
      if (this.cachedCharacters <= MAX_CACHE_CHARACTERS) break
      this.cache.delete(oldestOffset)
      this.cachedCharacters -= countCharacters(oldestItems)
    }
  }
}

function countCharacters (items: readonly string[]): number {
  return items.reduce((sum, item) => sum + item.length, 0)
}
