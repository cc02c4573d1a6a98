/**
 * Which engines follow which model. Load pattern: several trainers name a version every few seconds
 * on engines that they share; a load keeps an engine's requests of that model out for about a
 * second. If every engine followed every model, loading would take up most of the time. So each
 * model gets a share of the engines by the work that it brings, and only these are kept current.
 */

export interface AssignableEngine {
  readonly id: string
  readonly place: string
  /** Version of each model that it can serve. */
  readonly versions: ReadonlyMap<string, number>
}

export interface ModelShare {
  readonly model: string
  /** Work that the model brings, in slot-seconds or any other unit that is alike for all. */
  readonly work: number
  /** Newest version that was named; 0 before the first. */
  readonly named: number
}

/** Model that each engine follows. */
export type Assignment = ReadonlyMap<string, string>

/** Engines that each model should have: one each, and every further one to the model with the most work for each that it has. */
export function engineCounts (engines: number, shares: readonly ModelShare[]): Map<string, number> {
  const counts = new Map(shares.map(({ model }) => [model, 1]))
  for (let given = shares.length; given < engines; given++) {
    const next = shares.reduce((most, share) => workForEach(share, counts) > workForEach(most, counts) ? share : most)
    counts.set(next.model, (counts.get(next.model) ?? 0) + 1)
  }
  return counts
}

function workForEach ({ model, work }: ModelShare, counts: ReadonlyMap<string, number>): number {
  return Math.max(work, 1) / (counts.get(model) ?? 1)
}

/** An engine more or less than its share has to be off by this much before engines change their model: a change costs a load. */
const TOLERATED_DIFFERENCE = 1

/**
 * Assigns engines to models. Engines keep the model that they have unless a model is short by more
 * than one engine, or has none; new engines go to models that are short, those first that have their weights.
 */
export function assignEngines (engines: readonly AssignableEngine[], shares: readonly ModelShare[], previous: Assignment): Map<string, string> {
  const assigned = new Map<string, string>()
  if (shares.length === 0) return assigned
  const counts = engineCounts(engines.length, shares)
  const have = (model: string): number => [...assigned.values()].filter((other) => other === model).length
  const short = (model: string): number => (counts.get(model) ?? 0) - have(model)
  for (const engine of engines) {
    const model = previous.get(engine.id)
    if (model !== undefined && counts.has(model) && short(model) > -TOLERATED_DIFFERENCE) assigned.set(engine.id, model)
  }
  for (const { engine, model } of byCurrency(engines.filter(({ id }) => !assigned.has(id)), shares)) {
    if (!assigned.has(engine.id) && short(model) > 0) assigned.set(engine.id, model)
  }
  for (const engine of engines) {
    if (assigned.has(engine.id)) continue
    const fitting = shares.filter(({ model }) => engine.versions.has(model)).map(({ model }) => model)
    const next = fitting.sort((a, b) => short(b) - short(a))[0]
    if (next !== undefined) assigned.set(engine.id, next)
  }
  for (const { model } of shares) if (have(model) === 0) takeOne(engines, assigned, model, have)
  return assigned
}

interface Pairing {
  readonly engine: AssignableEngine
  readonly model: string
  /** Versions that the engine lacks. */
  readonly lag: number
  /** How many engines of its place come before it: taking them in this order spreads models over places. */
  readonly rank: number
}

/**
 * Engines with the models that they can serve, the most current first: a host that takes over, and
 * knows no former assignment, finds the one that the engines' weights show.
 */
function byCurrency (engines: readonly AssignableEngine[], shares: readonly ModelShare[]): Pairing[] {
  const seen = new Map<string, number>()
  const pairings = engines.flatMap((engine) => {
    const rank = seen.get(engine.place) ?? 0
    seen.set(engine.place, rank + 1)
    return shares.flatMap(({ model, named }): Pairing[] => {
      const version = engine.versions.get(model)
      return version === undefined ? [] : [{ engine, model, lag: Math.max(0, named - version), rank }]
    })
  })
  return pairings.sort((a, b) => a.lag - b.lag || a.rank - b.rank)
}

/** A model without any engine gets one from the model that has the most, unless that has but one. */
function takeOne (engines: readonly AssignableEngine[], assigned: Map<string, string>, model: string, have: (model: string) => number): void {
  const donors = engines.filter(({ id, versions }) => assigned.has(id) && versions.has(model))
  const donor = donors.sort((a, b) => have(assigned.get(b.id) ?? '') - have(assigned.get(a.id) ?? ''))[0]
  if (donor !== undefined && have(assigned.get(donor.id) ?? '') > 1) assigned.set(donor.id, model)
}
