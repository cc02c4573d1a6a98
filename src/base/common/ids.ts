/**
 * Branded identifiers. They are plain strings or numbers at run time; the brand prevents a host id from being
 * passed where a target name is expected.
 */

declare const brand: unique symbol
type Branded<Name extends string> = string & { readonly [brand]: Name }

/** Identifies one run of an entry host process: its configured name and a random part. */
export type HostId = Branded<'HostId'>
/** Name of a target (a model engine or a plain service worker). */
export type TargetName = Branded<'TargetName'>
/** Number of one start of a target, which may restart under the same id; later starts have higher numbers. */
export type Incarnation = number & { readonly [brand]: 'Incarnation' }
/** Name of a pool. */
export type PoolName = Branded<'PoolName'>
/** Name of a subscription. */
export type SubscriptionName = Branded<'SubscriptionName'>
/** Name of a failure domain. */
export type FailureDomain = Branded<'Place'>
/** Name of a caller, as defined in the settings. */
export type CallerName = Branded<'CallerName'>
/** Identifies one text of an item, from its first event at one host until it is given up or resumed at another host. */
export type TextId = Branded<'TextId'>
/** Identifies a call in the call queue of one host process. */
export type QueuedCallKey = Branded<'QueuedCallKey'>
/** Digest of the content of a request; the same on all hosts and for each repeat of the request. */
export type RequestFingerprint = Branded<'RequestFingerprint'>
/** Identifies one incarnation of a target: the target's id and, if known, its incarnation number. */
export type TargetIncarnationId = Branded<'TargetLife'>
/** Name of a workspace, as defined in the configuration. */
export type WorkspaceName = Branded<'WorkspaceName'>
/** Digest of an API key that a caller presents; the keys themselves are not stored. */
export type KeyDigest = Branded<'KeyDigest'>
/** Key of a shard, the part of a pool in one failure domain, for which one home admits requests. The format is `pool@failure domain`. */
export type ShardKey = Branded<'ShardKey'>

export const asHostId = (value: string): HostId => value as HostId
export const asTargetName = (value: string): TargetName => value as TargetName
export const asQueuedCallKey = (value: string): QueuedCallKey => value as QueuedCallKey
export const asIncarnation = (value: number): Incarnation => value as Incarnation
export const asPoolName = (value: string): PoolName => value as PoolName
export const asSubscriptionName = (value: string): SubscriptionName => value as SubscriptionName
export const asFailureDomain = (value: string): FailureDomain => value as FailureDomain
export const asCallerName = (value: string): CallerName => value as CallerName
export const asWorkspaceName = (value: string): WorkspaceName => value as WorkspaceName
export const asKeyDigest = (value: string): KeyDigest => value as KeyDigest
export const asTextId = (value: string): TextId => value as TextId
export const asRequestFingerprint = (value: string): RequestFingerprint => value as RequestFingerprint

/** Returns the identifier of one incarnation of a target. */
export function targetIncarnationId (id: string, incarnation: Incarnation | undefined): TargetIncarnationId {
  return (incarnation === undefined ? id : `${id}@${incarnation}`) as TargetIncarnationId
}

/** Returns the key of the shard of a pool in one failure domain. */
export function shardKey (pool: PoolName, place: FailureDomain): ShardKey {
  return `${pool}@${place}` as ShardKey
}

/** Splits a shard key into its pool and its failure domain. */
export function parseShardKey (shard: ShardKey): { pool: PoolName, place: FailureDomain } {
  const at = shard.lastIndexOf('@')
  return { pool: asPoolName(shard.slice(0, at)), place: asFailureDomain(shard.slice(at + 1)) }
}
