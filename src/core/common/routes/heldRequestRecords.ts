/**
 * Records of targets that ended while they ran requests, in the topic that every host follows. Each record has a unique
 * key: if two shared a key, only the later one would remain after a restart, at its later position in the order, and ends
 * that had been cleared would count again. A request is identified by its fingerprint; no record contains its content.
 */

import { z } from 'zod'
import { asRequestFingerprint } from '../../../base/common/ids.ts'
import type { RequestFingerprint, TargetIncarnationId } from '../../../base/common/ids.ts'
import type { KeyedEntry, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import { decodeKeyPart, parseValue } from '../keyedRecords.ts'

export type HeldRequestRecord =
  /** The process of a target ended while these requests were in progress there. */
  | { readonly kind: 'ended', readonly incarnation: TargetIncarnationId, readonly under: readonly RequestFingerprint[] }
  /** A target answered the request. */
  | { readonly kind: 'cleared', readonly fingerprint: RequestFingerprint }
  /** A host claims the right to send a held request to one target. The first record with a given number is granted. */
  | { readonly kind: 'trial', readonly fingerprint: RequestFingerprint, readonly number: number }
  | { readonly kind: 'dropped' }

/** Maximum number of requests in one record, which covers those that run and wait at the largest target. */
const MAX_REQUESTS_PER_RECORD = 256
const fingerprint = z.string().regex(/^[0-9a-f]{32}$/).transform(asRequestFingerprint)
const endedSchema = z.object({ under: z.array(fingerprint).max(MAX_REQUESTS_PER_RECORD) })
const trialSchema = z.object({ number: z.number().int().positive() })

export function targetEndedRecord (incarnation: TargetIncarnationId, fingerprints: readonly RequestFingerprint[], nonce: string): KeyedRecord {
  return { key: `ended/${encodeURIComponent(incarnation)}/${nonce}`, value: JSON.stringify({ under: fingerprints.slice(0, MAX_REQUESTS_PER_RECORD) }) }
}

export function requestClearedRecord (cleared: RequestFingerprint, nonce: string): KeyedRecord {
  return { key: `cleared/${cleared}/${nonce}`, value: '{}' }
}

export function trialRecord (held: RequestFingerprint, number: number, nonce: string): KeyedRecord {
  return { key: `trial/${held}/${nonce}`, value: JSON.stringify({ number }) }
}

/** Decodes a record; returns `undefined` for a record of another kind or one that cannot be read. */
export function readHeldRequestRecord ({ key, value }: KeyedEntry): HeldRequestRecord | undefined {
  const [kind, first = ''] = key.split('/')
  if (kind !== 'ended' && kind !== 'cleared' && kind !== 'trial') return undefined
  if (value === undefined) return { kind: 'dropped' }
  switch (kind) {
    case 'ended': return readEnded(first, value)
    case 'cleared': return readCleared(first)
    case 'trial': return readTrial(first, value)
  }
}

function readEnded (encodedIncarnation: string, value: string): HeldRequestRecord | undefined {
  const incarnation = decodeKeyPart(encodedIncarnation)
  const ended = parseValue(endedSchema, value)
  return incarnation === undefined || incarnation === '' || ended === undefined ? undefined : { kind: 'ended', incarnation: incarnation as TargetIncarnationId, under: ended.under }
}

function readCleared (text: string): HeldRequestRecord | undefined {
  const cleared = fingerprint.safeParse(text)
  return cleared.success ? { kind: 'cleared', fingerprint: cleared.data } : undefined
}

function readTrial (text: string, value: string): HeldRequestRecord | undefined {
  const held = fingerprint.safeParse(text)
  const trial = parseValue(trialSchema, value)
  return !held.success || trial === undefined ? undefined : { kind: 'trial', fingerprint: held.data, number: trial.number }
}
