/** The common part of all callers' requests on a lane, and the slot grant that they ask for. */

import type { PoolName, TargetName } from '../../../base/common/ids.ts'
import type { SlotRequest } from '../routing/grantClient.ts'

/** A request of a caller on a lane. */
export interface LaneRequest {
  readonly id: string
  readonly caller: string
  readonly pool: PoolName
  readonly lane: string
  readonly priority: number
  readonly callerLimit: number
  /** Monotonic deadline. */
  readonly deadline: number
  /** Aborted when the caller disconnects or cancels. */
  readonly signal: AbortSignal
}

/** Builds the grant request for an interactive request, which excludes the targets that have failed it. */
export function interactiveGrantRequest (request: LaneRequest, exclude: readonly TargetName[], prefix?: string): SlotRequest {
  return {
    pool: request.pool,
    workClass: 'interactive',
    priority: request.priority,
    flow: request.lane,
    share: 1,
    caller: request.caller,
    callerLimit: request.callerLimit,
    deadline: request.deadline,
    exclude,
    signal: request.signal,
    ...(prefix === undefined ? {} : { prefix })
  }
}
