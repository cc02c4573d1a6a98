/** What a host is among those that may have a duty, from the hosts that it knows. */

import type { HostId } from '../../../base/common/ids.ts'
import type { HostRanking } from '../../../core/common/duties/dutyOrder.ts'
import { rankHostsForDuty, isSmallHost, MEMBERSHIP_CONVERGENCE_MS } from '../../../core/common/duties/dutyOrder.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { MembershipView } from '../membership/membership.ts'

export interface DutyStandingServices {
  readonly membership: Pick<MembershipView, 'available' | 'onChange'>
  readonly hash: Hash
  readonly clock: Clock
}

export interface DutyStandingSettings {
  readonly duty: string
  readonly host: HostId
  /** Usual cores that this host may use; absent where sizes do not count. */
  readonly processor: number | undefined
}

export class DutyStanding {
  private readonly startedAt: number
  private known: Pick<HostRanking, 'rank' | 'hosts'> | undefined

  constructor (private readonly services: DutyStandingServices, private readonly settings: DutyStandingSettings) {
    this.startedAt = services.clock.monotonic()
    services.membership.onChange(() => { this.known = undefined })
  }

  get now (): HostRanking {
    this.known ??= this.lookUp()
    return { ...this.known, converged: this.services.clock.monotonic() - this.startedAt >= MEMBERSHIP_CONVERGENCE_MS, small: isSmallHost(this.settings.processor) }
  }

  /** A host that is leaving is none of those that may have the duty, and comes last. */
  private lookUp (): Pick<HostRanking, 'rank' | 'hosts'> {
    const hosts = this.services.membership.available()
    const counted = this.settings.processor === undefined ? hosts.map(({ host, place }) => ({ host, place })) : hosts
    const rank = rankHostsForDuty(this.services.hash, this.settings.duty, counted).findIndex(({ host }) => host === this.settings.host)
    return { rank: rank < 0 ? hosts.length : rank, hosts: hosts.length }
  }
}
