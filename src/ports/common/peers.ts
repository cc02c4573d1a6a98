/**
 * Port to the other entry hosts: remote procedure calls with typed parameters and results. Each method
 * has one handler. A call without a response fails, and its effect is unknown.
 */

import type { Failure, Result } from '../../base/common/resultCode.ts'
import type { HostId, ShardKey } from '../../base/common/ids.ts'
import type { HostLoad } from '../../core/common/membership/hostLoads.ts'
import type { MemberUpdate } from '../../core/common/membership/memberTable.ts'
import type { AcquireRequest, Grant } from '../../core/common/routing/admissionMessages.ts'
import type { KeyedPage, KeyedRecord, NewestPage } from './keyedLog.ts'
import type { LogEntry } from './log.ts'

/** Content of a membership probe and of its response. */
export interface ProbeMessage {
  readonly from: MemberUpdate
  readonly updates: readonly MemberUpdate[]
  /** Next offset of the control log at the sender, by which a receiver detects that it is behind. */
  readonly offset: number
  /** Load pressure of the shards whose home is the sender. */
  readonly pressures: Readonly<Record<string, number>>
  /** Load of the sender, 0 to 1, where 1 means that it accepts no callers: requests in flight as a fraction of its limit or, if larger, its processor load where callers are spread by it. */
  readonly load: number
  /** Loads of other hosts as known to the sender; absent where every host probes all others. */
  readonly otherLoads?: readonly HostLoad[] | undefined
  /** Whether the sender reaches the store directly, so that other hosts may relay store calls through it. */
  readonly reachesStore: boolean
  /** Digest of the sender's member table; two hosts whose digests differ exchange their tables. */
  readonly digest: string
  /** Requests the complete member table. */
  readonly full: boolean
}

/** Maps each method to its parameters and its result. */
export interface PeerMethods {
  'membership.probe': { parameters: ProbeMessage, result: ProbeMessage }
  /** Asks another host to probe a third one. */
  'membership.probe-for': { parameters: { address: string }, result: { reached: boolean } }
  'log.relay': { parameters: { from: number, maximumEntries: number }, result: { entries: readonly LogEntry[], end: number } }
  'log.state': { parameters: { above: number }, result: { offset: number, digest: string, snapshot: string } | null }
  'admission.acquire': { parameters: { shard: ShardKey, request: AcquireRequest }, result: AcquireResponse }
  'admission.release': { parameters: { shard: ShardKey, grant: string }, result: null }
  'admission.renew': { parameters: { shard: ShardKey, grants: readonly Grant[] }, result: null }
  'admission.revoke': { parameters: { grant: string }, result: null }
  'samples.keep': { parameters: { id: string, host: HostId, record: string | null }, result: null }
  /** Store calls relayed for a host that cannot reach the store. */
  'store.append': { parameters: { topic: string, records: readonly KeyedRecord[] }, result: Result<number> }
  'store.read': { parameters: { topic: string, from: number, waitMs: number }, result: Result<KeyedPage> }
  'store.read-some': { parameters: { topic: string, from: number, kilobytes: number }, result: Result<KeyedPage> }
  'store.newest': { parameters: { topic: string, after?: string }, result: Result<NewestPage> }
  /** Returns the payloads and texts of a step that the host has in memory, by key. */
  'contents.values': { parameters: { step: string, keys: readonly string[] }, result: { values: Readonly<Record<string, string>> } }
  'query.rows': { parameters: { view: string }, result: { rows: readonly Record<string, string | number | boolean | null>[], offset: number, revision: number } }
}

export type PeerMethod = keyof PeerMethods

/** Response of a shard's home to a request for a slot. */
export type AcquireResponse =
  | { readonly type: 'granted', readonly grant: Grant, readonly address: string, readonly pressure: number }
  | { readonly type: 'refused', readonly reason: Failure, readonly pressure: number }

export interface Peers {
  /** Calls a method of a peer. Fails with `targetUnreachable` if no process listens at the address, otherwise with `unknownOutcome`. */
  call<Method extends PeerMethod> (address: string, method: Method, parameters: PeerMethods[Method]['parameters'], timeoutMs: number): Promise<Result<PeerMethods[Method]['result']>>
}

/** Registry in which each feature registers the handlers of its methods. */
export interface PeerHandlers {
  handle<Method extends PeerMethod> (method: Method, handler: (parameters: PeerMethods[Method]['parameters']) => Promise<PeerMethods[Method]['result']>): void
}
