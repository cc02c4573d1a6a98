/**
 * Selects the hosts that an address query lists, in deployments with more hosts than one answer can list. Callers pick
 * one of the listed hosts at random for each new connection, so a host receives callers in proportion to the time for
 * which it is listed. Load pattern: up to a few hundred hosts of unequal size, whose loads are known from probes that are
 * seconds old, and callers that keep an answer for some seconds.
 *
 * The hosts lie on a line in an order given by a hash of their ids, each with a length in proportion to its size. Points
 * at equal distances select the hosts to list (systematic sampling). The points advance a little with each time slice, so
 * a host stays listed for several slices, and few hosts enter or leave the list from one slice to the next. The load of a
 * host shortens only the time for which it is listed: if it changed the positions of the hosts behind it, the list would
 * change with every probe, and hosts whose probes differ would list different hosts. docs/design/caller-spread.md has the
 * alternatives.
 */

import type { FailureDomain } from '../../../base/common/ids.ts'
import type { Hash } from '../../../ports/common/hash.ts'

/** A host that may be listed. */
export interface SpreadMember {
  /** Identifies the host across restarts, so that a restart does not change the order. */
  readonly id: string
  readonly place: FailureDomain
  /** Processor capacity in standard cores; absent if unknown. */
  readonly size?: number | undefined
  /** Fraction of the host's capacity in use. A host with a load of 1 accepts no callers: it is never listed and only keeps its position on the line. */
  readonly load: number
}

export interface SpreadRequest<Member extends SpreadMember> {
  readonly members: readonly Member[]
  /** Failure domain whose hosts are preferred; absent if the caller has no preference. */
  readonly place?: string | undefined
  /** Number of the current time slice, the same on all hosts; see `spreadSlice`. */
  readonly slice: number
  readonly hash: Hash
  /** Maximum number of hosts to list. */
  readonly limit: number
}

/** Maximum number of addresses in an answer. */
export const MAX_LISTED_HOSTS = 64
/** Length of a time slice, in milliseconds: the time for which most callers keep an answer. */
const SLICE_MS = 2000
/**
 * Number of steps in which the points advance within a slice. With a single one, a small host is listed for 2 or 3 slices
 * per turn instead of 2.7, and in 5 of 100 replays of 90 hosts the busiest one exceeded 1.3 times its share; with four, in none.
 */
const STEPS_PER_SLICE = 4
const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2
/**
 * Number of slices in which the points advance by the distance between two of them, so that each host is listed once. 15
 * slices are the 30 s over which hosts receive at most 1.3 times their share; with longer turns they do not, and shorter
 * ones make more hosts leave the list per slice. The difference from 15 shifts the points from turn to turn, so that a
 * host whose length falls between the points of one turn is listed in a later one.
 */
const SLICES_PER_TURN = 15 - GOLDEN_RATIO / 10
/** Load above which a host is listed only if no host has less. */
const MAX_LOAD = 0.9
/** A failure domain with less than this fraction of a fair share of the free capacity also receives hosts of other domains. */
const MIN_DOMAIN_SHARE = 0.5
/** The weight of other domains changes lengths on the line in steps of this size, as the loads from which it is derived change constantly. */
const DOMAIN_WEIGHT_STEP = 1 / 8

/** Returns the number of the time slice at a time of day, in steps of a quarter. */
export function spreadSlice (wallMs: number): number {
  return Math.floor(wallMs * STEPS_PER_SLICE / SLICE_MS) / STEPS_PER_SLICE
}

/** A member with a valid size and load. */
interface Candidate<Member> {
  readonly member: Member
  readonly size: number
  readonly load: number
}

