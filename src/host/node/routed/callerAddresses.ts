/** Lists the addresses at which callers may connect: those of all hosts that accept callers, or a selection if an answer cannot list them all. */

import type { MembershipView } from '../../../actors/common/membership/membership.ts'
import type { HostId } from '../../../base/common/ids.ts'
import type { Member } from '../../../core/common/membership/memberTable.ts'
import type { SpreadMember } from '../../../core/common/routes/callerSpread.ts'
import { MAX_LISTED_HOSTS, selectHosts, spreadSlice } from '../../../core/common/routes/callerSpread.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'

export interface CallerAddressServices {
  readonly membership: Pick<MembershipView, 'members' | 'available' | 'loadOf'>
  readonly clock: Pick<Clock, 'wall'>
  readonly hash: Hash
  /** Returns whether this host accepts callers. */
  readonly isReady: () => boolean
}

export interface CallerAddressOptions {
  readonly host: HostId
  /** Port for callers. All hosts of a deployment use the same ports, so a member's address for callers is its IP with this host's port. */
  readonly port: string
  /** Whether callers are spread over all hosts if there are more than an answer can list. */
  readonly spread: boolean
}

export class CallerAddresses {
  constructor (private readonly services: CallerAddressServices, private readonly options: CallerAddressOptions) {}

  /** Whether more hosts accept callers than an answer can list. */
  get isSpread (): boolean {
    if (!this.options.spread) return false
    const available = this.services.membership.available()
    return available.length > MAX_LISTED_HOSTS && new Set(available.filter((member) => this.accepts(member)).map(({ address }) => address)).size > MAX_LISTED_HOSTS
  }

  /** Returns the addresses to list in an answer to a query from a failure domain. */
  list (place: string | undefined): string[] {
    if (!this.isSpread) return this.services.membership.available().filter((member) => this.accepts(member)).flatMap(({ address }) => this.addressForCallers(address))
    const { clock, hash } = this.services
    const selected = selectHosts({ members: this.spreadMembers(), place, slice: spreadSlice(clock.wall()), hash, limit: MAX_LISTED_HOSTS })
    return [...new Set(selected.flatMap(({ id }) => this.addressForCallers(id)))]
  }

  /** Other hosts accept callers if the last load that they reported is below 1; a host whose load is unknown may not be ready. */
  private accepts ({ host, status }: Member): boolean {
    if (status !== 'alive') return false
    return host === this.options.host ? this.services.isReady() : (this.services.membership.loadOf(host) ?? 1) < 1
  }

  /**
   * Returns one member for each address. A restarted host keeps its address, so it keeps its position on the line and is
   * listed once even while its former process is still considered alive. Hosts that do not accept callers keep their
   * positions until they are forgotten. An address is not listed while a process there is not ready: a former process
   * that still counts as alive must not make the new one receive callers.
   */
  private spreadMembers (): SpreadMember[] {
    const { membership } = this.services
    const members = membership.members()
    const unready = new Set(members.filter((member) => (member.status === 'alive' || member.host === this.options.host) && !this.accepts(member)).map(({ address }) => address))
    const byAddress = new Map<string, SpreadMember>()
    for (const member of members) {
      const { host, address, place, processor } = member
      const accepts = this.accepts(member) && !unready.has(address)
      if (!accepts && byAddress.has(address)) continue
      byAddress.set(address, { id: address, place, size: processor, load: accepts ? membership.loadOf(host) ?? 0 : 1 })
    }
    return [...byAddress.values()]
  }

  /** Returns no address for a member that announces one which cannot be parsed. */
  private addressForCallers (address: string): readonly string[] {
    return URL.canParse(address) ? [`${new URL(address).hostname}:${this.options.port}`] : []
  }
}
