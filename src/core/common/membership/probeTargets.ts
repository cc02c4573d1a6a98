/**
 * Chooses the hosts that a host probes. If it probed all others in turn, the time between two probes of the same host would grow
 * with the number of hosts: among 90 hosts, probed every 500 ms, it is 45 s, so each probe found its connection closed and
 * opened a new one on both sides, which costs several times as much as the probe.
 *
 * Each host therefore probes some twenty neighbours in turn: the hosts at distances that grow by a fifth on a ring that all hosts
 * with the same members order in the same way. Each host then is probed by as many others as it probes, from all over the
 * deployment, and updates spread as fast as with random probes. With distances that double, so with 9 neighbours of 195
 * hosts, two hosts did not know in time of one that was leaving. One probe of each round goes to a random other host, so that
 * detection does not depend on the neighbours alone.
 */

import type { HostId } from '../../../base/common/ids.ts'
import type { Hash } from '../../../ports/common/hash.ts'

/** Up to this number of others, all are probed in turn: with a probe every 500 ms, each within 12 s, well before the 28 s after which its connection is closed. */
export const MAX_PROBED_HOSTS = 24
const DISTANCE_GROWTH = 1.2
/** Larger than any hash, so that the distance from a larger hash to a smaller one exceeds all others. */
const RING_SIZE = 2 ** 32

/** Returns the neighbours of a host among the others, in no particular order. */
export function probeNeighbours<Host extends { readonly host: HostId }> (hash: Hash, own: HostId, others: readonly Host[]): Host[] {
  if (others.length <= MAX_PROBED_HOSTS) return [...others]
  const ownPosition = hash.number(own)
  const ring = others.map((member) => ({ member, distance: distanceOnRing(ownPosition, hash.number(member.host)) }))
  ring.sort((a, b) => a.distance - b.distance || (a.member.host < b.member.host ? -1 : 1))
  const neighbours: Host[] = []
  for (let distance = 1; distance <= ring.length; distance = Math.max(distance + 1, Math.ceil(distance * DISTANCE_GROWTH))) {
    const entry = ring[distance - 1]
    if (entry !== undefined) neighbours.push(entry.member)
  }
  return neighbours
}

/** Hosts follow each other on the ring by their hashes; those with a smaller hash come after all with a larger one. */
function distanceOnRing (from: number, to: number): number {
  return to >= from ? to - from : to - from + RING_SIZE
}
