/** What a fold that was read anew holds otherwise than the one before: a reader that has a position would miss results or get them twice. */

import type { FoldedStep } from './stepFold.ts'

export interface MovedResult {
  readonly step: string
  readonly item: string
  readonly former: number
  /** Absent where the result is gone though its step stands. */
  readonly present: number | undefined
}

/** Results of steps that both folds hold, whose positions differ. */
export function movedResults (before: Iterable<FoldedStep>, present: (step: string) => FoldedStep | undefined): MovedResult[] {
  const moved: MovedResult[] = []
  for (const { submission: { id }, positions } of before) {
    const now = present(id)
    if (now === undefined) continue
    for (const [item, former] of positions) {
      const position = now.positions.get(item)
      if (position !== former) moved.push({ step: id, item, former, present: position })
    }
  }
  return moved
}
