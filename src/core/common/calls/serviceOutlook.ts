/** Derives what a call queue may expect of a service from the load of its targets, before a drain rate has been measured. */

import type { TargetLoad } from '../routes/targetEstimate.ts'
import { INITIAL_ANSWER_MS, requestsAhead } from '../routes/targetEstimate.ts'
import type { ServiceOutlook } from './callQueue.ts'

/**
 * Returns the mean answer time of the targets, and by Little's law the rate at which this host's calls in flight there are
 * answered, each answer being followed by a start. A host without calls in flight expects the rate of a single one.
 */
export function serviceOutlook (loads: readonly TargetLoad[]): ServiceOutlook {
  const sound = loads.filter(({ suspect }) => !suspect)
  const counted = sound.length > 0 ? sound : loads
  const answerMs = counted.reduce((sum, load) => sum + (load.answerMs ?? INITIAL_ANSWER_MS), 0) / Math.max(1, counted.length) || INITIAL_ANSWER_MS
  const inFlight = loads.reduce((sum, load) => sum + load.inFlight, 0)
  return { answerMs, startsPerSecond: Math.max(1, inFlight) * 1000 / answerMs, inFlight, hasIdleSlot: counted.some((load) => requestsAhead(load) < load.definition.slots) }
}
