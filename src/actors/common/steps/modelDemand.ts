/** What a model needs of the engines, from the steps that are under way. */

import type { NamedVersion } from '../routes/operatorTopic.ts'
import type { ModelWork } from '../weights/engineOrders.ts'
import type { StepWork } from './stepWork.ts'

/** Expected tokens of one item: what one slot-second stands for does not matter, only the relation of models. */
const LEAST_WORK = 1

export interface DemandFacts {
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
export function modelDemand ({ model, named, works, singleVersion, newestWork = LEAST_WORK }: DemandFacts, now: number): ModelWork {
  const minimum = works.reduce((most, { step }) => Math.max(most, step.submission.minimumVersion), 0)
  return {
    model,
    named: named?.version ?? 0,
    namedAgeMs: named === undefined ? 0 : now - named.learnedAt,
    minimumVersion: Math.min(minimum, named?.version ?? 0),
    waiting: works.reduce((sum, { waiting }) => sum + waiting.length, 0),
    work: newestWork,
    mode: singleVersion ? 'finish-first' : 'keep-running'
  }
}
