/**
 * Which engines follow which model. Load pattern: several trainers name a version every few seconds
 * on engines that they share; a load keeps an engine's requests of that model out for about a
 * second. If every engine followed every model, loading would take up most of the time. So each
 * model gets a share of the engines by the work that it brings, and only these are kept current.
 */

export interface AssignableEngine {
  readonly id: string
  readonly place: string
  readonly models: readonly string[]
}

export interface ModelShare {
  readonly model: string
  /** Work that the model brings, in slot-seconds or any other unit that is alike for all. */
  readonly work: number
}

/** Model that each engine follows. */
export type Assignment = ReadonlyMap<string, string>

/** Engines that each model should have, whole numbers that sum up to all engines, at least one each. */
export function engineCounts (engines: number, shares: readonly ModelShare[]): Map<string, number> {
  const counts = new Map<string, number>()
  const total = shares.reduce((sum, { work }) => sum + Math.max(work, 1), 0)
  const ideal = shares.map(({ model, work }) => ({ model, exact: engines * Math.max(work, 1) / total }))
  for (const { model, exact } of ideal) counts.set(model, Math.max(1, Math.floor(exact)))
  const given = (): number => [...counts.values()].reduce((sum, count) => sum + count, 0)
  const byRest = [...ideal].sort((a, b) => (b.exact - Math.floor(b.exact)) - (a.exact - Math.floor(a.exact)))
  for (let index = 0; given() < engines && byRest.length > 0; index++) {
    const next = byRest[index % byRest.length]
    if (next !== undefined) counts.set(next.model, (counts.get(next.model) ?? 0) + 1)
  }
  return counts
}

/** An engine more or less than its share has to be off by this much before engines change their model: a change costs a load. */
const TOLERATED_DIFFERENCE = 1

/**
 * Assigns engines to models. Engines keep the model that they have unless a model is short by more
 * than one engine, or has none; new engines go to the model that is shortest, spread over failure domains.
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
  for (const engine of engines) {
    if (assigned.has(engine.id)) continue
    const fitting = shares.filter(({ model }) => engine.models.includes(model)).map(({ model }) => model)
    const next = fitting.sort((a, b) => short(b) - short(a) || inPlace(engines, assigned, a, engine.place) - inPlace(engines, assigned, b, engine.place))[0]
    if (next !== undefined) assigned.set(engine.id, next)
  }
  for (const { model } of shares) if (have(model) === 0) takeOne(engines, assigned, model, short)
  return assigned
}

function inPlace (engines: readonly AssignableEngine[], assigned: Assignment, model: string, place: string): number {
  return engines.filter((engine) => engine.place === place && assigned.get(engine.id) === model).length
}

/** A model without any engine gets one from the model that has the most over its share. */
function takeOne (engines: readonly AssignableEngine[], assigned: Map<string, string>, model: string, short: (model: string) => number): void {
  const donors = engines.filter(({ id, models }) => assigned.has(id) && models.includes(model)).sort((a, b) => short(assigned.get(a.id) ?? '') - short(assigned.get(b.id) ?? ''))
  const donor = donors[0]
  if (donor !== undefined) assigned.set(donor.id, model)
}
