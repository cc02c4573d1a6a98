/**
 * Plans the orders of rented targets for one service.
 *
 * The numbers must meet the demand when all spot targets of any one failure domain are reclaimed at once, regular targets
 * alone must carry half of it, and each model needs two targets. Orders are absolute numbers, so an order that is repeated or
 * executed late does no lasting harm. Only registered targets count, apart from orders that may still take effect.
 */

import type { FleetBounds } from '../routes/routeConfiguration.ts'
import type { Rental } from '../routes/target.ts'
import type { CheapestFleet, FleetCounts, FleetRequirement, PlaceLimits } from './cheapestFleet.ts'
import { cheapestFleet } from './cheapestFleet.ts'
import { SURPLUS_MS } from './fleetDemand.ts'

/** Time beyond the boot time within which an order takes effect: the platform may execute it seconds later, and the registration reaches this host later still. */
export const ORDER_EFFECT_MARGIN_MS = 3000
/** Interval between two reductions in one failure domain. */
const REDUCTION_INTERVAL_MS = 10_000
const TARGETS_PER_MODEL = 2
/** Share of the demand that regular targets alone must carry. */
const REGULAR_SHARE = 0.5

/** An order that the platform accepted or did not answer, and that may still take effect. */
export interface OutstandingOrder {
  readonly place: string
  readonly rental: Rental
  readonly count: number
  /** Number of registered targets when the order was first sent. */
  readonly countBefore: number
  readonly sentAtMs: number
  /** Whether the platform answered. */
  readonly confirmed: boolean
}

/** A kind of target that was not available in a failure domain. */
export interface UnavailableTargets {
  readonly place: string
  readonly rental: Rental
  readonly untilMs: number
}

export interface FleetInput {
  readonly nowMs: number
  readonly bounds: FleetBounds
  readonly slotsPerTarget: number
  /** Number of models that the targets of the service serve. */
  readonly models: number
  /** Slots that open steps need; `undefined` if not known yet. */
  readonly demand: number | undefined
  /** Largest demand of the last 60 s; `undefined` if it is not known for so long, which prevents reductions. */
  readonly largestDemand: number | undefined
  /** Registered targets that do not drain, by failure domain. */
  readonly present: ReadonlyMap<string, FleetCounts>
  readonly outstanding: readonly OutstandingOrder[]
  readonly unavailable: readonly UnavailableTargets[]
  /** Time at which the number of registered targets last grew anywhere. What suffices for the largest demand since then has been a surplus since then. */
  readonly grownAtMs: number
  /** Time of the last reduction in each failure domain. */
  readonly reducedAtMs: ReadonlyMap<string, number>
  /** Time before which no targets are given up. */
  readonly reductionsFromMs: number
}

/** Why an order is sent: `again` repeats one that was not answered or did not take effect. */
export type OrderReason = 'need' | 'again' | 'surplus'

export interface FleetOrder {
  readonly place: string
  readonly rental: Rental
  readonly count: number
  /** Number of registered targets. */
  readonly former: number
  readonly why: OrderReason
}

export interface FleetPlan {
  readonly orders: readonly FleetOrder[]
  /** Number of targets that the demand requires. */
  readonly needed: number
  /** Number of registered targets. */
  readonly present: number
  /** Whether the need cannot be met at present. */
  readonly isShort: boolean
}

const NO_TARGETS: FleetCounts = { regular: 0, spot: 0 }
const rentals: readonly Rental[] = ['regular', 'spot']

export function planFleet (input: FleetInput): FleetPlan {
  const { present, outstanding } = input
  const effective = outstanding.filter((order) => mayTakeEffect(order, input))
  const expected = expectedCounts(present, effective)
  const target = cheapestFleet(growthLimits(input, expected), requirementFor(input, input.demand ?? 0))
  const increases = [...repeatedOrders(input, effective), ...increasesTo(target, expected, input)]
  const isShort = target.missing > 0
  const reductions = increases.length > 0 || isShort ? [] : plannedReductions(input, effective, expected)
  return {
    orders: [...increases, ...reductions],
    needed: target.needed,
    present: [...present.values()].reduce((sum, { regular, spot }) => sum + regular + spot, 0),
    isShort
  }
}

function requirementFor ({ slotsPerTarget, models }: FleetInput, demand: number): FleetRequirement {
  return { surviving: Math.ceil(demand / slotsPerTarget), regular: Math.ceil(demand * REGULAR_SHARE / slotsPerTarget), total: TARGETS_PER_MODEL * models }
}

/**
 * Whether the registered targets show that no further effect of an order is to be expected: it took effect, or targets went away
 * after an order for more, whose number no longer stands for targets that are about to come.
 */
export function isSettled ({ place, rental, count, countBefore }: OutstandingOrder, present: ReadonlyMap<string, FleetCounts>): boolean {
  const registered = (present.get(place) ?? NO_TARGETS)[rental]
  return count > countBefore ? registered < countBefore || registered >= count : registered <= count
}

function mayTakeEffect (order: OutstandingOrder, { nowMs, bounds, present }: FleetInput): boolean {
  return nowMs - order.sentAtMs < bounds.bootMs + ORDER_EFFECT_MARGIN_MS && !isSettled(order, present)
}

/** Returns the numbers of targets once these orders have taken effect. */
function expectedCounts (present: ReadonlyMap<string, FleetCounts>, orders: readonly OutstandingOrder[]): Map<string, FleetCounts> {
  const counts = new Map(present)
  for (const { place, rental, count } of orders) counts.set(place, { ...(counts.get(place) ?? NO_TARGETS), [rental]: count })
  return counts
}

