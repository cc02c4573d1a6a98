/** What hosts and the home of a shard say to each other about slots. */

import type { HostId, TargetName } from '../../../base/common/ids.ts'
import type { Failure } from '../../../base/common/resultCode.ts'

export type WorkClass = 'interactive' | 'rollout'

/** A target as its home sees it now. */
export interface ShardTarget {
  readonly name: TargetName
  readonly address: string
  readonly slots: number
  /** False while it drains, leaves or does not answer: no new grants. */
  readonly available: boolean
  /** Weight version that it last reported; undefined before its first report. */
  readonly version?: number
}

/** What a host asks the home for. */
export interface AcquireRequest {
  readonly grant: string
  readonly holder: HostId
  readonly workClass: WorkClass
  /** 0 is served first. */
  readonly priority: number
  /** Lane or subscription. */
  readonly flow: string
  /** Weight of the flow among rollouts. */
  readonly share: number
  readonly caller: string
  /** Requests of this caller that may hold or wait for a grant in this shard. */
  readonly callerLimit: number
  /** How long the request may wait for a slot, in milliseconds; 0 takes one only if it is free now. */
  readonly maximumWaitMs: number
  /** Hash of the prompt's beginning, to find a target that has it cached. */
  readonly prefix?: string
  /** Weight version below which the work would be thrown away. */
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

/** What the home has to tell a holder. */
export type AdmissionDecision =
  | { readonly type: 'granted', readonly grant: Grant, readonly address: string }
  | { readonly type: 'refused', readonly grant: string, readonly holder: HostId, readonly reason: Failure }
  | { readonly type: 'revoke', readonly grant: Grant }
