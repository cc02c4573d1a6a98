/** What the holder of the steps' duty keeps of a step and of each of its items. */

import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import type { ItemPayload, StepItem } from '../../../core/common/steps/step.ts'
import { PhaseTimer } from '../../../core/common/steps/itemPhases.ts'
import type { ItemRank, PlannedItem } from '../../../core/common/steps/stepPlan.ts'
import type { Engine } from './engineBoard.ts'
import type { ItemText } from './itemText.ts'

export type ItemState = 'waiting' | 'running' | 'scoring' | 'listing'

export interface ItemWork {
  readonly item: StepItem
  readonly rank: ItemRank
  readonly text: ItemText
  readonly cancel: AbortController
  /** Ends the run that is under way and nothing else. */
  stopRun: AbortController | undefined
  engine: Engine | undefined
  startedAt: number
  /** Events that its text had at the start of its newest run. */
  beganWith: number
  state: ItemState
  /** Answers of engines that said that they failed. */
  failures: number
  runs: number
  readonly phases: PhaseTimer
}

export interface StepWork {
  readonly step: FoldedStep
  readonly items: Map<string, ItemWork>
  /** What the items' runs need; absent until it was read, and nothing starts before. */
  payloads: ReadonlyMap<string, ItemPayload> | undefined
  /** Expected tokens from which on an item of this step counts as long. */
  readonly longFrom: number
  /** Groups that an earlier step left over. */
  readonly carried: ReadonlySet<string>
  /** Events of items whose texts are whole. */
  readonly finished: Map<string, number>
  /** Items that wait, in the order in which they are started. */
  readonly waiting: ItemWork[]
}

/** An item that this host takes up at this monotonic time, in milliseconds. */
export function newWork ({ item, rank }: PlannedItem, text: ItemText, nowMs: number): ItemWork {
  return { item, rank, text, cancel: new AbortController(), stopRun: undefined, engine: undefined, startedAt: 0, beganWith: 0, state: 'waiting', failures: 0, runs: 0, phases: new PhaseTimer(nowMs) }
}

/** Takes a value out of a list, if it is there. */
export function removeFrom<T> (list: T[], value: T): void {
  const index = list.indexOf(value)
  if (index >= 0) list.splice(index, 1)
}