/** Returns the hosts to list, in the order of the line. The list is empty only if no member accepts callers. */
export function selectHosts<Member extends SpreadMember> ({ members, place, slice, hash, limit }: SpreadRequest<Member>): Member[] {
  const known = toCandidates(members)
  const accepting = known.filter(({ load }) => load < 1)
  const unloaded = accepting.filter(({ load }) => load <= MAX_LOAD)
  const eligible = unloaded.length > 0 ? unloaded : accepting
  if (eligible.length === 0) return []

  const otherDomains = weightOfOtherDomains(eligible, new Set(accepting.map(({ member }) => member.place)).size, place)
  const domainWeight = ({ member }: Candidate<Member>): number => place === undefined || member.place === place ? 1 : otherDomains
  const candidates = inHashedOrder(known.filter((candidate) => domainWeight(candidate) > 0), hash)
  const positions = positionsOnLine(candidates.map((candidate) => candidate.size * roundWeight(domainWeight(candidate))), limit)
  const eligibleSet = new Set(eligible)
  const weights = candidates.map((candidate) => eligibleSet.has(candidate) ? domainWeight(candidate) * freeCapacity(candidate) : 0)
  const fullWeight = samplingDistance(weights, limit)

  const listed = candidates.flatMap(({ member }, index) => {
    const probability = (weights[index] ?? 0) / fullWeight
    const elapsed = fraction(slice / SLICES_PER_TURN - (positions[index] ?? 0))
    return elapsed < probability ? [{ member, remaining: probability >= 1 ? Number.POSITIVE_INFINITY : probability - elapsed }] : []
  })
  return longestRemaining(listed, limit).map(({ member }) => member)
}

/** Replaces unknown sizes by one core, and sizes of zero or below by the smallest known size. */
function toCandidates<Member extends SpreadMember> (members: readonly Member[]): Candidate<Member>[] {
  const sizes = members.flatMap(({ size }) => size !== undefined && size > 0 ? [size] : [])
  const smallest = sizes.length === 0 ? 1 : Math.min(...sizes)
  return members.map((member) => {
    const { size = 1, load } = member
    return { member, size: size > 0 ? size : smallest, load: Math.max(0, load) }
  })
}

function freeCapacity ({ size, load }: Candidate<SpreadMember>): number {
  return size * (1 - load)
}

/**
 * Returns the weight of hosts outside the requested failure domain: 0 if that domain has enough free capacity, otherwise
 * the weight with which the other domains supply what it lacks to a fair share.
 */
function weightOfOtherDomains (eligible: readonly Candidate<SpreadMember>[], domainCount: number, place: string | undefined): number {
  let total = 0
  let own = 0
  for (const candidate of eligible) {
    total += freeCapacity(candidate)
    if (candidate.member.place === place) own += freeCapacity(candidate)
  }
  const fairShare = total / domainCount
  return own >= fairShare * MIN_DOMAIN_SHARE ? 0 : (fairShare - own) / (total - own)
}

function roundWeight (weight: number): number {
  return Math.max(1, Math.round(weight / DOMAIN_WEIGHT_STEP)) * DOMAIN_WEIGHT_STEP
}

function inHashedOrder<Member extends SpreadMember> (candidates: readonly Candidate<Member>[], hash: Hash): Candidate<Member>[] {
  return candidates
    .map((candidate) => ({ candidate, key: hash.number(candidate.member.id) }))
    .sort((a, b) => a.key - b.key || (a.candidate.member.id < b.candidate.member.id ? -1 : 1))
    .map(({ candidate }) => candidate)
}

/**
 * Returns the position of each host on the line, in units of the distance between two points. Hosts as long as this
 * distance are always listed unless they have load. They are placed apart from the line, at positions that differ as much
 * as possible: on it, hosts of equal size would all have the same position and leave the list simultaneously.
 */
function positionsOnLine (lengths: readonly number[], limit: number): number[] {
  const distance = samplingDistance(lengths, limit)
  let end = 0
  let fullLengths = 0
  return lengths.map((length) => {
    if (length >= distance) return GOLDEN_RATIO * fullLengths++
    const start = end
    end += length / distance
    return start
  })
}

/** Returns the smallest distance between points with which at most `limit` hosts and none of them twice are selected. */
function samplingDistance (lengths: readonly number[], limit: number): number {
  const total = lengths.reduce((sum, length) => sum + length, 0)
  return Math.max(total / limit, ...lengths)
}

/** Returns at most `limit` hosts, without those that would leave the list next. Loads that differ from host to host can make the list a little longer than the limit. */
function longestRemaining<Entry extends { readonly remaining: number }> (entries: readonly Entry[], limit: number): readonly Entry[] {
  if (entries.length <= limit) return entries
  const kept = new Set([...entries].sort((a, b) => b.remaining - a.remaining).slice(0, limit))
  return entries.filter((entry) => kept.has(entry))
}

function fraction (value: number): number {
  return value - Math.floor(value)
}
