/**
 * Records of usage in a keyed topic. Counts have a key of their own for each time that a host hands some in, so that a repeat after
 * a lost answer replaces itself and nothing else. Of several seals of a window the first in the topic holds; each has a key of its
 * own, as a seal that was written again would move behind another. How far all is reported has a key for each window too: under a
 * common one a record that is carried out late would replace a newer one, and windows would be reported a second time.
 */

import { z } from 'zod'
import type { WorkspaceName } from '../../../base/common/ids.ts'
import { asWorkspaceName } from '../../../base/common/ids.ts'
import type { KeyedEntry, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import { parseValue } from '../keyedRecords.ts'

/** Requests of each workspace that targets began to run. */
export type UsageCounts = ReadonlyMap<WorkspaceName, number>

export type UsageRecord =
  | { readonly kind: 'counts', readonly window: number, readonly counts: UsageCounts }
  | { readonly kind: 'seal', readonly window: number, readonly counts: UsageCounts }
  /** All windows up to this one are reported. */
  | { readonly kind: 'reported', readonly through: number }
  | { readonly kind: 'dropped' }
  | { readonly kind: 'none' }

const countSchema = z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER)
const countsSchema = z.record(z.string(), countSchema)
const encode = encodeURIComponent

/** Counts that a host hands in; `sequence` rises with each record of this life of the host. */
export function countsRecord (window: number, counts: UsageCounts, host: string, sequence: number): KeyedRecord {
  return { key: `counts/${window}/${encode(host)}/${sequence}`, value: encodeCounts(counts) }
}

export function sealRecord (window: number, counts: UsageCounts, nonce: string): KeyedRecord {
  return { key: `seal/${window}/${nonce}`, value: encodeCounts(counts) }
}

export function reportedRecord (through: number): KeyedRecord {
  return { key: `reported/${through}`, value: '{}' }
}

/** Reads a record; what is not known or cannot be read is `none` for all hosts alike. */
export function readUsageRecord ({ key, value }: KeyedEntry): UsageRecord {
  if (value === undefined) return { kind: 'dropped' }
  const [kind, number = ''] = key.split('/')
  const window = Number(number)
  if (number === '' || !Number.isSafeInteger(window)) return { kind: 'none' }
  if (kind === 'reported') return { kind, through: window }
  if (kind !== 'counts' && kind !== 'seal') return { kind: 'none' }
  const counts = parseValue(countsSchema, value)
  return counts === undefined ? { kind: 'none' } : { kind, window, counts: new Map(Object.entries(counts).map(([name, count]) => [asWorkspaceName(name), count])) }
}

function encodeCounts (counts: UsageCounts): string {
  return JSON.stringify(Object.fromEntries([...counts].sort(([a], [b]) => a < b ? -1 : 1)))
}
