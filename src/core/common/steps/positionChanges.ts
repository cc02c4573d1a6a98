/**
 * Detects results whose positions differ after a fold was reloaded. A reader that resumes from a position would
 * miss such results or get them twice.
 */

import type { FoldedStep } from './stepFold.ts'

/** A result whose position differs between two folds of the same topic. */
export interface PositionChange {
  readonly step: string
  readonly item: string
  readonly former: number
  /** `undefined` if the result is gone although its step still exists. */
  readonly present: number | undefined
}

/** Returns the results with different positions, for steps that exist in both folds. */
export function changedPositions (before: Iterable<FoldedStep>, present: (step: string) => FoldedStep | undefined): PositionChange[] {
  const changes: PositionChange[] = []
  for (const { submission: { id }, positions } of before) {
    const current = present(id)
    if (current === undefined) continue
    for (const [item, former] of positions) {
      const position = current.positions.get(item)
      if (position !== former) changes.push({ step: id, item, former, present: position })
    }
  }
  return changes
}
