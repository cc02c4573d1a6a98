/** What a model needs of the engines, from the steps that are under way. */

import type { Route, RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { NamedVersion } from '../routes/operatorTopic.ts'
import type { ModelWork } from '../weights/engineOrders.ts'
import type { StepWork } from './stepWork.ts'

/** Expected tokens of one item: what one slot-second stands for does not matter, only the relation of models. */
const LEAST_WORK = 1

interface DemandFacts {
  readonly model: string
  readonly named: NamedVersion | undefined
  /** Steps of the model that are under way. */
  readonly works: readonly StepWork[]
  /** Whether one of them wants its texts from one version only. */
  readonly singleVersion: boolean
  /** Work that the model's newest step brought; `undefined` before its first. */
  readonly newestWork: number | undefined
}

/** Before its first version is named, a model needs engines but no loads. */
function modelDemand ({ model, named, works, singleVersion, newestWork = LEAST_WORK }: DemandFacts, now: number): ModelWork {
  const minimum = works.reduce((most, { step }) => Math.max(most, step.submission.minimumVersion), 0)
  return {
    model,
    namedVersion: named?.version ?? 0,
    namedAgeMs: named === undefined ? 0 : now - named.learnedAt,
    minimumVersion: Math.min(minimum, named?.version ?? 0),
    waiting: works.reduce((sum, { waiting }) => sum + waiting.length, 0),
    work: newestWork,
    mode: singleVersion ? 'finish-first' : 'keep-running'
  }
}

export interface ModelDemandServices {
  readonly clock: Clock
  readonly routes: () => RouteTable | undefined
  readonly routeOf: (step: FoldedStep) => Route | undefined
  readonly version: (model: string) => NamedVersion | undefined
}

/** What all models of the configuration need of their engines. */
export class ModelDemands {
  /** Work that the newest step of each model brought. */
  private readonly newestWork = new Map<string, number>()

  constructor (private readonly services: ModelDemandServices) {}

  noteAccepted ({ submission: { model, items } }: FoldedStep): void {
    this.newestWork.set(model, items.reduce((sum, { expectedTokens }) => sum + expectedTokens, 0))
  }

  all (works: readonly StepWork[]): ModelWork[] {
    const models = new Set([...(this.services.routes()?.engineServices() ?? [])].flatMap(({ engine }) => engine?.models ?? []))
    return [...models].map((model) => this.one(model, works.filter(({ step }) => step.submission.model === model)))
  }

  private one (model: string, works: readonly StepWork[]): ModelWork {
    const singleVersion = works.some(({ step }) => this.services.routeOf(step)?.singleVersion === true)
    return modelDemand({ model, named: this.services.version(model), works, singleVersion, newestWork: this.newestWork.get(model) }, this.services.clock.monotonic())
  }
}
