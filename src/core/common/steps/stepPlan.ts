/**
 * Plans the order in which the items of a step run. All items arrive at once and need the free slots of all
 * engines more than once; their lengths differ by a factor of ten and are only estimated. The trainer waits for
 * some of the groups, whichever are complete first.
 */

import type { StepItem, StepSubmission } from './step.ts'

/**
 * Importance of a group to its step. The trainer waits for every group carried over from an earlier step and for
 * the wanted number of groups in total; spare groups may be left over.
 */
export type ItemRank = 'carried' | 'wanted' | 'spare'

export interface PlannedItem {
  readonly item: StepItem
  readonly rank: ItemRank
}

/** Group of items, which is complete when its longest item is. */
interface Group {
  readonly id: string
  readonly items: readonly StepItem[]
  readonly longest: number
  readonly carried: boolean
}

/**
 * Returns the items in start order. Groups carried over from an earlier step come first because the trainer waits
 * for them in any case, followed by groups without long items up to the wanted number. Among these, the longest
 * item starts first, so that it does not finish last on its own. The remaining groups use what capacity is left.
 */
export function planItemOrder (submission: StepSubmission, isCarried: (group: string) => boolean): PlannedItem[] {
  const groups = groupsOf(submission, isCarried).sort((a, b) => Number(b.carried) - Number(a.carried) || a.longest - b.longest)
  const wanted = groups.slice(0, submission.wantedGroups)
  const spare = groups.slice(submission.wantedGroups)
  const ranked = (list: readonly Group[], rank: ItemRank): PlannedItem[] => longestFirst(list).map((item) => ({ item, rank: rank === 'wanted' && isCarried(item.group) ? 'carried' : rank }))
  return [...ranked(wanted, 'wanted'), ...ranked(spare, 'spare')]
}

/** Returns the items in submission order. No group ranks as spare, because without a plan it is open which groups are. */
export function submittedItemOrder ({ items }: StepSubmission, isCarried: (group: string) => boolean): PlannedItem[] {
  return items.map((item) => ({ item, rank: isCarried(item.group) ? 'carried' : 'wanted' }))
}

function groupsOf (submission: StepSubmission, isCarried: (group: string) => boolean): Group[] {
  const items = new Map<string, StepItem[]>()
  for (const item of submission.items) items.set(item.group, [...(items.get(item.group) ?? []), item])
  return [...items].map(([id, members]) => ({
    id,
    items: members,
    longest: Math.max(...members.map(({ expectedTokens }) => expectedTokens)),
    carried: isCarried(id)
  }))
}

function longestFirst (groups: readonly Group[]): StepItem[] {
  return groups.flatMap(({ items }) => items).sort((a, b) => b.expectedTokens - a.expectedTokens)
}
