/**
 * What a deployment's wire protocol has to translate. Implementations hold no state, decide nothing
 * and neither send nor wait: they turn the product's types into messages and messages into types.
 */

import type { Incarnation, WorkspaceName } from '../../base/common/ids.ts'
import type { Result } from '../../base/common/resultCode.ts'
import type { CallerIdentity, PresentedKey } from '../../core/common/identity/workspaces.ts'
import type { RouteConfiguration } from '../../core/common/routes/routeConfiguration.ts'
import type { ItemPayload, SampleResult, TrainerSubmission } from '../../core/common/steps/step.ts'
import type { SealedWindow } from '../../core/common/usage/usageFold.ts'
import type { DutyHolder, DutyVerdict } from './platformDuties.ts'
import type { KeyedPage, KeyedRecord, NewestPage } from './keyedLog.ts'
import type { LoadReport, ModelVersion, TargetDefinition } from '../../core/common/routes/target.ts'

/** A call to the store, ready to be sent. */
export interface StoreCall {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: Uint8Array
}

/** Calls to a store of keyed topics, and their answers. */
export interface KeyedLogProtocol {
  append (topic: string, records: readonly KeyedRecord[]): StoreCall
  appended (status: number, body: Uint8Array): Result<number>
  read (topic: string, from: number, waitMs: number, kilobytes?: number): StoreCall
  page (status: number, body: Uint8Array, from: number): Result<KeyedPage>
  newest (topic: string, after: string | undefined): StoreCall
  newestPage (status: number, body: Uint8Array): Result<NewestPage>
}

/** Part of a topic without keys; `forgotten` tells where the kept records begin. */
export type HistoryPage =
  | { readonly type: 'entries', readonly texts: readonly string[], readonly end: number }
  | { readonly type: 'forgotten', readonly first: number }

/** Calls to topics whose records have no keys and are kept for a limited time. */
export interface HistoryProtocol {
  append (topic: string, text: string): StoreCall
  appended (status: number, body: Uint8Array): Result<number>
  trim (topic: string, before: number): StoreCall
  trimmed (status: number): Result<void>
  read (topic: string, from: number): StoreCall
  page (status: number, body: Uint8Array): Result<HistoryPage>
}

/** What an operator or trainer wrote. */
export type OperatorRecord =
  | { readonly type: 'configuration', readonly configuration: RouteConfiguration }
  | { readonly type: 'named-version', readonly named: ModelVersion }
  | { readonly type: 'other' }

/** Topics that others write, and what their records mean. */
export interface RegistryProtocol {
  readonly operatorTopic: string
  readonly targetTopic: string
  /** Reads a record of the operator's topic. */
  operatorRecord (record: KeyedRecord): Result<OperatorRecord>
  /** Id of the target that a record is about. */
  targetId (key: string): string
  /** Reads a target's entry. */
  target (record: KeyedRecord): Result<TargetDefinition>
}

/** Headers as they come and go: names and values in turn. */
export type HeaderPairs = readonly string[]

/** A request that arrived at the callers' address. */
export type FrontRequest =
  | { readonly type: 'read-results', readonly step: string, readonly after: number, readonly waitMs: number }
  | { readonly type: 'read-body', readonly step: string, readonly item: string }
  | { readonly type: 'end-step', readonly step: string }
  | { readonly type: 'routed', readonly requestId: string | undefined, readonly deadlineMs: number | undefined, readonly resumeAfter: number | undefined }

/** An answer of this host, ready to be sent. */
export interface FrontAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/** A question about the hosts themselves. */
export type DirectoryRequest =
  | { readonly type: 'readiness' }
  | { readonly type: 'addresses', readonly place: string | undefined }

