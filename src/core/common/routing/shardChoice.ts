/**
 * Selects the shard of a pool that a host asks first: the one in its own failure domain unless another
 * has clearly more free capacity. Information about other shards is always outdated, so two are drawn
 * at random and the better one is taken. If all hosts chose the shard that looks least loaded, they
 * would overload it.
 */

import type { FailureDomain, ShardKey } from '../../../base/common/ids.ts'
import type { RandomSource } from '../../../ports/common/clock.ts'

/** The load of a shard as known to a host. */
export interface ShardView {
  readonly shard: ShardKey
  readonly place: FailureDomain
  /** Ratio of requests to slots, as last reported. */
  readonly pressure: number
}

/** Added to the pressure of a shard in another failure domain to account for the network distance. */
const REMOTE_SHARD_PENALTY = 0.25

/** Orders the shards to ask: the preferred one first, then the others by cost. */
export function orderShards (views: readonly ShardView[], ownDomain: FailureDomain, chance: RandomSource): ShardView[] {
  const cost = (view: ShardView): number => view.pressure + (view.place === ownDomain ? 0 : REMOTE_SHARD_PENALTY)
  const byCost = rotateRandomly(views, chance).sort((a, b) => cost(a) - cost(b))
  if (byCost.length <= 2) return byCost
  const better = pickTwoRandomly(views, chance).reduce((best, view) => cost(view) < cost(best) ? view : best)
  const localShard = byCost.find((view) => view.place === ownDomain)
  const chosen = localShard !== undefined && cost(localShard) <= cost(better) ? localShard : better
  return [chosen, ...byCost.filter((view) => view !== chosen)]
}

/** Rotates the list to start at a random shard, so that shards of equal cost are chosen equally often. */
function rotateRandomly (views: readonly ShardView[], chance: RandomSource): ShardView[] {
  const start = Math.floor(chance.next() * views.length)
  return [...views.slice(start), ...views.slice(0, start)]
}

function pickTwoRandomly (views: readonly ShardView[], chance: RandomSource): ShardView[] {
  const first = Math.floor(chance.next() * views.length)
  const second = (first + 1 + Math.floor(chance.next() * (views.length - 1))) % views.length
  return [views[first], views[second]].filter((view) => view !== undefined)
}
