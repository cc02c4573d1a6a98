/** Entries of the payload stream: prompts of submitted groups and texts of samples. */

import { z } from 'zod'
import type { PayloadReference } from '../fold/records.ts'

const payloadSchema = z.strictObject({ v: z.literal(1), items: z.array(z.string()) })

/** Writes texts as one entry. */
export function encodePayload (items: readonly string[]): string {
  return JSON.stringify({ v: 1, items })
}

/** Reads an entry; undefined where it cannot be read. */
export function decodePayload (data: string): readonly string[] | undefined {
  try {
    const parsed = payloadSchema.safeParse(JSON.parse(data))
    return parsed.success ? parsed.data.items : undefined
  } catch {
    return undefined
  }
}

/** References to all items of one entry. */
export function referencesTo (offset: number, items: readonly string[]): PayloadReference[] {
  return items.map((_, item) => ({ offset, item }))
}
