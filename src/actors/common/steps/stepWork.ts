/** State of a step and of its items on the host that holds the steps' duty. */

import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import type { MoveConfirmation } from '../../../core/common/steps/engineChoice.ts'
import { ItemBackoff } from '../../../core/common/steps/itemBackoff.ts'
import type { ItemPayload, StepItem } from '../../../core/common/steps/step.ts'
import { PhaseTimer } from '../../../core/common/steps/itemPhases.ts'
import type { ItemRank, PlannedItem } from '../../../core/common/steps/stepPlan.ts'
import type { Engine } from './engineRegistry.ts'
import type { ItemText } from './itemText.ts'

export type ItemState = 'waiting' | 'running' | 'scoring' | 'listing'

export interface ItemWork {
  readonly item: StepItem
  readonly rank: ItemRank
  readonly text: ItemText
  readonly cancel: AbortController
  /** Cancels the current run but not the item. */
  runCancellation: AbortController | undefined
  engine: Engine | undefined
  startedAt: number
  /** Number of events in the text when the current run started. */
  eventsAtStart: number
  state: ItemState
  /** Number of runs for which the engine reported a failure. */
  failures: number
  runs: number
  readonly backoff: ItemBackoff
  readonly phases: PhaseTimer
}

export interface StepWork {
  readonly step: FoldedStep
  readonly items: Map<string, ItemWork>
  /** Payloads of the items; `undefined` until they have been read, and no item starts before. */
  payloads: ReadonlyMap<string, ItemPayload> | undefined
  /** Number of expected tokens from which an item of this step counts as long. */
  readonly longItemMinTokens: number
  /** Groups carried over from an earlier step. */
  readonly carriedGroups: ReadonlySet<string>
  /** Event counts of items with complete texts. */
  readonly finished: Map<string, number>
  /** Waiting items in the order in which they start. */
  readonly waiting: ItemWork[]
  readonly moveConfirmation: MoveConfirmation<ItemWork>
}

/** Creates the state of an item that this host starts to handle at monotonic time `nowMs`. */
export function newItemWork ({ item, rank }: PlannedItem, text: ItemText, nowMs: number): ItemWork {
  return { item, rank, text, cancel: new AbortController(), runCancellation: undefined, engine: undefined, startedAt: 0, eventsAtStart: 0, state: 'waiting', failures: 0, runs: 0, backoff: new ItemBackoff(), phases: new PhaseTimer(nowMs) }
}

export function removeFrom<T> (list: T[], value: T): void {
  const index = list.indexOf(value)
  if (index >= 0) list.splice(index, 1)
}
