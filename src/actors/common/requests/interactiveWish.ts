/** What every request of a caller has in common, and the slot that it asks for. */

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
  /** Aborted when the caller goes away or cancels. */
  readonly signal: AbortSignal
}

/** The slot that a request asks for, at another target than those that failed it. */
export function interactiveWish (request: LaneRequest, exclude: readonly TargetName[], prefix?: string): SlotRequest {
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
