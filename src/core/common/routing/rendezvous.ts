/**
 * Rendezvous hashing: which host is the home of a key. When a host comes or goes only the keys that
 * it holds move, and every host works the same answer out from the members that it knows.
 *
 * Two hosts that know different members may name different homes for a moment. That may cost speed
 * and must never cost more: what has to be decided once is decided by the fold.
 */

import type { Hash } from '../../../ports/common/hash.ts'
import type { HostId, Place } from '../../../base/common/ids.ts'

/** A host that may be chosen. */
export interface Candidate {
  readonly host: HostId
  readonly place: Place
}

/** The home of a key: hosts of the preferred place go first, as long as there is one. */
export function homeOf<T extends Candidate> (hash: Hash, key: string, candidates: readonly T[], preferred?: Place): T | undefined {
  const near = preferred === undefined ? [] : candidates.filter((candidate) => candidate.place === preferred)
  return highest(hash, key, near.length > 0 ? near : candidates)
}

function highest<T extends Candidate> (hash: Hash, key: string, candidates: readonly T[]): T | undefined {
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
