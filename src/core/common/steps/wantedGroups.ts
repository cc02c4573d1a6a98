/**
 * Determines when a step has what its trainer waits for: the wanted number of groups with all items listed,
 * including all groups left over by an earlier step.
 */

import type { FoldedStep } from './stepFold.ts'

/** Returns the groups of a step that an earlier one has too, because they were incomplete when it ended. */
export function carriedOverGroups (step: FoldedStep, steps: Iterable<FoldedStep>): Set<string> {
  const stepGroups = new Set(step.submission.items.map(({ group }) => group))
  const carriedOver = new Set<string>()
  for (const { submission, submittedAt } of steps) {
    if (submission.id === step.submission.id || submittedAt > step.submittedAt) continue
    for (const { group } of submission.items) if (stepGroups.has(group)) carriedOver.add(group)
  }
  return carriedOver
}

/** Returns whether the given number of a step's first results contains all that its trainer waits for. */
export function hasWantedGroups ({ submission, results }: FoldedStep, resultCount: number, carriedOver: ReadonlySet<string>): boolean {
  const listed = new Set(results.slice(0, resultCount).map(({ item }) => item))
  const groups = new Set(submission.items.map(({ group }) => group))
  const incomplete = new Set(submission.items.filter(({ id }) => !listed.has(id)).map(({ group }) => group))
  return groups.size - incomplete.size >= submission.wantedGroups && [...incomplete].every((group) => !carriedOver.has(group))
}
