/** Messages that hosts and the home of a shard exchange about slots. */

import type { HostId, TargetName } from '../../../base/common/ids.ts'
import type { Failure } from '../../../base/common/resultCode.ts'

export type WorkClass = 'interactive' | 'rollout'

/** The current state of a target as known to the home of its shard. */
export interface ShardTarget {
  readonly name: TargetName
  readonly address: string
  readonly slots: number
  /** False while the target drains, shuts down or does not answer; it gets no new grants then. */
  readonly available: boolean
  /** Weight version that the target last reported; undefined before its first report. */
  readonly version?: number
}

/** A request of a host for a slot. */
export interface AcquireRequest {
  readonly grant: string
  readonly holder: HostId
  readonly workClass: WorkClass
  /** 0 is served first. */
  readonly priority: number
  /** Name of the lane or subscription. */
  readonly flow: string
  /** Weight of the flow in the fair sharing among rollouts. */
  readonly share: number
  readonly caller: string
  /** Maximum number of requests of this caller that may hold or wait for a grant in this shard. */
  readonly callerLimit: number
  /** How long the request may wait for a slot, in milliseconds. If 0, it gets a slot only if one is free now. */
  readonly maximumWaitMs: number
  /** Hash of the prompt prefix, used to find a target that has it cached. */
  readonly prefix?: string
  /** Weight version below which the result would be discarded. */
  readonly minimumVersion?: number
  /** Targets that already failed this request. */
  readonly exclude: readonly TargetName[]
}

/** A slot in use. */
export interface Grant {
  readonly grant: string
  readonly holder: HostId
  readonly target: TargetName
  readonly workClass: WorkClass
  readonly flow: string
  readonly caller: string
}

/** A decision that the home sends to the holder of a grant or request. */
export type AdmissionDecision =
  | { readonly type: 'granted', readonly grant: Grant, readonly address: string }
  | { readonly type: 'refused', readonly grant: string, readonly holder: HostId, readonly reason: Failure }
  | { readonly type: 'revoke', readonly grant: Grant }
