/**
 * Helpers for records in keyed topics. Other writers may store arbitrary data there, so invalid data yields
 * `undefined` and never throws.
 */

import type { z } from 'zod'
import type { KeyedRecord } from '../../ports/common/keyedLog.ts'

/** Decodes a part of a key; returns `undefined` if the percent-encoding is invalid. */
export function decodeKeyPart (part: string): string | undefined {
  try {
    return decodeURIComponent(part)
  } catch {
    return undefined
  }
}

/** Parses and validates a JSON value; returns `undefined` if it is invalid. */
export function parseValue<Schema extends z.ZodType> (schema: Schema, value: string): z.infer<Schema> | undefined {
  try {
    return schema.safeParse(JSON.parse(value)).data
  } catch {
    return undefined
  }
}

/** Returns the record that deletes a key. */
export function tombstone (key: string): KeyedRecord {
  return { key, value: undefined }
}
