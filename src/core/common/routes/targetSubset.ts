/**
 * The targets of a service that a host prefers, so that the connections to them are in use often enough
 * to stay open. Hosts have different subsets, which are evenly distributed over the targets, and a
 * change of the targets changes only the subsets that contain a changed target.
 */

import type { Hash } from '../../../ports/common/hash.ts'
import type { TargetLoad } from './targetEstimate.ts'
import { expectedAnswerMs } from './targetEstimate.ts'

/** Requests that a host sends to a service. */
export interface HostDemand {
  readonly requestsPerSecond: number
  /** Mean time to an answer, in milliseconds. */
  readonly answerMs: number
}

/** Smallest subset: with a single target, a host would have to open a connection when it fails. */
const MIN_SUBSET_SIZE = 2
/** Requests in flight for which a subset has a target, as a multiple of their mean number. */
const CONCURRENCY_RESERVE = 2
/** Factor by which the best other target has to be faster than the best of the subset before a host uses it. */
const MIN_GAIN_OUTSIDE = 2
const MILLISECONDS_PER_SECOND = 1000

/** Returns the number of targets that a host with this demand prefers, of `targets` in total. */
export function subsetSize (targets: number, { requestsPerSecond, answerMs }: HostDemand): number {
  const inFlight = requestsPerSecond * answerMs / MILLISECONDS_PER_SECOND
  return Math.min(targets, Math.max(MIN_SUBSET_SIZE, Math.ceil(CONCURRENCY_RESERVE * inFlight) + 1))
}

/** Returns the ids of the targets that a host prefers, by rendezvous hashing. */
export function preferredTargets (hash: Hash, host: string, targets: readonly string[], size: number): ReadonlySet<string> {
  const weighted = targets.map((id) => ({ id, weight: hash.number(`${host}\n${id}`) }))
  weighted.sort((a, b) => b.weight - a.weight || (a.id < b.id ? -1 : 1))
  return new Set(weighted.slice(0, size).map(({ id }) => id))
}

/**
 * Returns the candidates among which a host chooses: those of its subset, or all if none of them is left, or if
 * the best of the subset is suspect or at least twice as slow as the best other one.
 */
export function subsetCandidates<Load extends TargetLoad> (candidates: readonly Load[], preferred: ReadonlySet<string>, place: string | undefined): readonly Load[] {
  const inside = candidates.filter(({ definition }) => preferred.has(definition.id))
  const outside = candidates.filter(({ definition }) => !preferred.has(definition.id))
  if (inside.length === 0 || outside.length === 0) return candidates
  const best = fastest(inside, place)
  const isSufficient = best !== undefined && !best.load.suspect && best.expectedMs < (fastest(outside, place)?.expectedMs ?? 0) * MIN_GAIN_OUTSIDE
  return isSufficient ? inside : candidates
}

function fastest<Load extends TargetLoad> (loads: readonly Load[], place: string | undefined): { readonly load: Load, readonly expectedMs: number } | undefined {
  let best: { readonly load: Load, readonly expectedMs: number } | undefined
  for (const load of loads) {
    const expectedMs = expectedAnswerMs(load, place)
    if (best === undefined || expectedMs < best.expectedMs) best = { load, expectedMs }
  }
  return best
}
