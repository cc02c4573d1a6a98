/**
 * Which engine runs the next item, and when a run leaves its engine for a faster one. Load pattern:
 * waves that fill all slots, on engines of which some are built slower than others, some turn slow,
 * load weights, or are about to leave. Lengths of items differ by a factor of ten and are known roughly;
 * a step is late by its longest item, so the fastest engines are for the longest items, and an item
 * that turns out to be long moves to one.
 */

import type { StepItem } from './step.ts'

/** An engine as the host that runs the steps sees it. */
export interface EngineLoad {
  readonly id: string
  readonly slots: number
  /** Items that run on it. */
  readonly running: number
  /** Version of the item's model. */
  readonly version: number
  /** Whether it keeps new requests of the model out, since it loads weights. */
  readonly loading: boolean
  readonly suspect: boolean
  /** Time for an event of a stream in relation to the other engines: 1 is usual. */
  readonly slowness: number
  /** Whether it has read the prompt of the item's group already. */
  readonly hasPrompt: boolean
}

/** Items that decide when their step is whole, and the others. */
export type ItemLength = 'long' | 'short'

/** What a prompt that is in memory is worth, in slots: reading it takes less than a token's step, so it only breaks ties. */
const PROMPT_WORTH = 0.5
/** An engine this much slower than the others is used last: an item on it would come after all others. */
export const TOO_SLOW = 2
/** What a full engine counts as slower for a long item than an empty one: more runs slow each token by some hundredths, and one that is lost takes all its runs along. */
const LOAD_WEIGHT = 0.2
/** Part of the longest expected length from which on an item counts as long: expectations are off by a factor of two often. */
const LONG_SHARE = 0.3

/** Expected tokens from which on an item of these counts as long. */
export function longFrom (items: readonly Pick<StepItem, 'expectedTokens'>[]): number {
  return items.reduce((most, { expectedTokens }) => Math.max(most, expectedTokens), 0) * LONG_SHARE
}

/** The engine for an item that may use this version and newer ones; `undefined`: none has a free slot. */
export function chooseEngine<Load extends EngineLoad> (engines: readonly Load[], minimumVersion: number, length: ItemLength): Load | undefined {
  const usable = engines.filter((engine) => engine.version >= minimumVersion && !engine.loading && !engine.suspect && engine.running < engine.slots)
  const swift = usable.filter(({ slowness }) => slowness < TOO_SLOW)
  const candidates = swift.length > 0 ? swift : usable
  const cost = length === 'long' ? costOfLong : costOfShort
  return candidates.reduce<Load | undefined>((best, engine) => best === undefined || cost(engine) < cost(best) ? engine : best, undefined)
}

/** Short items are spread evenly. */
function costOfShort (engine: EngineLoad): number {
  return loadWith(engine) * engine.slowness
}

/** Long items go to the fastest engines, among equals to the least loaded. */
function costOfLong (engine: EngineLoad): number {
  return engine.slowness * (1 + LOAD_WEIGHT * loadWith(engine))
}

/** Share of the slots that is taken with one more item. */
function loadWith ({ running, slots, hasPrompt }: EngineLoad): number {
  return (running + 1 - (hasPrompt ? PROMPT_WORTH : 0)) / slots
}

/** Shortest time that a run stays at an engine that is much too slow, in milliseconds: the engine's pace is known by then. */
const STAY_SLOW_MS = 400
/** An engine must be faster by this factor for a run to leave one that is much too slow. */
const LEAVE_SLOW_GAIN = 1.5
/** Time after which a run counts as long whatever was expected, in milliseconds: most items have ended by then, and one that has not will go on for as long on the average. */
const STAY_MS = 1000
/** An engine must be faster by this factor for a long run to move there: going on elsewhere takes some 50 ms for connecting and for reading prompt and text. */
const MOVE_GAIN = 1.2

/** Whether a run that has lasted this long at an engine should go on at a faster one. */
export function shouldMove (here: Pick<EngineLoad, 'slowness'>, better: Pick<EngineLoad, 'slowness'>, lastedMs: number): boolean {
  if (here.slowness >= TOO_SLOW && lastedMs >= STAY_SLOW_MS) return here.slowness >= better.slowness * LEAVE_SLOW_GAIN
  return lastedMs >= STAY_MS && here.slowness >= better.slowness * MOVE_GAIN
}
