/** Which host is the home of what, by this host's view of the members. */

import type { ShardKey, SubscriptionName } from '../../../base/common/ids.ts'
import { shardParts } from '../../../base/common/ids.ts'
import type { Member } from '../../../core/common/membership/memberTable.ts'
import { findHome } from '../../../core/common/routing/rendezvous.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { MembershipView } from '../membership/membership.ts'

export class Homes {
  constructor (private readonly membership: MembershipView, private readonly hash: Hash) {}

  /** Home of a shard: admits to its targets and sends them orders. */
  ofShard (shard: ShardKey): Member | undefined {
    return findHome(this.hash, `shard ${shard}`, this.candidates(), shardParts(shard).place)
  }

  /** Home of a subscription: starts its rollouts. */
  ofSubscription (subscription: SubscriptionName): Member | undefined {
    return findHome(this.hash, `subscription ${subscription}`, this.candidates())
  }

  /** The host that writes checkpoints. */
  ofCheckpoints (): Member | undefined {
    return findHome(this.hash, 'checkpoints', this.candidates())
  }

  isSelf (member: Member | undefined): boolean {
    return member?.host === this.membership.self.host
  }

  /** Hosts that leave keep their homes only where nobody else is left. */
  private candidates (): Member[] {
    const available = this.membership.available()
    return available.length > 0 ? available : this.membership.members().filter((member) => member.status === 'leaving')
  }
}
