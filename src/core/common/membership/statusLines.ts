/**
 * Log lines about hosts that became known, or alive again, within a short time. Several hosts, as
 * after a start, are logged in one line with their numbers; a single host is logged by name.
 */

import type { HostId } from '../../../base/common/ids.ts'
import type { MemberStatus } from './memberTable.ts'

/** A status change of a host that became known or alive. */
export interface StatusChange {
  readonly host: HostId
  readonly status: MemberStatus
  readonly was: MemberStatus | 'unknown'
}

export type StatusLogLine =
  | { readonly what: 'host status', readonly details: { readonly member: HostId, readonly status: MemberStatus, readonly was: MemberStatus | 'unknown' } }
  | { readonly what: 'hosts known', readonly details: Readonly<Record<MemberStatus | 'hosts' | 'known', number>> }

/** Creates the log line for status changes. `known` is the number of all known hosts, including this one. */
export function summarizeStatusChanges (changes: readonly StatusChange[], known: number): StatusLogLine | undefined {
  const [first, second] = changes
  if (first === undefined) return undefined
  if (second === undefined) return { what: 'host status', details: { member: first.host, status: first.status, was: first.was } }
  const count = (wanted: MemberStatus): number => changes.filter(({ status }) => status === wanted).length
  return { what: 'hosts known', details: { hosts: changes.length, alive: count('alive'), leaving: count('leaving'), suspect: count('suspect'), dead: count('dead'), known } }
}
