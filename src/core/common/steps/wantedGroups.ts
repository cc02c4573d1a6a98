/**
 * When a step has what its trainer waits for: a number of groups of which every item is listed, and among them
 * all groups that an earlier step left over.
 */

import type { FoldedStep } from './stepFold.ts'

/** Groups of a step that an earlier one had too: they were not whole when it ended. */
export function carriedGroups (step: FoldedStep, steps: Iterable<FoldedStep>): Set<string> {
  const own = new Set(step.submission.items.map(({ group }) => group))
  const carried = new Set<string>()
  for (const { submission, submittedAt } of steps) {
    if (submission.id === step.submission.id || submittedAt > step.submittedAt) continue
    for (const { group } of submission.items) if (own.has(group)) carried.add(group)
  }
  return carried
}

/** Whether the first so many results of a step are all that its trainer waits for. */
export function hasWanted ({ submission, results }: FoldedStep, count: number, carried: ReadonlySet<string>): boolean {
  const listed = new Set(results.slice(0, count).map(({ item }) => item))
  const groups = new Set(submission.items.map(({ group }) => group))
  const open = new Set(submission.items.filter(({ id }) => !listed.has(id)).map(({ group }) => group))
  return groups.size - open.size >= submission.wantedGroups && [...open].every((group) => !carried.has(group))
}
