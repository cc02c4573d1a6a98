/**
 * Branded identifiers. They are plain strings or numbers at run time; the brand keeps a host id from being
 * passed where a target name is wanted.
 */

declare const brand: unique symbol
type Branded<Name extends string> = string & { readonly [brand]: Name }

/** One life of an entry host process: its configured name and a random part. */
export type HostId = Branded<'HostId'>
/** Name of a target (a model engine or a plain service worker). */
export type TargetName = Branded<'TargetName'>
/** One life of a target that may start again under its id: a later life has a higher number. */
export type Incarnation = number & { readonly [brand]: 'Incarnation' }
/** Name of a pool. */
export type PoolName = Branded<'PoolName'>
/** Name of a subscription. */
export type SubscriptionName = Branded<'SubscriptionName'>
/** Name of a place (a failure domain). */
export type Place = Branded<'Place'>
/** Name of a caller, as the settings give it. */
export type CallerName = Branded<'CallerName'>
/** One text of an item, from its beginning at one host until it is given up or goes on at another. */
export type TextId = Branded<'TextId'>
/** Digest of what a request asks, alike on all hosts and for each of its repeats. */
export type RequestFingerprint = Branded<'RequestFingerprint'>
/** One life of a target, by its id and its incarnation where it tells that. */
export type TargetLife = Branded<'TargetLife'>
/** Name of a workspace, as the configuration gives it. */
export type WorkspaceName = Branded<'WorkspaceName'>
/** Digest of a key that a caller presents; keys themselves are not kept. */
export type KeyDigest = Branded<'KeyDigest'>
/** A part of a pool that one home admits for: `pool@place`. */
export type ShardKey = Branded<'ShardKey'>

export const asHostId = (value: string): HostId => value as HostId
export const asTargetName = (value: string): TargetName => value as TargetName
export const asIncarnation = (value: number): Incarnation => value as Incarnation
export const asPoolName = (value: string): PoolName => value as PoolName
export const asSubscriptionName = (value: string): SubscriptionName => value as SubscriptionName
export const asPlace = (value: string): Place => value as Place
export const asCallerName = (value: string): CallerName => value as CallerName
export const asWorkspaceName = (value: string): WorkspaceName => value as WorkspaceName
export const asKeyDigest = (value: string): KeyDigest => value as KeyDigest
export const asTextId = (value: string): TextId => value as TextId
export const asRequestFingerprint = (value: string): RequestFingerprint => value as RequestFingerprint

/** Names one life of a target. */
export function targetLife (id: string, incarnation: Incarnation | undefined): TargetLife {
  return (incarnation === undefined ? id : `${id}@${incarnation}`) as TargetLife
}

/** The shard of a pool that lies in one place. */
export function shardKey (pool: PoolName, place: Place): ShardKey {
  return `${pool}@${place}` as ShardKey
}

/** Splits a shard key into its pool and place. */
export function shardParts (shard: ShardKey): { pool: PoolName, place: Place } {
  const at = shard.lastIndexOf('@')
  return { pool: asPoolName(shard.slice(0, at)), place: asPlace(shard.slice(at + 1)) }
}
