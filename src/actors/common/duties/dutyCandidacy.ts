/** Computes the rank of a host among the hosts that may have a duty, based on the known members. */

import type { HostId } from '../../../base/common/ids.ts'
import type { HostRanking } from '../../../core/common/duties/dutyOrder.ts'
import { rankHostsForDuty, isSmallHost, MEMBERSHIP_CONVERGENCE_MS } from '../../../core/common/duties/dutyOrder.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { MembershipView } from '../membership/membership.ts'

export interface DutyCandidacyServices {
  readonly membership: Pick<MembershipView, 'available' | 'onChange'>
  readonly hash: Hash
  readonly clock: Clock
}

export interface DutyCandidacySettings {
  readonly duty: string
  readonly host: HostId
  /** Number of standard cores that this host may use; `undefined` if host sizes are ignored. */
  readonly processor: number | undefined
}

export class DutyCandidacy {
  private readonly startedAt: number
  private known: Pick<HostRanking, 'rank' | 'hosts'> | undefined

  constructor (private readonly services: DutyCandidacyServices, private readonly settings: DutyCandidacySettings) {
    this.startedAt = services.clock.monotonic()
    services.membership.onChange(() => { this.known = undefined })
  }

  get current (): HostRanking {
    this.known ??= this.computeRank()
    return { ...this.known, converged: this.services.clock.monotonic() - this.startedAt >= MEMBERSHIP_CONVERGENCE_MS, small: isSmallHost(this.settings.processor) }
  }

  /** A host that is leaving cannot have the duty and ranks last. */
  private computeRank (): Pick<HostRanking, 'rank' | 'hosts'> {
    const hosts = this.services.membership.available()
    const ranked = this.settings.processor === undefined ? hosts.map(({ host, place }) => ({ host, place })) : hosts
    const rank = rankHostsForDuty(this.services.hash, this.settings.duty, ranked).findIndex(({ host }) => host === this.settings.host)
    return { rank: rank < 0 ? hosts.length : rank, hosts: hosts.length }
  }
}
