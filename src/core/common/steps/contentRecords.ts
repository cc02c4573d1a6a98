/**
 * Records of the large contents of a step: the payloads of its items and the texts of its results. They are kept
 * in a separate topic that hosts do not load on startup. When all hosts of a deployment start at once, each loads
 * everything that is retained; payloads and texts are nine tenths of it, and at 80 MB a second from the store,
 * loading them would delay every host by seconds.
 */

import { z } from 'zod'
import type { KeyedRecord } from '../../../ports/common/keyedLog.ts'
import { parseValue } from '../keyedRecords.ts'
import type { ItemPayload, SubmittedItem } from './step.ts'

/**
 * Maximum characters per part of a split text: at up to four bytes per character, a part stays below 256 KiB, the
 * smallest record size limit.
 */
const MAX_PART_CHARACTERS = 60_000

const scorerSchema = z.object({ requestId: z.string(), host: z.string(), path: z.string(), body: z.string() })
const payloadSchema = z.object({ path: z.string(), headers: z.record(z.string(), z.string()), body: z.string(), scorer: scorerSchema.optional() })
const payloadsSchema = z.array(z.tuple([z.string(), payloadSchema]))

const encode = encodeURIComponent

/** Splits a text into parts that each fit into one record. */
export function splitIntoParts (text: string): string[] {
  const count = Math.max(1, Math.ceil(text.length / MAX_PART_CHARACTERS))
  return Array.from({ length: count }, (_, index) => text.slice(index * MAX_PART_CHARACTERS, (index + 1) * MAX_PART_CHARACTERS))
}

export function payloadKeys (step: string, nonce: string, parts: number): string[] {
  return Array.from({ length: parts }, (_, index) => `payload/${encode(step)}/${nonce}/${index}`)
}

/**
 * Returns the records that hold the payloads of a step. The nonce separates the records of two hosts that accept
 * the same submission, so that one host can drop its own.
 */
export function payloadRecords (step: string, items: readonly SubmittedItem[], nonce: string): KeyedRecord[] {
  const payloads: [string, ItemPayload][] = items.map(({ id, path, headers, body, scorer }) => [id, { path, headers, body, scorer }])
  const parts = splitIntoParts(JSON.stringify(payloads))
  return payloadKeys(step, nonce, parts.length).map((key, index) => ({ key, value: parts[index] }))
}

/**
 * Parses payloads from the values of their records, in order; returns `undefined` if they are invalid. A payload
 * with missing fields would fail on every engine and each engine would be considered faulty.
 */
export function parsePayloads (values: readonly string[]): ReadonlyMap<string, ItemPayload> | undefined {
  const payloads = parseValue(payloadsSchema, values.join(''))
  return payloads === undefined ? undefined : new Map(payloads.map(([id, payload]) => [id, { ...payload, scorer: payload.scorer }]))
}

/** Returns the record of a text. The text is encoded as JSON because an empty value would delete the key. */
export function textRecord (step: string, item: string, text: string, nonce: string): KeyedRecord {
  return { key: `text/${encode(step)}/${encode(item)}/${nonce}`, value: JSON.stringify(text) }
}

export function parseText (value: string): string | undefined {
  try {
    const text: unknown = JSON.parse(value)
    return typeof text === 'string' ? text : undefined
  } catch {
    return undefined
  }
}

/** Returns the key prefix shared by all records of the same kind and step. */
export function keyPrefix (key: string): string {
  return `${key.split('/').slice(0, 2).join('/')}/`
}
