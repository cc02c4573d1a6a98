/**
 * Assigns engines to models. Several trainers share the engines, and each names a new version every few seconds; a
 * load keeps an engine from accepting requests for the model for about a second. If every engine followed every
 * model, loading would take up most of the time. Each model therefore gets a share of the engines in proportion to
 * its work, and only these engines are kept up to date.
 */

/** An engine that can be assigned to a model. */
export interface AssignableEngine {
  readonly id: string
  readonly place: string
  /** Version of the weights of each model that the engine can serve. */
  readonly versions: ReadonlyMap<string, number>
}

/** The work that a model brings. */
export interface ModelWorkload {
  readonly model: string
  /** In slot-seconds or any other unit that is the same for all models. */
  readonly work: number
  /** Newest version that its trainer has named; 0 before the first. */
  readonly namedVersion: number
}

/** Model that each engine follows, by engine id. */
export type Assignment = ReadonlyMap<string, string>

/**
 * Returns the number of engines that each model should have: one each, and every further one for the model with
 * the most work per engine.
 */
export function desiredEngineCounts (engines: number, workloads: readonly ModelWorkload[]): Map<string, number> {
  const counts = new Map(workloads.map(({ model }) => [model, 1]))
  for (let allocated = workloads.length; allocated < engines; allocated++) {
    const next = workloads.reduce((most, workload) => workPerEngine(workload, counts) > workPerEngine(most, counts) ? workload : most)
    counts.set(next.model, (counts.get(next.model) ?? 0) + 1)
  }
  return counts
}

function workPerEngine ({ model, work }: ModelWorkload, counts: ReadonlyMap<string, number>): number {
  return Math.max(work, 1) / (counts.get(model) ?? 1)
}

/** By how many engines a model may exceed its share before engines change their model, because each change costs a load. */
const ENGINE_COUNT_TOLERANCE = 1

/**
 * Assigns engines to models. An engine keeps its model unless the model would then exceed its share by more than
 * one engine. The other engines go to models that are short of engines, first to those whose weights they already
 * have. A model left without any engine gets one from another model.
 */
export function assignEngines (engines: readonly AssignableEngine[], workloads: readonly ModelWorkload[], previous: Assignment): Map<string, string> {
  const assigned = new Map<string, string>()
  if (workloads.length === 0) return assigned
  const counts = desiredEngineCounts(engines.length, workloads)
  const assignedCount = (model: string): number => [...assigned.values()].filter((other) => other === model).length
  const shortage = (model: string): number => (counts.get(model) ?? 0) - assignedCount(model)
  for (const engine of engines) {
    const model = previous.get(engine.id)
    if (model !== undefined && counts.has(model) && shortage(model) > -ENGINE_COUNT_TOLERANCE) assigned.set(engine.id, model)
  }
  for (const { engine, model } of pairsByVersionLag(engines.filter(({ id }) => !assigned.has(id)), workloads)) {
    if (!assigned.has(engine.id) && shortage(model) > 0) assigned.set(engine.id, model)
  }
  for (const engine of engines) {
    if (assigned.has(engine.id)) continue
    const servableModels = workloads.filter(({ model }) => engine.versions.has(model)).map(({ model }) => model)
    const next = servableModels.sort((a, b) => shortage(b) - shortage(a))[0]
    if (next !== undefined) assigned.set(engine.id, next)
  }
  for (const { model } of workloads) if (assignedCount(model) === 0) reassignFromLargest(engines, assigned, model, assignedCount)
  return assigned
}

/** An engine and a model that it can serve. */
interface EngineModelPair {
  readonly engine: AssignableEngine
  readonly model: string
  /** By how many versions the engine is behind. */
  readonly versionLag: number
  /** Number of engines of the same failure domain that precede this one. Assigning in this order spreads models over failure domains. */
  readonly indexInDomain: number
}

/**
 * Returns the pairs of engines and models they can serve, most current first. A host that takes over and does not
 * know the previous assignment thus recovers it from the engines' weights.
 */
function pairsByVersionLag (engines: readonly AssignableEngine[], workloads: readonly ModelWorkload[]): EngineModelPair[] {
  const seenPerDomain = new Map<string, number>()
  const pairs = engines.flatMap((engine) => {
    const indexInDomain = seenPerDomain.get(engine.place) ?? 0
    seenPerDomain.set(engine.place, indexInDomain + 1)
    return workloads.flatMap(({ model, namedVersion }): EngineModelPair[] => {
      const version = engine.versions.get(model)
      return version === undefined ? [] : [{ engine, model, versionLag: Math.max(0, namedVersion - version), indexInDomain }]
    })
  })
  return pairs.sort((a, b) => a.versionLag - b.versionLag || a.indexInDomain - b.indexInDomain)
}

/** Gives a model without any engine one from the model with the most engines, unless that has only one. */
function reassignFromLargest (engines: readonly AssignableEngine[], assigned: Map<string, string>, model: string, assignedCount: (model: string) => number): void {
  const donors = engines.filter(({ id, versions }) => assigned.has(id) && versions.has(model))
  const donor = donors.sort((a, b) => assignedCount(assigned.get(b.id) ?? '') - assignedCount(assigned.get(a.id) ?? ''))[0]
  if (donor !== undefined && assignedCount(assigned.get(donor.id) ?? '') > 1) assigned.set(donor.id, model)
}
