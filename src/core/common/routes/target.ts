/** A target as it registered itself, and what it tells of its load. */

import type { Incarnation } from '../../../base/common/ids.ts'

/** A version of a model's weights. */
export interface ModelVersion {
  readonly model: string
  readonly version: number
}

export interface TargetDefinition {
  /** A target may start again under its id. */
  readonly id: string
  /** Which life of the target this is about; absent where targets do not tell, and each id then has one life. */
  readonly incarnation: Incarnation | undefined
  readonly service: string
  /** `IP:PORT`; after the target's end another one may get it. */
  readonly address: string
  readonly place: string
  readonly slots: number
  readonly draining: boolean
  /** How much longer the target stays slow after its start, in milliseconds. */
  readonly coldMs: number
  readonly models: readonly ModelVersion[]
}

/** Load in a target's own words, at the time of an answer. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
}
