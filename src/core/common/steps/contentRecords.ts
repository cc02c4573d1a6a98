/**
 * Records of what is large in a step: the payloads of its items and the texts of its results. They
 * stand in a topic of their own, which hosts do not read when they start. Load pattern: all hosts of a
 * deployment start at once and each reads all that is kept; payloads and texts are nine tenths of it,
 * and a store that gives 80 MB a second then keeps everybody waiting for seconds.
 */

import { z } from 'zod'
import type { KeyedRecord } from '../../../ports/common/keyedLog.ts'
import { readValue } from '../keyedRecords.ts'
import type { ItemPayload, SubmittedItem } from './step.ts'

/** Characters of one part of a long text: with four bytes a character it stays under 256 KiB, the least size of a record. */
const PART_CHARACTERS = 60_000

const scorerSchema = z.object({ requestId: z.string(), host: z.string(), path: z.string(), body: z.string() })
const payloadSchema = z.object({ path: z.string(), headers: z.record(z.string(), z.string()), body: z.string(), scorer: scorerSchema.optional() })
const payloadsSchema = z.array(z.tuple([z.string(), payloadSchema]))

const encode = encodeURIComponent

/** Splits a text into parts that fit into a record each. */
export function splitText (text: string): string[] {
  const count = Math.max(1, Math.ceil(text.length / PART_CHARACTERS))
  return Array.from({ length: count }, (_, index) => text.slice(index * PART_CHARACTERS, (index + 1) * PART_CHARACTERS))
}

export function payloadKeys (step: string, nonce: string, parts: number): string[] {
  return Array.from({ length: parts }, (_, index) => `payload/${encode(step)}/${nonce}/${index}`)
}

/** The nonce keeps two hosts apart that take the same submission: one may drop what it wrote. */
export function payloadRecords (step: string, items: readonly SubmittedItem[], nonce: string): KeyedRecord[] {
  const payloads: [string, ItemPayload][] = items.map(({ id, path, headers, body, scorer }) => [id, { path, headers, body, scorer }])
  const parts = splitText(JSON.stringify(payloads))
  return payloadKeys(step, nonce, parts.length).map((key, index) => ({ key, value: parts[index] }))
}

/**
 * Puts payloads together from the values of their records, in order; `undefined` where they cannot be
 * read. A payload without its fields would break at every engine, and each would be taken to have failed.
 */
export function readPayloads (values: readonly string[]): ReadonlyMap<string, ItemPayload> | undefined {
  const payloads = readValue(payloadsSchema, values.join(''))
  return payloads === undefined ? undefined : new Map(payloads.map(([id, payload]) => [id, { ...payload, scorer: payload.scorer }]))
}

/** A text may be empty, and an empty value would drop its key; so it is written as JSON. */
export function textRecord (step: string, item: string, text: string, nonce: string): KeyedRecord {
  return { key: `text/${encode(step)}/${encode(item)}/${nonce}`, value: JSON.stringify(text) }
}

export function readText (value: string): string | undefined {
  try {
    const text: unknown = JSON.parse(value)
    return typeof text === 'string' ? text : undefined
  } catch {
    return undefined
  }
}

/** Beginning of the keys of all records of the same kind and step as this one. */
export function keyPrefix (key: string): string {
  return `${key.split('/').slice(0, 2).join('/')}/`
}
