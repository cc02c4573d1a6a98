/**
 * Chooses the engine for the next item, and decides when a run moves to a faster engine.
 *
 * Items arrive in waves that fill all slots, on engines some of which are built slower than others, slow down
 * temporarily, load weights or are about to shut down. Item lengths differ by a factor of ten and are only
 * estimated. A step is delayed by its longest item, so the longest items go to the fastest engines, and an item
 * that turns out to be long moves to one of them.
 */

import type { StepItem } from './step.ts'

/** State of an engine as seen by the host that runs the steps. */
export interface EngineLoad {
  readonly id: string
  readonly slots: number
  /** Number of items running on the engine. */
  readonly running: number
  /** Version of the weights of the item's model. */
  readonly version: number
  /** Whether the engine rejects new requests for the model because it is loading weights. */
  readonly loading: boolean
  readonly suspect: boolean
  /** Expected time per stream event relative to the other engines; 1 is typical. */
  readonly slowness: number
  /** Whether the engine has already processed the prompt of the item's group. */
  readonly hasPrompt: boolean
}

/** Length class of an item: the long items determine when their step is complete. */
export type ItemLengthClass = 'long' | 'short'

/** Value of a cached prompt in slots. Processing a prompt takes less time than generating one token, so it only breaks ties. */
const CACHED_PROMPT_BONUS_SLOTS = 0.5
/** Slowness from which on an engine is used only as a last resort: an item on it would finish after all others. */
export const SLOW_ENGINE_THRESHOLD = 2
/**
 * Penalty for a fully loaded engine when placing a long item: additional runs slow each token by a few hundredths,
 * and a lost engine takes all its runs with it.
 */
const LONG_ITEM_LOAD_WEIGHT = 0.2
/** Fraction of the longest expected length from which on an item is long; estimates are often off by a factor of two. */
const LONG_ITEM_FRACTION = 0.3

/** Returns the number of expected tokens from which on one of these items is long. */
export function longItemThreshold (items: readonly Pick<StepItem, 'expectedTokens'>[]): number {
  return items.reduce((longest, { expectedTokens }) => Math.max(longest, expectedTokens), 0) * LONG_ITEM_FRACTION
}

/** Returns the engine for an item that requires at least the given version, or `undefined` if no engine has a free slot. */
export function chooseEngine<Load extends EngineLoad> (engines: readonly Load[], minimumVersion: number, length: ItemLengthClass): Load | undefined {
  const usable = engines.filter((engine) => engine.version >= minimumVersion && !engine.loading && !engine.suspect && engine.running < engine.slots)
  const fastEnough = usable.filter(({ slowness }) => slowness < SLOW_ENGINE_THRESHOLD)
  const candidates = fastEnough.length > 0 ? fastEnough : usable
  const cost = length === 'long' ? longItemCost : shortItemCost
  return candidates.reduce<Load | undefined>((best, engine) => best === undefined || cost(engine) < cost(best) ? engine : best, undefined)
}

/** Spreads short items evenly. */
function shortItemCost (engine: EngineLoad): number {
  return loadAfterPlacement(engine) * engine.slowness
}

/** Prefers the fastest engines for long items and, among equally fast ones, the least loaded. */
function longItemCost (engine: EngineLoad): number {
  return engine.slowness * (1 + LONG_ITEM_LOAD_WEIGHT * loadAfterPlacement(engine))
}

/** Returns the fraction of slots in use after placing one more item. */
function loadAfterPlacement ({ running, slots, hasPrompt }: EngineLoad): number {
  return (running + 1 - (hasPrompt ? CACHED_PROMPT_BONUS_SLOTS : 0)) / slots
}

/** Minimum time a run stays on an engine above the slowness threshold; by then the engine's speed is known. */
export const MIN_RUN_ON_SLOW_ENGINE_MS = 400
/** Factor by which another engine must be faster for a run to leave an engine above the slowness threshold. */
const MIN_GAIN_FROM_SLOW_ENGINE = 1.5
/**
 * Time after which a run is treated as long regardless of its estimate: most items have finished by then, and the
 * remaining ones run for as long again on average.
 */
const MIN_RUN_BEFORE_MOVE_MS = 1000
/**
 * Factor by which another engine must be faster for a long run to move: resuming elsewhere costs about 50 ms for
 * connecting and for processing the prompt and the text so far.
 */
const MIN_MOVE_GAIN = 1.2

/** Returns whether a run should move to the candidate engine after the given time on its current one. */
export function shouldMove (current: Pick<EngineLoad, 'slowness'>, candidate: Pick<EngineLoad, 'slowness'>, elapsedMs: number): boolean {
  if (current.slowness >= SLOW_ENGINE_THRESHOLD && elapsedMs >= MIN_RUN_ON_SLOW_ENGINE_MS) return current.slowness >= candidate.slowness * MIN_GAIN_FROM_SLOW_ENGINE
  return elapsedMs >= MIN_RUN_BEFORE_MOVE_MS && current.slowness >= candidate.slowness * MIN_MOVE_GAIN
}

/** Longest time between two checks of which the second confirms the first, in milliseconds. A longer one contains a pause of this host. */
const MAX_CONFIRMATION_TIME_MS = 100

/**
 * Confirms moves by a second check. After a pause, this host reads the events that arrived meanwhile stream by stream,
 * and a check in between compares engines of which one was read and another was not.
 */
export class MoveConfirmation<Run> {
  private proposed: ReadonlySet<Run> = new Set()
  private proposedAtMs = Number.NEGATIVE_INFINITY

  /** Returns the runs that should move at this check and should have moved at the previous one. */
  confirm (runs: readonly Run[], nowMs: number): Run[] {
    const isConfirming = nowMs - this.proposedAtMs <= MAX_CONFIRMATION_TIME_MS
    const confirmed = isConfirming ? runs.filter((run) => this.proposed.has(run)) : []
    this.proposed = new Set(runs)
    this.proposedAtMs = nowMs
    return confirmed
  }
}
