/**
 * Decides which waiting item of all open steps gets the next free slot. A delayed trainer may submit two steps
 * within a second, whose items need several times the available slots. If the steps are served one after the
 * other, the long items of the second wait until the last short item of the first has a slot and can then no
 * longer finish in time, while the short ones have seconds to spare. The item with the earliest latest start time
 * therefore goes first.
 *
 * In a paired simulation of 120 days, serving one step after the other lowers the mean of the on-time shares of
 * all steps and of the two worst steps by 0.040 (standard error 0.009).
 */

import type { ItemRank } from './stepPlan.ts'

/** An item that waits for a slot. */
export interface WaitingItem {
  readonly rank: ItemRank
  /** Whether a run of the item was interrupted, which puts it behind the other items of its step. An item under which engines keep crashing does not count. */
  readonly ranBefore: boolean
  /** Expected time to generate the rest of its text, in milliseconds. */
  readonly remainingMs: number
  /** Time at which its step is due, in milliseconds. */
  readonly dueAtMs: number
}

/** Factor applied to the expected remaining time, because trainers' estimates are often off by a factor of two. */
const LENGTH_SAFETY_FACTOR = 2
/** How much earlier items of groups carried over start: their step waits for them regardless of which other groups are complete. */
const CARRIED_ADVANCE_MS = 2000
/** How much later items of groups that the step can do without start: half of the time within which steps are due. */
const SPARE_DELAY_MS = 4000

/** Compares two items by start order; items with the same latest start time keep their order. */
export function compareStartOrder (a: WaitingItem, b: WaitingItem): number {
  return Number(b.ranBefore) - Number(a.ranBefore) || latestStartMs(a) - latestStartMs(b)
}

function latestStartMs ({ rank, remainingMs, dueAtMs }: WaitingItem): number {
  return dueAtMs - remainingMs * LENGTH_SAFETY_FACTOR + rankShiftMs(rank)
}

function rankShiftMs (rank: ItemRank): number {
  switch (rank) {
    case 'carried': return -CARRIED_ADVANCE_MS
    case 'wanted': return 0
    case 'spare': return SPARE_DELAY_MS
  }
}
