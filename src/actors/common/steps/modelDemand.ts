/** Computes what each model needs from the engines, based on the active steps. */

import type { Route, RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { NamedVersion } from '../routes/operatorTopic.ts'
import type { ModelLoadDemand } from '../weights/weightLoadController.ts'
import type { StepWork } from './stepWork.ts'

/** Work of a model before its first step, in expected tokens. Only the ratio between models matters, not the unit. */
const DEFAULT_WORK = 1

interface DemandInput {
  readonly model: string
  readonly named: NamedVersion | undefined
  /** Active steps of the model. */
  readonly works: readonly StepWork[]
  /** Whether one of these steps requires each text to come from a single version. */
  readonly singleVersion: boolean
  /** Expected tokens of the model's most recent step; `undefined` before its first step. */
  readonly latestWork: number | undefined
}

/** A model without a named version needs engines, but no weight loads. */
function modelDemand ({ model, named, works, singleVersion, latestWork = DEFAULT_WORK }: DemandInput, now: number): ModelLoadDemand {
  const requiredVersion = works.reduce((most, { step }) => Math.max(most, step.submission.minimumVersion), 0)
  return {
    model,
    namedVersion: named?.version ?? 0,
    namedAgeMs: named === undefined ? 0 : now - named.learnedAt,
    minimumVersion: Math.min(requiredVersion, named?.version ?? 0),
    waiting: works.reduce((sum, { waiting }) => sum + waiting.length, 0),
    work: latestWork,
    mode: singleVersion ? 'finish-first' : 'keep-running'
  }
}

export interface ModelDemandsServices {
  readonly clock: Clock
  readonly routes: () => RouteTable | undefined
  readonly routeOf: (step: FoldedStep) => Route | undefined
  readonly version: (model: string) => NamedVersion | undefined
}

/** Computes the demands of all configured models. */
export class ModelDemands {
  /** Expected tokens of the most recent step, by model. */
  private readonly latestWork = new Map<string, number>()

  constructor (private readonly services: ModelDemandsServices) {}

  recordAcceptedStep ({ submission: { model, items } }: FoldedStep): void {
    this.latestWork.set(model, items.reduce((sum, { expectedTokens }) => sum + expectedTokens, 0))
  }

  all (works: readonly StepWork[]): ModelLoadDemand[] {
    const models = new Set([...(this.services.routes()?.engineServices() ?? [])].flatMap(({ engine }) => engine?.models ?? []))
    return [...models].map((model) => this.demandFor(model, works.filter(({ step }) => step.submission.model === model)))
  }

  private demandFor (model: string, works: readonly StepWork[]): ModelLoadDemand {
    const singleVersion = works.some(({ step }) => this.services.routeOf(step)?.singleVersion === true)
    return modelDemand({ model, named: this.services.version(model), works, singleVersion, latestWork: this.latestWork.get(model) }, this.services.clock.monotonic())
  }
}
