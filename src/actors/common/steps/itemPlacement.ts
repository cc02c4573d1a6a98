/** Chooses the engine for an item of a step from the engines' current state, using the pure functions in `engineChoice`. */

import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import { chooseEngine, shouldMove } from '../../../core/common/steps/engineChoice.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import type { RefusableItem } from '../../../core/common/steps/refusalBackoff.ts'
import type { EngineRegistry, EngineCandidate } from './engineRegistry.ts'
import type { ItemWork, StepWork } from './stepWork.ts'

export interface ItemPlacementServices {
  readonly board: EngineRegistry
  /** Model that an engine is assigned to. */
  readonly assignedModel: (engine: string) => string | undefined
  readonly mechanisms: Pick<Mechanisms, 'moves' | 'long_on_fastest' | 'prompt_affinity'>
}

/** Where a waiting item starts. */
export type Placement =
  | { readonly type: 'engine', readonly candidate: EngineCandidate }
  /** No engine has a free slot. */
  | { readonly type: 'full' }
  /** Engines have free slots, but none of them is expected to accept the item. */
  | { readonly type: 'not-accepted' }

/** A run that should continue on a faster engine. */
export interface PlannedMove {
  readonly itemWork: ItemWork
  readonly current: EngineCandidate
  readonly faster: EngineCandidate
}

export class ItemPlacement {
  constructor (private readonly services: ItemPlacementServices) {}

  /** Returns the engine for a waiting item, or why there is none. */
  choose (work: StepWork, route: Route, itemWork: ItemWork): Placement {
    const candidates = this.candidates(work, route, itemWork.item.group)
    const candidate = this.chooseFrom(accepting(candidates, refusableItem(work, itemWork)), work, itemWork)
    if (candidate !== undefined) return { type: 'engine', candidate }
    return { type: this.chooseFrom(candidates, work, itemWork) === undefined ? 'full' : 'not-accepted' }
  }

  /** Returns the engine for a head start, and the total number of slots of all engines that are eligible for it. */
  chooseForHeadStart (work: StepWork, route: Route, { item, backoff }: Pick<ItemWork, 'item' | 'backoff'>, minimumVersion: number): { readonly placement: Placement, readonly slots: number } {
    const eligible = this.eligibleForModel(this.candidates(work, route, item.group), work)
    const candidate = chooseEngine(accepting(eligible, refusableItem(work, { item, backoff })), minimumVersion, 'long')
    const slots = eligible.reduce((sum, { slots }) => sum + slots, 0)
    if (candidate !== undefined) return { placement: { type: 'engine', candidate }, slots }
    return { placement: { type: chooseEngine(eligible, minimumVersion, 'long') === undefined ? 'full' : 'not-accepted' }, slots }
  }

  /** Returns the engines that accept items of this step now, the fastest first. Engines that leave are not among them. */
  freeEngines (work: StepWork, route: Route): EngineCandidate[] {
    return this.candidates(work, route, undefined)
      .filter((engine) => chooseEngine([engine], work.step.submission.minimumVersion, 'long') !== undefined)
      .sort((a, b) => a.slowness - b.slowness)
  }

  /** Returns a run of this step that should move to a faster engine with a free slot, if it should have at the previous check too. No run moves while items wait for a slot. */
  nextMove (work: StepWork, route: Route, nowMs: number): PlannedMove | undefined {
    if (!this.services.mechanisms.moves) return undefined
    const moves = work.waiting.length > 0 ? [] : this.proposedMoves(work, route, nowMs)
    const [confirmed] = work.moveConfirmation.confirm(moves.map(({ itemWork }) => itemWork), nowMs)
    return moves.find(({ itemWork }) => itemWork === confirmed)
  }

  private proposedMoves (work: StepWork, route: Route, nowMs: number): PlannedMove[] {
    const candidates = this.candidates(work, route, undefined)
    const fastest = { slowness: Math.min(...candidates.map(({ slowness }) => slowness)) }
    return [...work.items.values()].flatMap((itemWork) => {
      if (itemWork.state !== 'running') return []
      const elapsedMs = nowMs - itemWork.startedAt
      const current = candidates.find(({ engine }) => engine === itemWork.engine)
      // A reported slowdown may be over before a move pays off, so a run leaves an engine for what was observed of it, but does not move to one that reports a slowdown.
      const observed = current === undefined ? undefined : { slowness: current.observedSlowness }
      if (current === undefined || observed === undefined || !shouldMove(observed, fastest, elapsedMs)) return []
      const faster = this.chooseFrom(accepting(candidates, refusableItem(work, itemWork)), work, itemWork)
      return faster !== undefined && shouldMove(observed, faster, elapsedMs) ? [{ itemWork, current, faster }] : []
    })
  }

  private candidates (work: StepWork, route: Route, group: string | undefined): EngineCandidate[] {
    const services = route.destinations.filter(({ weight }) => weight > 0).map(({ service }) => service)
    return this.services.board.candidates(services, work.step.submission.model, this.services.mechanisms.prompt_affinity ? group : undefined)
  }

  /** Returns the engines that are assigned to the step's model or not assigned yet. */
  private eligibleForModel (candidates: readonly EngineCandidate[], { step: { submission: { model } } }: StepWork): EngineCandidate[] {
    return candidates.filter(({ id }) => (this.services.assignedModel(id) ?? model) === model)
  }

  /** Prefers engines that are assigned to the item's model: the versions on the others are about to become too old for it. */
  private chooseFrom (candidates: readonly EngineCandidate[], work: StepWork, itemWork: ItemWork): EngineCandidate | undefined {
    const { minimumVersion } = work.step.submission
    // An item that has run before is late compared to the others of its step, whatever its length.
    const isLong = itemWork.runs > 0 || itemWork.item.expectedTokens >= work.longItemMinTokens
    const length = isLong && this.services.mechanisms.long_on_fastest ? 'long' : 'short'
    return chooseEngine(this.eligibleForModel(candidates, work), minimumVersion, length) ?? chooseEngine(candidates, minimumVersion, length)
  }
}

/** Describes an item to the engines' records of refusals. */
export function refusableItem ({ step }: Pick<StepWork, 'step'>, { item, backoff }: Pick<ItemWork, 'item' | 'backoff'>): RefusableItem {
  return { step: step.submission.id, tokens: item.tokens, isSuspect: backoff.hasLostPrecedence }
}

function accepting (candidates: readonly EngineCandidate[], item: RefusableItem): EngineCandidate[] {
  return candidates.filter((candidate) => candidate.accepts(item))
}
