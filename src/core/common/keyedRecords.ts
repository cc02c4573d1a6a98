/** Records in keyed topics, which other writers may fill with anything: what cannot be read is `undefined`, never an error. */

import type { z } from 'zod'
import type { KeyedRecord } from '../../ports/common/keyedLog.ts'

/** Decodes a part of a key; `undefined` where it is no percent-encoding. */
export function decodeKeyPart (part: string): string | undefined {
  try {
    return decodeURIComponent(part)
  } catch {
    return undefined
  }
}

/** Reads a value by its schema; `undefined` where it is no JSON or does not fit. */
export function readValue<Schema extends z.ZodType> (schema: Schema, value: string): z.infer<Schema> | undefined {
  try {
    return schema.safeParse(JSON.parse(value)).data
  } catch {
    return undefined
  }
}

/** Removes a key. */
export function dropRecord (key: string): KeyedRecord {
  return { key, value: undefined }
}