export interface FrontProtocol {
  directoryRequest (method: string, path: string, query: URLSearchParams): DirectoryRequest | undefined
  request (method: string, path: string, query: URLSearchParams, headers: Readonly<Record<string, string | undefined>>): Result<FrontRequest>
  /** Reads the key that a caller presents. */
  presentedKey (received: HeaderPairs): PresentedKey
  /** Reads the body of a submitted step. */
  submission (stepId: string, body: string): Result<TrainerSubmission>
  results (total: number, results: readonly SampleResult[], after: number): FrontAnswer
  addresses (addresses: readonly string[], validForMs: number): FrontAnswer
  /** Headers that a request failed by this host gets. */
  failureHeaders (retryAfterMs: number | undefined): Record<string, string>
}

/** What is set on a request that goes to a target. */
export interface OutgoingOptions {
  readonly expectedTarget: string
  /** Milliseconds that the target may take; absent where the caller set no limit. */
  readonly remainingMs?: number
  /** Number of the last event that is held already. */
  readonly resumeAfter?: number
}

/** Head of a target's answer. */
export interface TargetAnswerHead {
  readonly status: number
  /** Id of the request that the target says it answers. */
  readonly requestId: string | undefined
  /** Signature over the answer; without it an answer is not the target's. */
  readonly seal: string | undefined
  /** True if the target says that it did not run the request. */
  readonly notRun: boolean
  readonly load: LoadReport | undefined
  /** Version of the weights at the start of the answer. */
  readonly version: number | undefined
}

/** How running requests are treated when an engine changes its weights. */
export type SwapMode = 'finish-first' | 'keep-running'

export interface EngineOrderMessage {
  readonly named: ModelVersion
  readonly mode: SwapMode
  readonly holder: string
  /** Fencing number. */
  readonly term: number
  /** Number of orders that the engine must have accepted so far. */
  readonly ifSequence: number
}

/** `in-progress`: accepted now; `conflict`: another order is in progress, or the sequence differs. */
export type OrderVerdict = 'in-progress' | 'holds' | 'conflict' | 'fenced' | 'wrong-target' | 'rejected'

export interface EngineState {
  /** The life of the engine that reports; absent where targets do not tell. */
  readonly incarnation: Incarnation | undefined
  readonly models: readonly ModelVersion[]
  /** True while an order is in progress. */
  readonly ordering: boolean
  /** Number of orders accepted since the engine started. */
  readonly sequence: number
  readonly running: number
  readonly waiting: number
}

/** An event of a stream, with the version if it changed there. */
export interface StreamEvent {
  readonly id: number
  readonly data: string
  readonly version: number | undefined
}

/** A call to the platform's interface for duties, ready to be sent. */
export interface DutyCall {
  readonly path: string
  readonly headers: HeaderPairs
  readonly body: string
}

/** Calls that one host at a time makes to the platform. */
export interface DutyProtocol {
  usageReport (report: SealedWindow, holder: DutyHolder): DutyCall
  dutyVerdict (status: number): DutyVerdict
}

export interface TargetProtocol {
  /** Headers of a caller's request as they go on to a target. */
  forwardHeaders (received: HeaderPairs, options: OutgoingOptions, caller: CallerIdentity): string[]
  /** Headers of an item's run. */
  itemHeaders (host: string, item: string, payload: ItemPayload, options: OutgoingOptions, workspace: WorkspaceName | undefined): string[]
  /** Headers of a call to a scorer. */
  scorerHeaders (host: string, requestId: string, options: OutgoingOptions): string[]
  answerHead (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): TargetAnswerHead
  /** Headers of a target's answer as they go on to the caller. */
  answerHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string | string[]>
  /** Reads one event's fields, names in lower case. */
  event (fields: ReadonlyMap<string, string>): StreamEvent | undefined
  order (order: EngineOrderMessage): { readonly path: string, readonly body: string, readonly headers: (target: string) => string[] }
  orderVerdict (status: number): OrderVerdict
  readonly reportPath: string
  reportHeaders (target: string): string[]
  report (status: number, body: string): Result<EngineState>
}
