/**
 * Port to the other entry hosts: named calls with typed parameters and results. Each method has one
 * handler; an unanswered call is a failure that says nothing about its effect.
 */

import type { Failure, Result } from '../../base/common/resultCode.ts'
import type { HostId, ShardKey } from '../../base/common/ids.ts'
import type { MemberUpdate } from '../../core/common/membership/memberTable.ts'
import type { AcquireRequest, Grant } from '../../core/common/routing/admissionMessages.ts'
import type { KeyedPage, KeyedRecord, NewestPage } from './keyedLog.ts'
import type { LogEntry } from './log.ts'

/** What travels with every probe. */
export interface ProbeMessage {
  readonly from: MemberUpdate
  readonly updates: readonly MemberUpdate[]
  /** Next control offset of the sender: a host that is behind learns it here. */
  readonly offset: number
  /** Pressure of the shards that the sender is home of. */
  readonly pressures: Readonly<Record<string, number>>
  /** Requests in flight over the most that the sender takes, 0 to 1. */
  readonly load: number
  /** Whether the sender reaches the store itself, so that others may call it through this host. */
  readonly reachesStore: boolean
  /** Digest of the sender's table: two hosts whose digests differ exchange their tables. */
  readonly digest: string
  /** Asks for the whole table. */
  readonly full: boolean
}

/** Parameters and result of each method. */
export interface PeerMethods {
  'membership.probe': { parameters: ProbeMessage, result: ProbeMessage }
  /** Asks another host to probe a third one. */
  'membership.probe-for': { parameters: { address: string }, result: { reached: boolean } }
  'log.relay': { parameters: { from: number, maximumEntries: number }, result: { entries: readonly LogEntry[], end: number } }
  'log.state': { parameters: { above: number }, result: { offset: number, digest: string, snapshot: string } | null }
  'admission.acquire': { parameters: { shard: ShardKey, request: AcquireRequest }, result: AcquireAnswer }
  'admission.release': { parameters: { shard: ShardKey, grant: string }, result: null }
  'admission.renew': { parameters: { shard: ShardKey, grants: readonly Grant[] }, result: null }
  'admission.revoke': { parameters: { grant: string }, result: null }
  'samples.keep': { parameters: { id: string, host: HostId, record: string | null }, result: null }
  /** Calls to the store for a host that does not reach it. */
  'store.append': { parameters: { topic: string, records: readonly KeyedRecord[] }, result: Result<number> }
  'store.read': { parameters: { topic: string, from: number, waitMs: number }, result: Result<KeyedPage> }
  'store.read-some': { parameters: { topic: string, from: number, kilobytes: number }, result: Result<KeyedPage> }
  'store.newest': { parameters: { topic: string, after?: string }, result: Result<NewestPage> }
  /** What a host holds of a step's payloads and texts, by key. */
  'contents.values': { parameters: { step: string, keys: readonly string[] }, result: { values: Readonly<Record<string, string>> } }
  'query.rows': { parameters: { view: string }, result: { rows: readonly Record<string, string | number | boolean | null>[], offset: number, revision: number } }
}

export type PeerMethod = keyof PeerMethods

/** Answer of a home to a request for a slot. */
export type AcquireAnswer =
  | { readonly type: 'granted', readonly grant: Grant, readonly address: string, readonly pressure: number }
  | { readonly type: 'refused', readonly reason: Failure, readonly pressure: number }

export interface Peers {
  /** Fails with `targetUnreachable` where nobody listens, else with `unknownOutcome`. */
  call<Method extends PeerMethod> (address: string, method: Method, parameters: PeerMethods[Method]['parameters'], timeoutMs: number): Promise<Result<PeerMethods[Method]['result']>>
}

/** Registry in which each feature puts the handlers of its methods. */
export interface PeerHandlers {
  handle<Method extends PeerMethod> (method: Method, handler: (parameters: PeerMethods[Method]['parameters']) => Promise<PeerMethods[Method]['result']>): void
}
