/** At which engine an item of a step runs, as of now: puts what this host knows of its engines before the pure choice. */

import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import { chooseEngine, shouldMove } from '../../../core/common/steps/engineChoice.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import type { EngineBoard, EngineCandidate } from './engineBoard.ts'
import type { ItemWork, StepWork } from './stepWork.ts'

export interface ItemPlacementServices {
  readonly board: EngineBoard
  /** Model that an engine follows. */
  readonly follows: (engine: string) => string | undefined
  readonly mechanisms: Pick<Mechanisms, 'moves' | 'long_on_fastest' | 'prompt_affinity'>
}

/** A run that should go on at another engine. */
export interface PlannedMove {
  readonly itemWork: ItemWork
  readonly here: EngineCandidate
  readonly better: EngineCandidate
}

export class ItemPlacement {
  constructor (private readonly services: ItemPlacementServices) {}

  /** The engine for an item that waits; `undefined` where none has a free slot. */
  choose (work: StepWork, route: Route, itemWork: ItemWork): EngineCandidate | undefined {
    return this.best(this.candidates(work, route, itemWork.item.group), work, itemWork)
  }

  /** The engine for an item that is run for a step to come, and the slots of all engines that might run it. */
  chooseAhead (work: StepWork, route: Route, group: string, minimumVersion: number): { readonly candidate: EngineCandidate | undefined, readonly slots: number } {
    const candidates = this.candidates(work, route, group)
    const following = this.following(candidates, work)
    return { candidate: chooseEngine(following, minimumVersion, 'long'), slots: following.reduce((sum, { slots }) => sum + slots, 0) }
  }

  /** A run of this step that a faster engine with a free slot should take over. */
  nextMove (work: StepWork, route: Route, nowMs: number): PlannedMove | undefined {
    if (!this.services.mechanisms.moves) return undefined
    const candidates = this.candidates(work, route, undefined)
    const fastest = { slowness: Math.min(...candidates.map(({ slowness }) => slowness)) }
    for (const itemWork of work.items.values()) {
      if (itemWork.state !== 'running') continue
      const lastedMs = nowMs - itemWork.startedAt
      const here = candidates.find(({ engine }) => engine === itemWork.engine)
      if (here === undefined || !shouldMove(here, fastest, lastedMs)) continue
      const better = this.best(candidates, work, itemWork)
      if (better !== undefined && shouldMove(here, better, lastedMs)) return { itemWork, here, better }
    }
    return undefined
  }

  private candidates (work: StepWork, route: Route, group: string | undefined): EngineCandidate[] {
    const services = route.destinations.filter(({ weight }) => weight > 0).map(({ service }) => service)
    return this.services.board.candidates(services, work.step.submission.model, this.services.mechanisms.prompt_affinity ? group : undefined)
  }

  /** Those that follow the step's model, or none yet. */
  private following (candidates: readonly EngineCandidate[], { step: { submission: { model } } }: StepWork): EngineCandidate[] {
    return candidates.filter(({ id }) => (this.services.follows(id) ?? model) === model)
  }

  /** Engines that follow the item's model go first: the others are about to be too old for it. */
  private best (candidates: readonly EngineCandidate[], work: StepWork, itemWork: ItemWork): EngineCandidate | undefined {
    const { minimumVersion } = work.step.submission
    // An item that has run before is behind the others of its step, however long it is.
    const isLong = itemWork.runs > 0 || itemWork.item.expectedTokens >= work.longFrom
    const length = isLong && this.services.mechanisms.long_on_fastest ? 'long' : 'short'
    return chooseEngine(this.following(candidates, work), minimumVersion, length) ?? chooseEngine(candidates, minimumVersion, length)
  }
}
