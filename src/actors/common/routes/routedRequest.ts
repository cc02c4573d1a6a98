/** A caller's request to a route, and the services that calls and streams share to forward it to a target. */

import type { WorkspaceName } from '../../../base/common/ids.ts'
import type { Failure } from '../../../base/common/resultCode.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { RequestContent } from '../../../ports/common/fingerprints.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { TargetRequestOptions, TargetProtocol } from '../../../ports/common/protocols.ts'
import type { TargetResponse, TargetClient } from '../../../ports/common/targetClient.ts'
import type { CallQueues } from '../calls/callQueues.ts'
import type { RequestQuarantine } from './requestQuarantine.ts'
import type { TargetCrashDetector } from './targetCrashDetector.ts'
import type { TargetPlacement } from './targetPlacement.ts'
import type { TargetTable } from './targetTable.ts'

export interface RoutedRequest {
  readonly route: Route
  readonly requestId: string | undefined
  readonly method: string
  readonly path: string
  readonly headers: (options: TargetRequestOptions) => string[]
  readonly body: Uint8Array | undefined
  /** How long the caller waits from now on. */
  readonly waitMs: number
  /** Version of the configuration that defines the route. */
  readonly configuration: number
  /** Background calls belong to items of steps. They leave one slot of each target free for waiting callers, and the quarantine of requests does not apply to them. */
  readonly background: boolean
  /** Identity of the caller, which is the same for each repeat of the request; absent if callers do not identify themselves. */
  readonly caller?: string | undefined
  /** Workspace whose usage the request counts towards; absent if it belongs to none. */
  readonly workspace?: WorkspaceName | undefined
  /** Rank of that workspace, which takes precedence over the route's; absent if it has none. */
  readonly workspacePriority?: number | undefined
  /** Checks whether the caller may still use the route, as defined by a newer configuration; absent if callers need no key. */
  readonly checkAccess?: ((route: Route) => Failure | undefined) | undefined
  /** Aborted when the caller disconnects. */
  readonly gone: AbortSignal
}

export interface RoutedAnswer {
  readonly answer: TargetResponse
  readonly target: string
  /** Number of answers in which a target reported its own failure, including this one. */
  readonly failures: number
}

/** Counts the requests that targets start to run. */
export interface UsageRecorder {
  recordStart (workspace: WorkspaceName, agoMs: number): void
}

export interface RouteCallServices {
  readonly targets: TargetTable
  readonly client: TargetClient
  readonly ends: TargetCrashDetector
  readonly held: RequestQuarantine
  readonly protocol: TargetProtocol
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
  readonly stateLog: StateLog
  /** Absent if usage is not reported. */
  readonly usage?: UsageRecorder | undefined
  /** Absent if calls do not wait in queues. */
  readonly queues?: CallQueues | undefined
  readonly place: string
  /** Absent if this host does not know the other hosts. */
  readonly placement?: TargetPlacement | undefined
  readonly mechanisms: Pick<Mechanisms, 'second_sends' | 'silence_suspicion' | 'caller_slot' | 'nearest_targets' | 'target_subset'>
}

/** The content of a request, which is identical in each of its repeats. */
export function contentOf ({ route: { host }, method, path, caller, body }: RoutedRequest): RequestContent {
  return { host, method, path, caller, body }
}
