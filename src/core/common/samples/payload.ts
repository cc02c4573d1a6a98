/** Entries of the payload stream: prompts of submitted groups and texts of samples. */

import { z } from 'zod'
import type { PayloadReference } from '../fold/records.ts'

const payloadSchema = z.strictObject({ v: z.literal(1), items: z.array(z.string()) })

/** Encodes texts as one entry. */
export function encodePayload (items: readonly string[]): string {
  return JSON.stringify({ v: 1, items })
}

/** Decodes an entry; returns `undefined` if it cannot be read. */
export function decodePayload (data: string): readonly string[] | undefined {
  try {
    const parsed = payloadSchema.safeParse(JSON.parse(data))
    return parsed.success ? parsed.data.items : undefined
  } catch {
    return undefined
  }
}

/** Creates references to all items of an entry. */
export function referencesTo (offset: number, items: readonly string[]): PayloadReference[] {
  return items.map((_, item) => ({ offset, item }))
}
