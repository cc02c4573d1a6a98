/** The registration of a target, and its load reports. */

import type { Incarnation } from '../../../base/common/ids.ts'

/** A version of a model's weights. */
export interface ModelVersion {
  readonly model: string
  readonly version: number
}

/** How a target is paid for: `spot` targets are cheaper, and the platform may reclaim them after a short notice. */
export type Rental = 'regular' | 'spot'

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
  readonly rental: Rental
  /** Monotonic time at which the target ends at the latest; `undefined` unless it drains and its end is announced. */
  readonly leavesAtMs: number | undefined
  /** Remaining warm-up time, during which the target answers slowly, in milliseconds. */
  readonly coldMs: number
  readonly models: readonly ModelVersion[]
}

/** A registration as a target writes it, with times relative to the time of writing. */
export interface TargetRegistration extends Omit<TargetDefinition, 'leavesAtMs'> {
  /** Time until the target ends at the latest, in milliseconds; `undefined` unless it drains and its end is announced. */
  readonly leavesInMs: number | undefined
}

/** Load reported by a target along with an answer. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly slots: number
  /** How long work currently takes on the machine relative to usual (1); absent if the target does not report it. */
  readonly slowdown?: number | undefined
}
