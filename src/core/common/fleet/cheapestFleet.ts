/**
 * Finds the cheapest numbers of rented targets that meet a requirement, by dynamic programming over the failure domains.
 * If no numbers meet it, finds those that come closest, and among them the cheapest.
 */

/** Numbers of targets in one failure domain. */
export interface FleetCounts {
  readonly regular: number
  readonly spot: number
}

/** Limits on the numbers of targets in one failure domain, and the prices there. */
export interface PlaceLimits {
  readonly place: string
  readonly regularPrice: number
  readonly spotPrice: number
  readonly lower: FleetCounts
  readonly upper: FleetCounts
  /** Least and largest number of both kinds together. */
  readonly minimum: number
  readonly maximum: number
}

export interface FleetRequirement {
  /** Number of targets that must remain when all spot targets of any one failure domain are gone. */
  readonly surviving: number
  /** Least number of regular targets. */
  readonly regular: number
  /** Least number of targets in total. */
  readonly total: number
}

export interface CheapestFleet {
  readonly counts: ReadonlyMap<string, FleetCounts>
  /** Number of targets by which the requirement is missed; 0 if it is met. */
  readonly missing: number
  /** Number of targets that the requirement asks for, given the largest number of spot targets in one failure domain. */
  readonly needed: number
}

/** Prices are compared as multiples of this fraction of the largest price, so that costs are exact integers. */
const PRICE_RESOLUTION = 1e-5
/** Exceeds the spread figure of any fleet, so that spread only decides between fleets of equal price. */
const PRICE_WEIGHT = 1e4
/** Exceeds the cost of any fleet: a requirement that can be met is met at any price. */
const MISSING_TARGET_COST = 1e12

const NO_TARGETS: FleetCounts = { regular: 0, spot: 0 }

/** Returns the cheapest fleet. Of several fleets of equal price, the one that is spread most evenly over the failure domains is returned. */
export function cheapestFleet (places: readonly PlaceLimits[], requirement: FleetRequirement): CheapestFleet {
  const { surviving, total } = requirement
  const leastSpot = Math.max(0, ...places.map(({ lower }) => lower.spot))
  const neededWith = (spotLimit: number): number => Math.max(total, surviving === 0 ? 0 : surviving + spotLimit)
  const unchanged = places.map(({ lower }) => lower)
  if (isMet(places, unchanged, requirement)) return toFleet(places, { counts: unchanged, missing: 0, cost: 0 }, neededWith(leastSpot))
  const priceUnit = Math.max(...places.flatMap(({ regularPrice, spotPrice }) => [regularPrice, spotPrice]), 0) * PRICE_RESOLUTION || 1
  // More spot targets in one failure domain than must survive elsewhere are of no use.
  const useful = Math.max(surviving, total, ...places.map(({ minimum }) => minimum))
  const mostSpot = Math.max(leastSpot, ...places.map(({ upper, maximum }) => Math.min(upper.spot, maximum, useful)))
  // The requirement depends on the largest number of spot targets in one failure domain, so each such number is tried.
  const tried = Array.from({ length: mostSpot - leastSpot + 1 }, (_, index) => {
    const spotLimit = leastSpot + index
    const needed = neededWith(spotLimit)
    return { needed, fleet: cheapestWithSpotLimit(places, { spotLimit, needed, regular: requirement.regular, priceUnit }) }
  })
  const { needed, fleet } = tried.reduce((best, next) => next.fleet.cost < best.fleet.cost ? next : best)
  return toFleet(places, fleet, needed)
}

/** Numbers of targets in the order of the failure domains. */
interface ChosenCounts {
  readonly counts: readonly FleetCounts[]
  readonly missing: number
  readonly cost: number
}

function toFleet (places: readonly PlaceLimits[], { counts, missing }: ChosenCounts, needed: number): CheapestFleet {
  return { counts: new Map(places.map(({ place }, index) => [place, counts[index] ?? NO_TARGETS])), missing, needed }
}

function isMet (places: readonly PlaceLimits[], counts: readonly FleetCounts[], { surviving, regular, total }: FleetRequirement): boolean {
  const all = counts.reduce((sum, each) => sum + each.regular + each.spot, 0)
  return all >= total &&
    counts.reduce((sum, each) => sum + each.regular, 0) >= regular &&
    (surviving === 0 || counts.every(({ spot }) => all - spot >= surviving)) &&
    counts.every((each, index) => each.regular + each.spot >= (places[index]?.minimum ?? 0))
}

