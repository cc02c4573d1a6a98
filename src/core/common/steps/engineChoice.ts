/**
 * Which engine runs the next item. Load pattern: waves that fill all slots, on engines of which some
 * are slow, load weights, or are about to leave.
 */

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

/** What a prompt that is in memory is worth, in slots: reading it takes less than a token's step, so it only breaks ties. */
const PROMPT_WORTH = 0.5
/** An engine this much slower than the others is used last: an item on it would come after all others. */
export const TOO_SLOW = 2

/** The engine for an item that may use this version and newer ones; `undefined`: none has a free slot. */
export function chooseEngine<Load extends EngineLoad> (engines: readonly Load[], minimumVersion: number): Load | undefined {
  const usable = engines.filter((engine) => engine.version >= minimumVersion && !engine.loading && !engine.suspect && engine.running < engine.slots)
  const swift = usable.filter(({ slowness }) => slowness < TOO_SLOW)
  const candidates = swift.length > 0 ? swift : usable
  return candidates.reduce<Load | undefined>((best, engine) => best === undefined || cost(engine) < cost(best) ? engine : best, undefined)
}

function cost ({ running, slots, slowness, hasPrompt }: EngineLoad): number {
  return ((running + 1 - (hasPrompt ? PROMPT_WORTH : 0)) / slots) * slowness
}
