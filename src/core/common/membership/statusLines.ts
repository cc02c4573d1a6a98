/**
 * What is written of hosts that became known, or alive again, within a short time: one line with
 * their numbers where they are several, as after a start, and a line of its own for a single one.
 */

import type { HostId } from '../../../base/common/ids.ts'
import type { MemberStatus } from './memberTable.ts'

/** A host that became known or alive. */
export interface NewStatus {
  readonly host: HostId
  readonly status: MemberStatus
  readonly was: MemberStatus | 'unknown'
}

export type StatusLine =
  | { readonly what: 'host status', readonly details: { readonly member: HostId, readonly status: MemberStatus, readonly was: MemberStatus | 'unknown' } }
  | { readonly what: 'hosts known', readonly details: Readonly<Record<MemberStatus | 'hosts' | 'known', number>> }

/** The line about some hosts; `known` is the number of all hosts, this one among them. */
export function statusLine (news: readonly NewStatus[], known: number): StatusLine | undefined {
  const [first, second] = news
  if (first === undefined) return undefined
  if (second === undefined) return { what: 'host status', details: { member: first.host, status: first.status, was: first.was } }
  const count = (wanted: MemberStatus): number => news.filter(({ status }) => status === wanted).length
  return { what: 'hosts known', details: { hosts: news.length, alive: count('alive'), leaving: count('leaving'), suspect: count('suspect'), dead: count('dead'), known } }
}