/** Returns the limits within which targets may be added: none is given up, and none is ordered where none is available. */
function growthLimits ({ nowMs, bounds, unavailable }: FleetInput, expected: ReadonlyMap<string, FleetCounts>): PlaceLimits[] {
  return placesOf(bounds, expected).map((place) => {
    const lower = expected.get(place) ?? NO_TARGETS
    const isExcluded = (rental: Rental): boolean => !bounds.prices.has(place) || unavailable.some((pair) => pair.place === place && pair.rental === rental && nowMs < pair.untilMs)
    const upperOf = (rental: Rental): number => isExcluded(rental) ? lower[rental] : Number.POSITIVE_INFINITY
    return { ...pricesAt(place, bounds), lower, upper: { regular: upperOf('regular'), spot: upperOf('spot') }, maximum: Math.max(bounds.maximum, lower.regular + lower.spot) }
  })
}

/** Returns the limits within which targets may be given up. In failure domains without a price, all remain. */
function reductionLimits ({ bounds }: FleetInput, counts: ReadonlyMap<string, FleetCounts>): PlaceLimits[] {
  return placesOf(bounds, counts).map((place) => {
    const upper = counts.get(place) ?? NO_TARGETS
    const isFixed = !bounds.prices.has(place)
    return { ...pricesAt(place, bounds), lower: isFixed ? upper : NO_TARGETS, upper, maximum: isFixed ? upper.regular + upper.spot : bounds.maximum }
  })
}

function placesOf ({ prices }: FleetBounds, counts: ReadonlyMap<string, FleetCounts>): string[] {
  return [...new Set([...prices.keys(), ...counts.keys()])].sort((a, b) => a < b ? -1 : 1)
}

function pricesAt (place: string, { prices, spotPrice, minimum }: FleetBounds): Pick<PlaceLimits, 'place' | 'regularPrice' | 'spotPrice' | 'minimum'> {
  const regularPrice = prices.get(place)
  return { place, regularPrice: regularPrice ?? 0, spotPrice: (regularPrice ?? 0) * spotPrice, minimum: regularPrice === undefined ? 0 : minimum }
}

function increasesTo ({ counts }: CheapestFleet, expected: ReadonlyMap<string, FleetCounts>, { present, outstanding }: FleetInput): FleetOrder[] {
  return [...counts].flatMap(([place, planned]) => rentals.flatMap((rental): FleetOrder[] => {
    const count = planned[rental]
    if (count <= (expected.get(place) ?? NO_TARGETS)[rental]) return []
    const former = (present.get(place) ?? NO_TARGETS)[rental]
    const isRepeated = outstanding.some((order) => order.place === place && order.rental === rental && order.count > former)
    return [{ place, rental, count, former, why: isRepeated ? 'again' : 'need' }]
  }))
}

/** Returns the orders for more targets that the platform did not answer, if what is registered and confirmed does not suffice without them. */
function repeatedOrders (input: FleetInput, effective: readonly OutstandingOrder[]): FleetOrder[] {
  const unanswered = effective.filter(({ confirmed, count, countBefore }) => !confirmed && count > countBefore)
  if (unanswered.length === 0) return []
  const expected = expectedCounts(input.present, effective.filter((order) => !unanswered.includes(order)))
  const withoutThem = cheapestFleet(growthLimits(input, expected), requirementFor(input, input.demand ?? 0))
  if (increasesTo(withoutThem, expected, input).length === 0) return []
  return unanswered.map(({ place, rental, count }) => ({ place, rental, count, former: (input.present.get(place) ?? NO_TARGETS)[rental], why: 'again' }))
}

/** Gives up one target in each failure domain that has more than suffice for the largest recent demand. */
function plannedReductions (input: FleetInput, effective: readonly OutstandingOrder[], expected: ReadonlyMap<string, FleetCounts>): FleetOrder[] {
  const { nowMs, largestDemand, demand, present, grownAtMs, reducedAtMs, reductionsFromMs } = input
  if (largestDemand === undefined || nowMs < reductionsFromMs || nowMs - grownAtMs < SURPLUS_MS || effective.some(({ confirmed }) => !confirmed)) return []
  const counts = new Map([...expected].map(([place, { regular, spot }]) => {
    const registered = present.get(place) ?? NO_TARGETS
    return [place, { regular: Math.min(regular, registered.regular), spot: Math.min(spot, registered.spot) }]
  }))
  const sufficient = cheapestFleet(reductionLimits(input, counts), requirementFor(input, Math.max(largestDemand, demand ?? 0)))
  if (sufficient.missing > 0) return []
  return [...sufficient.counts].flatMap(([place, planned]): FleetOrder[] => {
    const { regular, spot } = counts.get(place) ?? NO_TARGETS
    const hasSurplus = regular > planned.regular || spot > planned.spot
    const isPaused = nowMs - (reducedAtMs.get(place) ?? Number.NEGATIVE_INFINITY) < REDUCTION_INTERVAL_MS
    if (!hasSurplus || isPaused || effective.some((order) => order.place === place)) return []
    const rental = regular > planned.regular ? 'regular' : 'spot'
    const former = rental === 'regular' ? regular : spot
    return [{ place, rental, count: former - 1, former, why: 'surplus' }]
  })
}
