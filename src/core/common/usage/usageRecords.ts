/**
 * Usage records in a keyed topic. Each submission of counts by a host has a unique key, so a repeat after a lost response replaces
 * only itself. If a window has several seals, the first one in the topic is valid. Each seal has a unique key, because a seal that
 * is written again under the same key would move behind another one. Records of reported windows have one key per window as well:
 * with a common key, a record that is applied late would replace a newer one, and windows would be reported again.
 */

import { z } from 'zod'
import type { WorkspaceName } from '../../../base/common/ids.ts'
import { asWorkspaceName } from '../../../base/common/ids.ts'
import type { KeyedEntry, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import { parseValue } from '../keyedRecords.ts'

/** Number of requests that targets started to run, by workspace. */
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
const encodeKeyPart = encodeURIComponent

/** Creates a record of counts submitted by a host. `sequence` increases with each record of this incarnation of the host. */
export function countsRecord (window: number, counts: UsageCounts, host: string, sequence: number): KeyedRecord {
  return { key: `counts/${window}/${encodeKeyPart(host)}/${sequence}`, value: encodeCounts(counts) }
}

export function sealRecord (window: number, counts: UsageCounts, nonce: string): KeyedRecord {
  return { key: `seal/${window}/${nonce}`, value: encodeCounts(counts) }
}

export function reportedRecord (through: number): KeyedRecord {
  return { key: `reported/${through}`, value: '{}' }
}

/** Decodes a record. On all hosts, a record that is unknown or cannot be read is `none`. */
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
