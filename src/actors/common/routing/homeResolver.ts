/** Determines which host is the home of a shard, a subscription or the checkpoints, based on this host's view of the members. */

import type { ShardKey, SubscriptionName } from '../../../base/common/ids.ts'
import { parseShardKey } from '../../../base/common/ids.ts'
import type { Member } from '../../../core/common/membership/memberTable.ts'
import { findHome } from '../../../core/common/routing/rendezvous.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { MembershipView } from '../membership/membership.ts'

export class HomeResolver {
  constructor (private readonly membership: MembershipView, private readonly hash: Hash) {}

  /** Returns the home of a shard, which admits requests to its targets and sends them orders. */
  homeOfShard (shard: ShardKey): Member | undefined {
    return findHome(this.hash, `shard ${shard}`, this.candidates(), parseShardKey(shard).place)
  }

  /** Returns the home of a subscription, which starts its rollouts. */
  homeOfSubscription (subscription: SubscriptionName): Member | undefined {
    return findHome(this.hash, `subscription ${subscription}`, this.candidates())
  }

  /** Returns the host that writes checkpoints. */
  homeOfCheckpoints (): Member | undefined {
    return findHome(this.hash, 'checkpoints', this.candidates())
  }

  isSelf (member: Member | undefined): boolean {
    return member?.host === this.membership.self.host
  }

  /** Returns the hosts that may be homes. Leaving hosts qualify only if no other host is available. */
  private candidates (): Member[] {
    const available = this.membership.available()
    return available.length > 0 ? available : this.membership.members().filter((member) => member.status === 'leaving')
  }
}
