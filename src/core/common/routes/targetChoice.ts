/**
 * Selects the target for a request. Load pattern: a few requests per second to services with a few
 * targets, some of which are slow, unreachable or shutting down, from hosts that do not share what
 * they send. Each host ranks targets by the expected time to an answer (`targetEstimate`).
 *
 * If targets report their slowdowns, many hosts see the same report at the same time. The choice is then
 * random where hosts cannot infer each other's sends.
 */

import type { TargetLoad } from './targetEstimate.ts'
import { expectedAnswerMs } from './targetEstimate.ts'

export type { TargetLoad } from './targetEstimate.ts'

/** Numbers that determine how much the choices of hosts have to differ. */
export interface ServiceScale {
  /** Number of targets of the service. */
  readonly targets: number
  /** Number of slots of all targets of the service. */
  readonly slots: number
  /** Number of hosts that send requests. */
  readonly liveHosts: number
}

/** Up to this number of targets all are compared: two random ones often include the slowest. */
const MAX_COMPARED_TARGETS = 3

/** Returns the target for a request to a service of the given scale; `random` is a number in the range [0, 1). */
export function chooseTarget<Load extends TargetLoad> (loads: readonly Load[], place: string | undefined, random: number, scale?: ServiceScale): Load | undefined {
  if (scale === undefined || !loads.some(({ reportsSlowdown }) => reportsSlowdown)) return fastestTarget(loads, place, random)
  if (scale.targets <= MAX_COMPARED_TARGETS) return weightedTarget(loads, place, random)
  return scale.slots < scale.liveHosts ? betterOfTwo(loads, place, random) : fastestTarget(loads, place, random)
}

/** Returns the target with the lowest expected time to an answer. Ties are broken by `random`. */
export function fastestTarget<Load extends TargetLoad> (loads: readonly Load[], place: string | undefined, random: number): Load | undefined {
  let best: Load[] = []
  let bestMs = Number.POSITIVE_INFINITY
  for (const load of loads) {
    const expected = Math.round(expectedAnswerMs(load, place))
    if (expected < bestMs) {
      best = [load]
      bestMs = expected
    } else if (expected === bestMs) {
      best.push(load)
    }
  }
  return best[Math.floor(random * best.length)]
}

/** Returns a random target with a probability inversely proportional to the square of its expected time. */
export function weightedTarget<Load extends TargetLoad> (loads: readonly Load[], place: string | undefined, random: number): Load | undefined {
  const weights = loads.map((load) => 1 / Math.max(1, expectedAnswerMs(load, place)) ** 2)
  let left = random * weights.reduce((sum, weight) => sum + weight, 0)
  for (const [index, load] of loads.entries()) {
    left -= weights[index] ?? 0
    if (left < 0) return load
  }
  return loads.at(-1)
}

/** Returns the better of two different random targets. */
export function betterOfTwo<Load extends TargetLoad> (loads: readonly Load[], place: string | undefined, random: number): Load | undefined {
  if (loads.length < 2) return loads[0]
  const pair = Math.floor(random * loads.length * (loads.length - 1))
  const first = Math.floor(pair / (loads.length - 1))
  const second = (first + 1 + pair % (loads.length - 1)) % loads.length
  const drawn = [loads[first], loads[second]].filter((load) => load !== undefined)
  return fastestTarget(drawn, place, 0)
}
