/**
 * Ranks the hosts that may hold a duty, and computes how long each waits before it claims a duty without a holder.
 * A duty is a role that one host holds at a time.
 *
 * When a deployment of hundreds of hosts starts or loses the holder, every host notices at the same instant. Each
 * claim makes its host read what the duty needs, and each host that doubts the holder sends it a request. With
 * delays drawn from the same range by all hosts, 40 of 195 hosts claimed the duty within 12 ms of the first claim,
 * and a holder that was merely slow received requests from 194.
 *
 * A few candidates therefore go first. They are the same on all hosts that know the same members, are large
 * enough, and are in different failure domains. They wait one after the other for as long as it takes to read a
 * claim back. All other hosts come later, spread over a time that grows with their number.
 */

import type { HostId, FailureDomain } from '../../../base/common/ids.ts'
import type { Hash } from '../../../ports/common/hash.ts'

/** A host that may hold a duty. */
export interface DutyHost {
  readonly host: HostId
  readonly place: FailureDomain
  /** Number of standard cores that the host may use; absent if unknown. */
  readonly processor?: number | undefined
}

/** What a host knows about its own rank for a duty. */
export interface HostRanking {
  /** 0 for the host that should hold the duty first. */
  readonly rank: number
  /** Number of hosts that may hold the duty. */
  readonly hosts: number
  /** Whether the host has run long enough to know the other members. */
  readonly converged: boolean
  /** Whether the host has less than one standard core. */
  readonly small: boolean
}

/**
 * Number of hosts that follow a duty closely: one for each failure domain of the supported deployments, so that
 * losing one failure domain does not take most of them.
 */
export const CANDIDATE_COUNT = 5
/** A host with less than one standard core is too slow to run a step. */
const MIN_LARGE_HOST_CORES = 1
/** Delay between the claims of successive candidates: enough for a claim to be written and read back by the next candidate. */
const CANDIDATE_CLAIM_INTERVAL_MS = 60
/** Additional delay of all other hosts: longer than a candidate's claim takes on a slow store. */
const OTHER_HOSTS_DELAY_MS = 900
/**
 * Time that each host adds to the spread of the claims of non-candidates, so that only a few claims are made
 * before the first is read back.
 */
const SPREAD_PER_HOST_MS = 8
/**
 * Spread of the claims of hosts that do not know the other members yet: the first of twelve comes after a tenth of
 * it, the first of hundreds at once.
 */
const UNCONVERGED_SPREAD_MS = 1500
/** Time within which a host learns of most other members: a few probes, as each one passes on what it has learned. */
export const MEMBERSHIP_CONVERGENCE_MS = 3000
/** Additional delay of hosts with less than one standard core while they do not know of larger ones. */
const SMALL_HOST_DELAY_MS = 600

/** Returns the hosts in the order in which they should hold the duty: large ones first, taking one from each failure domain in turn. */
export function rankHostsForDuty<Host extends DutyHost> (hash: Hash, duty: string, hosts: readonly Host[]): Host[] {
  const weighted = hosts.map((host) => ({ host, small: isSmallHost(host.processor), weight: hash.number(`${machineOf(host.host)}\n${duty}`) }))
  weighted.sort((a, b) => Number(a.small) - Number(b.small) || b.weight - a.weight || (a.host.host < b.host.host ? -1 : 1))
  const turns = new Map<string, number>()
  const ranked = weighted.map((entry) => {
    const key = `${entry.small ? 'small' : 'large'} ${entry.host.place}`
    const turn = turns.get(key) ?? 0
    turns.set(key, turn + 1)
    return { ...entry, turn }
  })
  return ranked.sort((a, b) => Number(a.small) - Number(b.small) || a.turn - b.turn).map(({ host }) => host)
}

export function isSmallHost (processor: number | undefined): boolean {
  return (processor ?? MIN_LARGE_HOST_CORES) < MIN_LARGE_HOST_CORES
}

/**
 * Returns whether a host follows the duty closely and checks whether a silent holder is alive. This includes hosts
 * that do not know the other members yet.
 */
export function isCandidate ({ rank, converged }: HostRanking): boolean {
  return !converged || rank < CANDIDATE_COUNT
}

/** Returns how long a host waits before it claims a duty without a holder. `random` is in [0, 1) and drawn anew for each holder. */
export function claimDelayMs ({ rank, hosts, converged, small }: HostRanking, random: number): number {
  if (!converged) return random * UNCONVERGED_SPREAD_MS + (small ? SMALL_HOST_DELAY_MS : 0)
  if (rank < CANDIDATE_COUNT) return rank * CANDIDATE_CLAIM_INTERVAL_MS
  return OTHER_HOSTS_DELAY_MS + random * hosts * SPREAD_PER_HOST_MS
}

/**
 * Returns the machine part of a host id, which has the form `machine/incarnation`. A restarted host keeps its rank
 * because it is ranked by its machine.
 */
export function machineOf (host: string): string {
  return host.split('/')[0] ?? host
}
