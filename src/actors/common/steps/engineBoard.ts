/** The engines of all services as the host that runs the steps knows them: versions, runs, speed. */

import type { EngineLoad } from '../../../core/common/steps/engineChoice.ts'
import { EnginePace, relativeSlowness } from '../../../core/common/steps/enginePace.ts'
import type { Incarnation } from '../../../base/common/ids.ts'
import type { IncarnationOrder } from '../../../core/common/routes/incarnation.ts'
import type { RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { ModelVersion } from '../../../core/common/routes/target.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { KnownTarget, TargetTable } from '../routes/targetTable.ts'

/** How long an engine that refused is not asked again, in milliseconds: about the time of an item's shortest run. */
const REFUSED_MS = 80
/** Groups whose prompts an engine is taken to have read. */
const REMEMBERED_PROMPTS = 64

/** An order under way at an engine. */
export interface OrderUnderway extends ModelVersion {
  readonly sinceMs: number
}

/** One life of an engine: after a restart under its id there is another object, which knows nothing of this one. */
export class Engine {
  running = 0
  order: OrderUnderway | undefined
  readonly pace = new EnginePace()
  private refusedUntil = Number.NEGATIVE_INFINITY
  private readonly versions = new Map<string, number>()
  private readonly prompts = new Set<string>()

  constructor (readonly target: KnownTarget, private readonly clock: Clock) {}

  get id (): string {
    return this.target.definition.id
  }

  get suspect (): boolean {
    return this.target.suspect || this.clock.monotonic() < this.refusedUntil
  }

  /** Newest version of a model that the engine has told of: its entry lags behind its answers. */
  version (model: string): number {
    const entry = this.target.definition.models.find((known) => known.model === model)?.version ?? 0
    return Math.max(entry, this.versions.get(model) ?? 0)
  }

  learnVersion ({ model, version }: ModelVersion): void {
    if (version > (this.versions.get(model) ?? 0)) this.versions.set(model, version)
  }

  refused (): void {
    this.refusedUntil = this.clock.monotonic() + REFUSED_MS
  }

  notePrompt (group: string): void {
    this.prompts.add(group)
    if (this.prompts.size > REMEMBERED_PROMPTS) this.prompts.delete(this.prompts.values().next().value ?? '')
  }

  hasPrompt (group: string): boolean {
    return this.prompts.has(group)
  }
}

/** An engine with what the choice for an item looks at. */
export interface EngineCandidate extends EngineLoad {
  readonly engine: Engine
}

export class EngineBoard {
  private readonly engines = new Map<string, Engine>()

  constructor (private readonly targets: TargetTable, private readonly clock: Clock, private readonly routes: () => RouteTable | undefined) {}

  /** Engines of all services, leaving ones not among them. */
  all (): Engine[] {
    return (this.routes()?.engineServices() ?? []).flatMap(({ name }) => this.ofService(name))
  }

  ofService (service: string): Engine[] {
    const present = this.targets.available(service)
    this.forgetGone()
    return present.map((target) => this.engine(target))
  }

  /** What an engine's own report says about its life; after `newer` the engine is another one here too. */
  tell (engine: Engine, incarnation: Incarnation | undefined, models: readonly ModelVersion[]): IncarnationOrder {
    return this.targets.tell(engine.target, incarnation, models)
  }

  /** What the choice of an engine for an item of this model and group needs. */
  candidates (services: readonly string[], model: string, group: string | undefined): EngineCandidate[] {
    const engines = services.flatMap((service) => this.ofService(service))
    const slowness = relativeSlowness(engines.map(({ pace }) => pace), this.clock.monotonic())
    return engines.map((engine, index) => ({
      engine,
      id: engine.id,
      slots: engine.target.definition.slots,
      running: engine.running,
      version: engine.version(model),
      loading: engine.order?.model === model,
      suspect: engine.suspect,
      slowness: slowness[index] ?? 1,
      hasPrompt: group !== undefined && engine.hasPrompt(group)
    }))
  }

  private engine (target: KnownTarget): Engine {
    const known = this.engines.get(target.definition.id)
    if (known !== undefined && known.target === target) return known
    const engine = new Engine(target, this.clock)
    this.engines.set(target.definition.id, engine)
    return engine
  }

  private forgetGone (): void {
    for (const [id, { target }] of this.engines) if (this.targets.get(id) !== target) this.engines.delete(id)
  }
}
