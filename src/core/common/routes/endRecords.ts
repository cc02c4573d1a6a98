/**
 * Records of targets that ended under requests, in the topic that every host follows. Each has a key of its own: written
 * twice under one key, the second would take the place of the first in the order after a restart, and what was cleared
 * would count again. The fingerprint stands for the request; its content is in no record.
 */

import { z } from 'zod'
import { asRequestFingerprint } from '../../../base/common/ids.ts'
import type { RequestFingerprint, TargetLife } from '../../../base/common/ids.ts'
import type { KeyedEntry, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import { decodeKeyPart, parseValue } from '../keyedRecords.ts'

export type EndRecord =
  /** The process of a target ended; these requests were under way there. */
  | { readonly kind: 'ended', readonly life: TargetLife, readonly under: readonly RequestFingerprint[] }
  /** A target answered the request. */
  | { readonly kind: 'cleared', readonly fingerprint: RequestFingerprint }
  /** A host asks to send a held request to one target; of equal numbers the first counts. */
  | { readonly kind: 'trial', readonly fingerprint: RequestFingerprint, readonly number: number }
  | { readonly kind: 'dropped' }

/** Requests that one record names, at most: as many as run and wait at the largest target. */
const MOST_UNDER = 256
const fingerprint = z.string().regex(/^[0-9a-f]{32}$/).transform(asRequestFingerprint)
const endedSchema = z.object({ under: z.array(fingerprint).max(MOST_UNDER) })
const trialSchema = z.object({ number: z.number().int().positive() })

export function endedRecord (life: TargetLife, under: readonly RequestFingerprint[], nonce: string): KeyedRecord {
  return { key: `ended/${encodeURIComponent(life)}/${nonce}`, value: JSON.stringify({ under: under.slice(0, MOST_UNDER) }) }
}

export function clearedRecord (cleared: RequestFingerprint, nonce: string): KeyedRecord {
  return { key: `cleared/${cleared}/${nonce}`, value: '{}' }
}

export function trialRecord (held: RequestFingerprint, number: number, nonce: string): KeyedRecord {
  return { key: `trial/${held}/${nonce}`, value: JSON.stringify({ number }) }
}

/** Reads a record; `undefined` for one of another kind, and for one that cannot be read. */
export function readEndRecord ({ key, value }: KeyedEntry): EndRecord | undefined {
  const [kind, first = ''] = key.split('/')
  if (kind !== 'ended' && kind !== 'cleared' && kind !== 'trial') return undefined
  if (value === undefined) return { kind: 'dropped' }
  switch (kind) {
    case 'ended': return readEnded(first, value)
    case 'cleared': return readCleared(first)
    case 'trial': return readTrial(first, value)
  }
}

function readEnded (encodedLife: string, value: string): EndRecord | undefined {
  const life = decodeKeyPart(encodedLife)
  const ended = parseValue(endedSchema, value)
  return life === undefined || life === '' || ended === undefined ? undefined : { kind: 'ended', life: life as TargetLife, under: ended.under }
}

function readCleared (text: string): EndRecord | undefined {
  const cleared = fingerprint.safeParse(text)
  return cleared.success ? { kind: 'cleared', fingerprint: cleared.data } : undefined
}

function readTrial (text: string, value: string): EndRecord | undefined {
  const held = fingerprint.safeParse(text)
  const trial = parseValue(trialSchema, value)
  return !held.success || trial === undefined ? undefined : { kind: 'trial', fingerprint: held.data, number: trial.number }
}
