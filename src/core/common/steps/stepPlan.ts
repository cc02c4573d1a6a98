/**
 * In which order the items of a step are run. Load pattern: all items come at once and fill the
 * free slots of all engines more than one time; lengths differ by a factor of ten and are known
 * roughly; the trainer waits for a part of the groups only, whichever are complete first.
 */

import type { StepItem, StepSubmission } from './step.ts'

/** What a group is to its step: its trainer waits for carried groups in any case, for wanted ones as far as the plan goes, and spare ones may be left over. */
export type ItemRank = 'carried' | 'wanted' | 'spare'

export interface PlannedItem {
  readonly item: StepItem
  readonly rank: ItemRank
}

/** What a group is expected to take: its longest item decides when it is complete. */
interface Group {
  readonly id: string
  readonly items: readonly StepItem[]
  readonly longest: number
  readonly carried: boolean
}

/**
 * Items in the order in which they are started. Groups carried over from an earlier step come first,
 * since the trainer waits for them in any case; then as many as it wants, those without a long item
 * before the others. Within the wanted ones the longest item starts first, so that it is not the one
 * that everybody waits for at the end. Groups beyond the wanted ones use what is left.
 */
export function planOrder (submission: StepSubmission, isCarried: (group: string) => boolean): PlannedItem[] {
  const groups = groupsOf(submission, isCarried).sort((a, b) => Number(b.carried) - Number(a.carried) || a.longest - b.longest)
  const wanted = groups.slice(0, submission.wantedGroups)
  const spare = groups.slice(submission.wantedGroups)
  const ranked = (list: readonly Group[], rank: ItemRank): PlannedItem[] => longestFirst(list).map((item) => ({ item, rank: rank === 'wanted' && isCarried(item.group) ? 'carried' : rank }))
  return [...ranked(wanted, 'wanted'), ...ranked(spare, 'spare')]
}

/** Items as they were submitted, with what their groups are to the step as far as no plan says which ones are spare. */
export function submittedOrder ({ items }: StepSubmission, isCarried: (group: string) => boolean): PlannedItem[] {
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
