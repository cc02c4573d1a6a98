/** Sorts the waiting items of all steps into the order in which they start, using the pure comparison in `startOrder`. */

import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { ItemLengthEstimator } from '../../../core/common/steps/itemLengthEstimator.ts'
import { compareStartOrder } from '../../../core/common/steps/startOrder.ts'
import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import type { ItemWork, StepWork } from './stepWork.ts'

export interface QueuedItem {
  readonly work: StepWork
  readonly route: Route
  readonly itemWork: ItemWork
}

/** Returns the waiting items of all steps whose payloads have been read, sorted by latest start if `byLatestStart` is set, else step by step. */
export function inStartOrder (works: readonly StepWork[], routeOf: (step: FoldedStep) => Route | undefined, lengths: ItemLengthEstimator, byLatestStart: boolean): QueuedItem[] {
  const items = works.flatMap((work) => {
    const route = routeOf(work.step)
    if (route === undefined || work.payloads === undefined) return []
    const dueAtMs = work.step.submittedAt + route.dueMs
    return work.waiting.map((itemWork) => {
      const { item, rank, runs, text, backoff } = itemWork
      const remainingMs = lengths.remainingMs({ expectedTokens: item.expectedTokens, events: text.events.length })
      return { work, route, itemWork, rank, ranBefore: runs > 0 && !backoff.hasLostPrecedence, remainingMs, dueAtMs }
    })
  })
  return byLatestStart ? items.sort(compareStartOrder) : items
}
