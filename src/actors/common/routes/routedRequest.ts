/** A caller's request on its way to a target, as calls and streams carry it, and what both need for that. */

import type { WorkspaceName } from '../../../base/common/ids.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { RequestContent } from '../../../ports/common/fingerprints.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { OutgoingOptions, TargetProtocol } from '../../../ports/common/protocols.ts'
import type { TargetAnswer, TargetClient } from '../../../ports/common/targetClient.ts'
import type { HeldRequests } from './heldRequests.ts'
import type { TargetEnds } from './targetEnds.ts'
import type { TargetTable } from './targetTable.ts'

export interface RoutedRequest {
  readonly route: Route
  readonly requestId: string | undefined
  readonly method: string
  readonly path: string
  readonly headers: (options: OutgoingOptions) => string[]
  readonly body: Uint8Array | undefined
  /** How long the caller waits from now on, in milliseconds. */
  readonly waitMs: number
  /** Version of the configuration that the route is of. */
  readonly configuration: number
  /** Background calls leave a slot of each target to callers that wait. */
  readonly background: boolean
  /** Who asks, in a word that is alike for each repeat; absent where callers show nothing of themselves. */
  readonly caller?: string | undefined
  /** Workspace that the request is counted for; absent where it belongs to none. */
  readonly workspace?: WorkspaceName | undefined
  /** Aborted when the caller has gone. */
  readonly gone: AbortSignal
}

export interface RoutedAnswer {
  readonly answer: TargetAnswer
  readonly target: string
  /** Answers of targets that said that they failed, this one included. */
  readonly failures: number
}

/** Takes note of the requests that targets begin to run. */
export interface UsageSink {
  began (workspace: WorkspaceName, agoMs: number): void
}

export interface RouteCallServices {
  readonly targets: TargetTable
  readonly client: TargetClient
  readonly ends: TargetEnds
  readonly held: HeldRequests
  readonly protocol: TargetProtocol
  readonly clock: Clock
  readonly chance: Chance
  readonly metrics: Metrics
  readonly stateLog: StateLog
  /** Absent where usage is not reported. */
  readonly usage?: UsageSink | undefined
  readonly place: string
  readonly mechanisms: Pick<Mechanisms, 'second_sends' | 'silence_suspicion' | 'caller_slot' | 'nearest_targets'>
}

/** What a request asks, alike in each of its repeats. */
export function contentOf ({ route: { host }, method, path, caller, body }: RoutedRequest): RequestContent {
  return { host, method, path, caller, body }
}

/** The failure domain whose targets go first; `undefined`: none. */
export function preferredPlace ({ place, mechanisms }: Pick<RouteCallServices, 'place' | 'mechanisms'>): string | undefined {
  return mechanisms.nearest_targets ? place : undefined
}
