/**
 * Rendezvous hashing, which determines the host that is the home of a key. When a host joins or
 * leaves, only the keys that it holds move, and every host computes the same result from the members
 * that it knows.
 *
 * Two hosts with different member lists may temporarily select different homes. This may reduce
 * performance but must not affect correctness: whatever has to be decided once is decided by the fold.
 */

import type { Hash } from '../../../ports/common/hash.ts'
import type { HostId, FailureDomain } from '../../../base/common/ids.ts'

/** A host that may be selected. */
export interface HostCandidate {
  readonly host: HostId
  readonly place: FailureDomain
}

/** Returns the home of a key. Only hosts in the preferred failure domain are considered if there are any. */
export function findHome<T extends HostCandidate> (hash: Hash, key: string, candidates: readonly T[], preferred?: FailureDomain): T | undefined {
  const preferredCandidates = preferred === undefined ? [] : candidates.filter((candidate) => candidate.place === preferred)
  return highestWeight(hash, key, preferredCandidates.length > 0 ? preferredCandidates : candidates)
}

function highestWeight<T extends HostCandidate> (hash: Hash, key: string, candidates: readonly T[]): T | undefined {
  let best: T | undefined
  let bestWeight = -1
  for (const candidate of candidates) {
    const weight = hash.number(`${candidate.host}\n${key}`)
    const wins = weight > bestWeight || (weight === bestWeight && best !== undefined && candidate.host < best.host)
    if (!wins) continue
    best = candidate
    bestWeight = weight
  }
  return best
}
