/**
 * Checkpoints of the folded state. They are written to a separate stream before the log truncates
 * the entries they were folded from. A checkpoint is split into chunks that fit into a log entry. A
 * checkpoint that is incomplete or fails its digest check is ignored in favour of an older one.
 */

import { z } from 'zod'
import type { Result } from '../../../base/common/resultCode.ts'
import { success } from '../../../base/common/resultCode.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { Log } from '../../../ports/common/log.ts'

/** A complete checkpoint: the serialized state and the offset of the next entry to fold. */
export interface Checkpoint {
  readonly offset: number
  readonly text: string
}

const MAX_CHUNK_CHARACTERS = 200_000
const MAX_PAGE_ENTRIES = 100

const chunkSchema = z.strictObject({
  id: z.string(),
  offset: z.number().int().nonnegative(),
  index: z.number().int().nonnegative(),
  of: z.number().int().positive(),
  digest: z.string(),
  data: z.string()
})

type Chunk = z.infer<typeof chunkSchema>

/** Splits a checkpoint into log entries. */
export function encodeCheckpoint (checkpoint: Checkpoint, id: string, hash: Hash): string[] {
  const of = Math.max(1, Math.ceil(checkpoint.text.length / MAX_CHUNK_CHARACTERS))
  const digest = hash.digest(checkpoint.text)
  return Array.from({ length: of }, (_, index) => JSON.stringify({
    id,
    offset: checkpoint.offset,
    index,
    of,
    digest,
    data: checkpoint.text.slice(index * MAX_CHUNK_CHARACTERS, (index + 1) * MAX_CHUNK_CHARACTERS)
  } satisfies Chunk))
}

/** Reads the newest complete checkpoint that the log still retains, or `undefined` if there is none. */
export async function readNewestCheckpoint (log: Log, hash: Hash): Promise<Result<Checkpoint | undefined>> {
  const chunks = new Map<string, Chunk[]>()
  let from = 0
  for (;;) {
    const page = await log.read('checkpoint', from, { maximumEntries: MAX_PAGE_ENTRIES, waitMs: 0 })
    if (!page.ok) return page
    for (const entry of page.value.entries) {
      const chunk = decodeChunk(entry.data)
      if (chunk !== undefined) chunks.set(chunk.id, [...chunks.get(chunk.id) ?? [], chunk])
    }
    const last = page.value.entries.at(-1)
    from = Math.max(page.value.first, last === undefined ? page.value.end : last.offset + 1)
    if (from >= page.value.end) break
  }
  let newest: Checkpoint | undefined
  for (const parts of chunks.values()) {
    const checkpoint = assembleCheckpoint(parts, hash)
    if (checkpoint !== undefined && checkpoint.offset >= (newest?.offset ?? 0)) newest = checkpoint
  }
  return success(newest)
}

function decodeChunk (data: string): Chunk | undefined {
  try {
    const parsed = chunkSchema.safeParse(JSON.parse(data))
    return parsed.success ? parsed.data : undefined
  } catch {
    return undefined
  }
}

function assembleCheckpoint (parts: readonly Chunk[], hash: Hash): Checkpoint | undefined {
  const [first] = parts
  if (first === undefined) return undefined
  const byIndex = new Map(parts.map((part) => [part.index, part.data]))
  if (byIndex.size !== first.of) return undefined
  const text = Array.from({ length: first.of }, (_, index) => byIndex.get(index) ?? '').join('')
  return hash.digest(text) === first.digest ? { offset: first.offset, text } : undefined
}
