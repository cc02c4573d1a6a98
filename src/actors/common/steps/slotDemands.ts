/** Computes how many slots of each service the open steps need to be finished in time. */

import type { OpenWork } from '../../../core/common/fleet/fleetDemand.ts'
import { slotsNeeded } from '../../../core/common/fleet/fleetDemand.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import type { ItemLengthEstimator } from '../../../core/common/steps/itemLengthEstimator.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StepWork } from './stepWork.ts'

export interface SlotDemandsServices {
  readonly clock: Clock
  readonly lengths: Pick<ItemLengthEstimator, 'remainingMs' | 'knowsDurations'>
  readonly routeOf: (step: FoldedStep) => Route | undefined
}

/**
 * Returns the slots by service; `undefined` for services of open steps while no item has been completed that shows how long
 * items take. A guess would be wrong by a factor of ten, and targets ordered by it would be paid for at least a minute.
 */
export function slotDemands (works: Iterable<StepWork>, { clock, lengths, routeOf }: SlotDemandsServices): Map<string, number | undefined> {
  const demands = new Map<string, number | undefined>()
  for (const work of works) {
    const route = routeOf(work.step)
    if (route === undefined) continue
    const destinations = route.destinations.filter(({ weight }) => weight > 0)
    const totalWeight = destinations.reduce((sum, { weight }) => sum + weight, 0)
    const slots = lengths.knowsDurations ? slotsNeeded(openWork(work, route, clock.wall(), lengths)) : undefined
    for (const { service, weight } of destinations) {
      const former = demands.has(service) ? demands.get(service) : 0
      demands.set(service, slots === undefined || former === undefined ? undefined : former + slots * weight / totalWeight)
    }
  }
  return demands
}

function openWork ({ step, items }: StepWork, route: Route, nowMs: number, lengths: SlotDemandsServices['lengths']): OpenWork {
  const unfinished = [...items.values()].filter(({ state }) => state === 'waiting' || state === 'running')
  return {
    remainingMs: unfinished.map(({ item, text }) => lengths.remainingMs({ expectedTokens: item.expectedTokens, events: text.events.length })),
    timeLeftMs: step.submittedAt + route.dueMs - nowMs
  }
}
