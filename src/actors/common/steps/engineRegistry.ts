/** Tracks the engines of all services on the host that runs the steps: model versions, active runs and speed. */

import type { EngineLoad } from '../../../core/common/steps/engineChoice.ts'
import type { RefusableItem } from '../../../core/common/steps/refusalBackoff.ts'
import { RefusalBackoff } from '../../../core/common/steps/refusalBackoff.ts'
import type { EngineSlowdown } from '../../../core/common/steps/enginePace.ts'
import { EnginePace, relativeSlowness } from '../../../core/common/steps/enginePace.ts'
import { boundedSlowdown, slowdownWeight } from '../../../core/common/routes/targetEstimate.ts'
import type { Incarnation } from '../../../base/common/ids.ts'
import type { IncarnationOrder } from '../../../core/common/routes/incarnation.ts'
import type { RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { ModelVersion } from '../../../core/common/routes/target.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { TargetResponseHead } from '../../../ports/common/protocols.ts'
import type { KnownTarget, TargetTable } from '../routes/targetTable.ts'

/** Number of most recent groups whose prompts an engine is assumed to have cached. */
const MAX_REMEMBERED_PROMPTS = 64

/** A load order that is in progress at an engine. */
export interface ActiveLoadOrder extends ModelVersion {
  readonly startedAtMs: number
}

/** One incarnation of an engine. A restart under the same id creates a new object that shares no state with this one. */
export class Engine {
  running = 0
  order: ActiveLoadOrder | undefined
  readonly pace = new EnginePace()
  /** Memory that the engine last reported, in tokens; `undefined` if it has reported none. */
  memoryTokens: number | undefined
  private readonly refusals = new RefusalBackoff()
  private readonly versions = new Map<string, number>()
  private readonly recentPromptGroups = new Set<string>()

  constructor (readonly target: KnownTarget, private readonly clock: Clock) {}

  get id (): string {
    return this.target.definition.id
  }

  get suspect (): boolean {
    return this.target.suspect
  }

  /** The slowdown that the engine last reported; `undefined` if it reports none. */
  get slowdown (): EngineSlowdown | undefined {
    const { report, reportAgeMs } = this.target
    return report?.slowdown === undefined ? undefined : { slowdown: boundedSlowdown(report.slowdown), weight: slowdownWeight(reportAgeMs) }
  }

  /** Records the load in the head of a response to an item. Reports without a slowdown are not used: items are counted by this host, which runs all of them. */
  recordHead (head: Pick<TargetResponseHead, 'load' | 'isLoadUnreadable'>): void {
    if (head.load === undefined || head.load.slowdown !== undefined) this.target.recordHead(head)
  }

  /** Newest version of a model that the engine has reported. The engine's registered entry lags behind its responses. */
  version (model: string): number {
    const entry = this.target.definition.models.find((known) => known.model === model)?.version ?? 0
    return Math.max(entry, this.versions.get(model) ?? 0)
  }

  recordVersion ({ model, version }: ModelVersion): void {
    if (version > (this.versions.get(model) ?? 0)) this.versions.set(model, version)
  }

  recordRefusal (item: RefusableItem): void {
    this.refusals.record(item, this.clock.monotonic())
  }

  /**
   * Whether the engine is expected to accept an item now. A report of less memory than configured does not count: if it were
   * wrong, the item would never run, and if it is right, the engine refuses the item.
   */
  accepts (item: RefusableItem, configuredTokens: number | undefined): boolean {
    const maxTokens = configuredTokens === undefined ? Number.POSITIVE_INFINITY : Math.max(configuredTokens, this.memoryTokens ?? 0)
    return item.tokens <= maxTokens && this.refusals.allows(item, this.clock.monotonic())
  }

  recordPrompt (group: string): void {
    this.recentPromptGroups.add(group)
    if (this.recentPromptGroups.size > MAX_REMEMBERED_PROMPTS) this.recentPromptGroups.delete(this.recentPromptGroups.values().next().value ?? '')
  }

  hasPrompt (group: string): boolean {
    return this.recentPromptGroups.has(group)
  }
}

/** An engine together with the load figures that the engine choice compares. */
export interface EngineCandidate extends EngineLoad {
  readonly engine: Engine
  /** Slowness without the engine's own report. */
  readonly observedSlowness: number
  /** Whether the engine is expected to accept an item if it has a free slot. */
  readonly accepts: (item: RefusableItem) => boolean
}

export class EngineRegistry {
  private readonly engines = new Map<string, Engine>()

  constructor (private readonly targets: TargetTable, private readonly clock: Clock, private readonly routes: () => RouteTable | undefined) {}

  /** Returns the engines of all services, except those that are leaving. */
  all (): Engine[] {
    return (this.routes()?.engineServices() ?? []).flatMap(({ name }) => this.forService(name))
  }

  forService (service: string): Engine[] {
    const availableTargets = this.targets.available(service)
    this.removeStale()
    return availableTargets.map((target) => this.engineFor(target))
  }

  /** Compares the incarnation in an engine's report with the known one. After `newer`, the registry creates a new engine object. */
  applyReport (engine: Engine, incarnation: Incarnation | undefined, models: readonly ModelVersion[]): IncarnationOrder {
    return this.targets.applyReportedIncarnation(engine.target, incarnation, models)
  }

  /** Returns the engines of these services with the figures needed to choose one for an item of this model and group. */
  candidates (services: readonly string[], model: string, group: string | undefined): EngineCandidate[] {
    const engines = services.flatMap((service) => this.forService(service))
    const paces = engines.map(({ pace }) => pace)
    const nowMs = this.clock.monotonic()
    const slowdowns = engines.map((engine) => engine.slowdown)
    const observedSlowness = relativeSlowness(paces, nowMs)
    const slowness = slowdowns.every((slowdown) => slowdown === undefined) ? observedSlowness : relativeSlowness(paces, nowMs, slowdowns)
    return engines.map((engine, index) => ({
      engine,
      id: engine.id,
      slots: engine.target.definition.slots,
      running: engine.running,
      version: engine.version(model),
      loading: engine.order?.model === model,
      suspect: engine.suspect,
      slowness: slowness[index] ?? 1,
      observedSlowness: observedSlowness[index] ?? 1,
      hasPrompt: group !== undefined && engine.hasPrompt(group),
      accepts: (item) => engine.accepts(item, this.routes()?.service(engine.target.definition.service)?.engine?.memoryTokens)
    }))
  }

  private engineFor (target: KnownTarget): Engine {
    const known = this.engines.get(target.definition.id)
    if (known !== undefined && known.target === target) return known
    const engine = new Engine(target, this.clock)
    this.engines.set(target.definition.id, engine)
    return engine
  }

  private removeStale (): void {
    for (const [id, { target }] of this.engines) if (this.targets.get(id) !== target) this.engines.delete(id)
  }
}