interface SpotLimitedRequirement {
  readonly spotLimit: number
  readonly needed: number
  readonly regular: number
  readonly priceUnit: number
}

/** A state is the number of regular targets and the total number chosen so far, each up to the number required. */
function cheapestWithSpotLimit (places: readonly PlaceLimits[], { spotLimit, needed, regular: regularNeeded, priceUnit }: SpotLimitedRequirement): ChosenCounts {
  const width = needed + 1
  const size = (regularNeeded + 1) * width
  let costs = new Float64Array(size).fill(Number.POSITIVE_INFINITY)
  costs[0] = 0
  const stages = places.map((place) => {
    const possible = possibleCounts(place, spotLimit, needed)
    const next = new Float64Array(size).fill(Number.POSITIVE_INFINITY)
    const chosen = new Int32Array(size)
    const before = new Int32Array(size)
    // Typed arrays, as the innermost loop runs millions of times where many targets may be ordered.
    const added = Float64Array.from(possible, (counts) => costOf(place, counts, priceUnit) + missingIn(place, counts) * MISSING_TARGET_COST)
    const addedRegular = Int32Array.from(possible, ({ regular }) => regular)
    const addedTotal = Int32Array.from(possible, ({ regular, spot }) => regular + spot)
    // A spot target beyond the number needed is of no use, unless it is there already or the failure domain needs it.
    const isDroppable = Uint8Array.from(possible, ({ regular, spot }) => spot > place.lower.spot && regular + spot > place.minimum ? 1 : 0)
    for (let state = 0; state < size; state++) {
      const cost = costs[state] ?? 0
      if (cost === Number.POSITIVE_INFINITY) continue
      const regularBefore = Math.floor(state / width)
      const totalBefore = state % width
      for (let index = 0; index < possible.length; index++) {
        const total = totalBefore + (addedTotal[index] ?? 0)
        if (total > needed && isDroppable[index] === 1) continue
        const key = Math.min(regularNeeded, regularBefore + (addedRegular[index] ?? 0)) * width + Math.min(needed, total)
        const costWith = cost + (added[index] ?? 0)
        if (costWith >= (next[key] ?? 0)) continue
        next[key] = costWith
        chosen[key] = index
        before[key] = state
      }
    }
    costs = next
    return { possible, chosen, before }
  })
  const missingAt = (state: number): number => regularNeeded - Math.floor(state / width) + needed - state % width
  let state = 0
  let cost = Number.POSITIVE_INFINITY
  costs.forEach((costBefore, end) => {
    const costAtEnd = costBefore + missingAt(end) * MISSING_TARGET_COST
    if (costAtEnd < cost) [state, cost] = [end, costAtEnd]
  })
  const missing = missingAt(state)
  const counts: FleetCounts[] = []
  for (const { possible, chosen, before } of [...stages].reverse()) {
    counts.unshift(possible[chosen[state] ?? 0] ?? NO_TARGETS)
    state = before[state] ?? 0
  }
  return { counts, cost, missing: places.reduce((sum, place, index) => sum + missingIn(place, counts[index] ?? NO_TARGETS), missing) }
}

/** Number of targets by which a failure domain is below its minimum. */
function missingIn ({ minimum }: PlaceLimits, { regular, spot }: FleetCounts): number {
  return Math.max(0, minimum - regular - spot)
}

function possibleCounts ({ lower, upper, minimum, maximum }: PlaceLimits, spotLimit: number, needed: number): FleetCounts[] {
  const counts: FleetCounts[] = []
  const most = Math.min(maximum, Math.max(needed, minimum, lower.regular + lower.spot))
  for (let spot = lower.spot; spot <= Math.min(spotLimit, upper.spot, most - lower.regular); spot++) {
    for (let regular = lower.regular; regular <= Math.min(upper.regular, most - spot); regular++) counts.push({ regular, spot })
  }
  return counts
}

function costOf ({ regularPrice, spotPrice }: PlaceLimits, { regular, spot }: FleetCounts, priceUnit: number): number {
  const price = regular * Math.round(regularPrice / priceUnit) + spot * Math.round(spotPrice / priceUnit)
  return price * PRICE_WEIGHT + (regular + spot) ** 2 + spot ** 2
}
