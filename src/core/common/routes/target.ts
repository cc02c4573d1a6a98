/** The registration of a target, and its load reports. */

import type { Incarnation } from '../../../base/common/ids.ts'

/** A version of a model's weights. */
export interface ModelVersion {
  readonly model: string
  readonly version: number
}

export interface TargetDefinition {
  /** A target may restart under the same id. */
  readonly id: string
  /** Incarnation of the target; absent if targets do not report it, in which case an id has a single incarnation. */
  readonly incarnation: Incarnation | undefined
  readonly service: string
  /** `IP:PORT`; another target may reuse the address after this one ends. */
  readonly address: string
  readonly place: string
  readonly slots: number
  readonly draining: boolean
  /** Remaining warm-up time, during which the target answers slowly, in milliseconds. */
  readonly coldMs: number
  readonly models: readonly ModelVersion[]
}

/** Load reported by a target along with an answer. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work currently takes on the machine relative to usual (1); absent if the target does not report it. */
  readonly slowdown?: number | undefined
}
