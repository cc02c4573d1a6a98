/**
 * Chooses the target for a request of this host. For a service whose targets report how slowly they work,
 * the choice knows how many hosts send to it, prefers this host's subset of the targets, and within it those to which a
 * connection is open and unused. All other services are served without any of it.
 */

import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import { RequestRate } from '../../../core/common/routes/requestRate.ts'
import { chooseTarget } from '../../../core/common/routes/targetChoice.ts'
import { INITIAL_ANSWER_MS } from '../../../core/common/routes/targetEstimate.ts'
import { preferredTargets, subsetCandidates, subsetSize } from '../../../core/common/routes/targetSubset.ts'
import type { Clock, RandomSource } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { IdleConnections } from '../../../ports/common/targetClient.ts'
import type { KnownTarget } from './targetTable.ts'

/** What the choice needs of this host's surroundings. */
export interface PlacementServices {
  readonly hash: Hash
  readonly client: IdleConnections
  /** Name of this host's machine, which is the same after a restart. */
  readonly machine: string
  /** Number of hosts that send requests, including this one. */
  readonly liveHosts: () => number
}

export interface ChoiceServices {
  readonly clock: Clock
  readonly chance: RandomSource
  readonly place: string
  readonly mechanisms: Pick<Mechanisms, 'nearest_targets' | 'target_subset'>
  /** Absent if this host does not know the other hosts; it then chooses by the expected times alone. */
  readonly placement?: TargetPlacement | undefined
}

export class TargetPlacement {
  private readonly rates = new Map<string, RequestRate>()

  constructor (readonly services: PlacementServices) {}

  /** Counts a request to a service. */
  recordRequest (service: string, nowMs: number): void {
    const rate = this.rates.get(service) ?? new RequestRate()
    this.rates.set(service, rate)
    rate.record(nowMs)
  }

  /** Narrows the candidates to those that this host prefers among the known targets of the service. */
  narrow (known: readonly KnownTarget[], candidates: readonly KnownTarget[], place: string | undefined, nowMs: number): readonly KnownTarget[] {
    const { hash, client, machine } = this.services
    const requestsPerSecond = this.rates.get(known[0]?.definition.service ?? '')?.perSecond(nowMs) ?? 0
    const size = subsetSize(known.length, { requestsPerSecond, answerMs: meanAnswerMs(known) })
    const subset = subsetCandidates(candidates, preferredTargets(hash, machine, known.map(({ definition }) => definition.id), size), place)
    const connected = new Set(subset.filter(({ definition }) => client.hasIdleConnection(definition.address)).map(({ definition }) => definition.id))
    return connected.size === 0 ? subset : subsetCandidates(subset, connected, place)
  }
}

/**
 * Returns the target among the candidates for a request to a service.
 * @param known all targets of the service that accept work
 * @param reusesConnection whether the request would use an open connection
 */
export function chooseFrom (services: ChoiceServices, known: readonly KnownTarget[], candidates: readonly KnownTarget[], reusesConnection: boolean): KnownTarget | undefined {
  const { placement, mechanisms, chance } = services
  const place = mechanisms.nearest_targets ? services.place : undefined
  if (placement === undefined || known[0]?.reportsSlowdown !== true) return chooseTarget(candidates, place, chance.next())
  const nowMs = services.clock.monotonic()
  placement.recordRequest(known[0].definition.service, nowMs)
  const preferred = reusesConnection && mechanisms.target_subset ? placement.narrow(known, candidates, place, nowMs) : candidates
  const slots = known.reduce((sum, { definition }) => sum + definition.slots, 0)
  return chooseTarget(preferred, place, chance.next(), { targets: known.length, slots, liveHosts: placement.services.liveHosts() })
}

function meanAnswerMs (targets: readonly KnownTarget[]): number {
  const known = targets.flatMap(({ answerMs }) => answerMs ?? [])
  return known.length === 0 ? INITIAL_ANSWER_MS : known.reduce((sum, answerMs) => sum + answerMs, 0) / known.length
}
