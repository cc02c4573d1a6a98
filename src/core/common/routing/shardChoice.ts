/**
 * Which shard of a pool a host asks first: its own place unless another has clearly more room.
 * What is known of other shards is always late, so two are drawn at random and the better is taken;
 * all hosts running after the one that looked emptiest would overload it.
 */

import type { Place, ShardKey } from '../../../base/common/ids.ts'
import type { Chance } from '../../../ports/common/clock.ts'

/** A shard as a host that wants to use it sees it. */
export interface ShardView {
  readonly shard: ShardKey
  readonly place: Place
  /** Requests over slots, as last heard. */
  readonly pressure: number
}

/** Added to the pressure of a shard elsewhere: what the way there is worth. */
const DISTANCE_PENALTY = 0.25

/** Orders the shards to ask: the first choice, then the others by how full they seem. */
export function orderShards (views: readonly ShardView[], own: Place, chance: Chance): ShardView[] {
  const cost = (view: ShardView): number => view.pressure + (view.place === own ? 0 : DISTANCE_PENALTY)
  const byCost = rotated(views, chance).sort((a, b) => cost(a) - cost(b))
  if (byCost.length <= 2) return byCost
  const first = drawTwo(views, chance).reduce((best, view) => cost(view) < cost(best) ? view : best)
  const near = byCost.find((view) => view.place === own)
  const chosen = near !== undefined && cost(near) <= cost(first) ? near : first
  return [chosen, ...byCost.filter((view) => view !== chosen)]
}

/** Starts at a random shard, so that shards of equal cost are chosen alike. */
function rotated (views: readonly ShardView[], chance: Chance): ShardView[] {
  const start = Math.floor(chance.next() * views.length)
  return [...views.slice(start), ...views.slice(0, start)]
}

function drawTwo (views: readonly ShardView[], chance: Chance): ShardView[] {
  const first = Math.floor(chance.next() * views.length)
  const second = (first + 1 + Math.floor(chance.next() * (views.length - 1))) % views.length
  return [views[first], views[second]].filter((view) => view !== undefined)
}
