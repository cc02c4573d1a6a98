/**
 * Interfaces of a deployment's wire protocols. Implementations are stateless codecs: they convert
 * between the product's types and wire messages, make no decisions, and perform no I/O.
 */

import type { Incarnation, WorkspaceName } from '../../base/common/ids.ts'
import type { Result } from '../../base/common/resultCode.ts'
import type { CallerIdentity, PresentedKey } from '../../core/common/identity/workspaces.ts'
import type { RouteConfiguration } from '../../core/common/routes/routeConfiguration.ts'
import type { ItemPayload, SampleResult, TrainerSubmission } from '../../core/common/steps/step.ts'
import type { SealedWindow } from '../../core/common/usage/usageFold.ts'
import type { DutyHolder, DutyVerdict, ScaleOrder, ScaleVerdict } from './platformDuties.ts'
import type { KeyedPage, KeyedRecord, NewestPage } from './keyedLog.ts'
import type { LoadReport, ModelVersion, TargetRegistration } from '../../core/common/routes/target.ts'

/** An encoded request to the store. */
export interface StoreCall {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly body?: Uint8Array
}

/** Encodes requests to keyed topics of the store and decodes the responses. */
export interface KeyedLogProtocol {
  append (topic: string, records: readonly KeyedRecord[]): StoreCall
  decodeAppended (status: number, body: Uint8Array): Result<number>
  read (topic: string, from: number, waitMs: number, kilobytes?: number): StoreCall
  decodePage (status: number, body: Uint8Array, from: number): Result<KeyedPage>
  newest (topic: string, after: string | undefined): StoreCall
  decodeNewestPage (status: number, body: Uint8Array): Result<NewestPage>
}

/** Part of a topic without keys; `forgotten` carries the offset of the first retained record. */
export type UnkeyedPage =
  | { readonly type: 'entries', readonly texts: readonly string[], readonly end: number }
  | { readonly type: 'forgotten', readonly first: number }

/** Encodes requests to topics whose records have no keys and are retained for a limited time, and decodes the responses. */
export interface UnkeyedLogProtocol {
  append (topic: string, text: string): StoreCall
  decodeAppended (status: number, body: Uint8Array): Result<number>
  trim (topic: string, before: number): StoreCall
  decodeTrimmed (status: number): Result<void>
  read (topic: string, from: number): StoreCall
  decodePage (status: number, body: Uint8Array): Result<UnkeyedPage>
}

/** A record written by an operator or a trainer. */
export type OperatorRecord =
  | { readonly type: 'configuration', readonly configuration: RouteConfiguration }
  | { readonly type: 'named-version', readonly named: ModelVersion }
  | { readonly type: 'other' }

/** Decodes the topics that operators, trainers and targets write. */
export interface RegistryProtocol {
  readonly operatorTopic: string
  readonly targetTopic: string
  /** Decodes a record of the operator topic. */
  operatorRecord (record: KeyedRecord): Result<OperatorRecord>
  /** Returns the id of the target that a record key belongs to. */
  targetId (key: string): string
  /** Decodes the registration of a target. */
  target (record: KeyedRecord): Result<TargetRegistration>
  /** Returns the text of a registration without its heartbeat counter. `target` decodes registrations of the same key and content to equal results. */
  targetContent (value: string): string
}

/** Raw headers: names and values alternate. */
export type HeaderPairs = readonly string[]

/** A decoded request from a caller or trainer. */
export type FrontRequest =
  | { readonly type: 'read-results', readonly step: string, readonly after: number, readonly waitMs: number }
  | { readonly type: 'read-body', readonly step: string, readonly item: string }
  | { readonly type: 'end-step', readonly step: string }
  | { readonly type: 'routed', readonly requestId: string | undefined, readonly deadlineMs: number | undefined, readonly resumeAfter: number | undefined, /** Prompt tokens plus the maximum number of output tokens; absent unless stated. */ readonly tokens: number | undefined }

/** An encoded response of this host. */
export interface FrontResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/** A request about the hosts themselves: readiness or addresses. */
export type DirectoryRequest =
  | { readonly type: 'readiness' }
  | { readonly type: 'addresses', readonly place: string | undefined }

export interface FrontProtocol {
  directoryRequest (method: string, path: string, query: URLSearchParams): DirectoryRequest | undefined
  request (method: string, path: string, query: URLSearchParams, headers: Readonly<Record<string, string | undefined>>): Result<FrontRequest>
  /** Extracts the API key that a caller presents. */
  presentedKey (received: HeaderPairs): PresentedKey
  /** Decodes the body of a step submission. */
  submission (stepId: string, body: string): Result<TrainerSubmission>
  results (total: number, results: readonly SampleResult[], after: number): FrontResponse
  addresses (addresses: readonly string[], validForMs: number): FrontResponse
  /** Returns the headers of an error response of this host. */
  failureHeaders (retryAfterMs: number | undefined): Record<string, string>
}

/** Values that this host sets in the headers of a request to a target. */
export interface TargetRequestOptions {
  readonly expectedTarget: string
  /** Time that the target may take, in milliseconds; absent if the caller set no limit. */
  readonly remainingMs?: number
  /** Number of the last event already received, after which the stream resumes. */
  readonly resumeAfter?: number
}

/** Decoded head of a target's response. */
export interface TargetResponseHead {
  readonly status: number
  /** Id of the request that the target claims to respond to. */
  readonly requestId: string | undefined
  /** Signature over the response; a response without it did not come from the target. */
  readonly seal: string | undefined
  /** Whether the target states that it did not run the request. */
  readonly notRun: boolean
  readonly load: LoadReport | undefined
  /** Whether the target sent a load report that is ignored because it cannot be read. */
  readonly isLoadUnreadable?: true
  /** Weight version at the start of the response. */
  readonly version: number | undefined
  /** Whether the body consists of server-sent events. */
  readonly isEventStream: boolean
  /** Whether the response states where its body ends. Otherwise the body ends with the connection, also if the target crashes. */
  readonly hasLength: boolean
}

/** How running requests are treated when an engine changes its weights. */
export type SwapMode = 'finish-first' | 'keep-running'

export interface EngineOrderMessage {
  readonly named: ModelVersion
  readonly mode: SwapMode
  readonly holder: string
  /** Fencing token. */
  readonly term: number
  /** Number of orders that the engine must have accepted so far; the engine refuses the order otherwise. */
  readonly expectedSequence: number
}

/** Response of an engine to an order: `in-progress` means that it accepted the order, `conflict` that another order is in progress or the sequence differs. */
export type OrderVerdict = 'in-progress' | 'holds' | 'conflict' | 'fenced' | 'wrong-target' | 'rejected'

export interface EngineState {
  /** Incarnation of the reporting engine; `undefined` if the target does not provide it. */
  readonly incarnation: Incarnation | undefined
  readonly models: readonly ModelVersion[]
  readonly hasOrderInProgress: boolean
  /** Number of orders accepted since the engine started. */
  readonly sequence: number
  readonly running: number
  readonly waiting: number
  /** Size of the largest item that the engine can hold, in tokens; `undefined` if it does not report it. */
  readonly memoryTokens: number | undefined
}

/** An event of a stream; `version` is set if the weight version changed at this event. */
export interface StreamEvent {
  readonly id: number
  readonly data: string
  readonly version: number | undefined
}

/** An encoded request to the platform's duty interface. */
export interface DutyCall {
  readonly path: string
  readonly headers: HeaderPairs
  readonly body: string
}

/** Encodes the requests of a duty holder to the platform and classifies the responses. */
export interface DutyProtocol {
  usageReport (report: SealedWindow, holder: DutyHolder): DutyCall
  dutyVerdict (status: number): DutyVerdict
  /** Whether the platform accepts orders of targets, by its list of duties. */
  acceptsScaling (duties: readonly string[]): boolean
  scaleOrder (order: ScaleOrder, holder: DutyHolder): DutyCall
  scaleVerdict (status: number): ScaleVerdict
}

export interface TargetProtocol {
  /** Returns the headers with which a caller's request is forwarded to a target. */
  forwardHeaders (received: HeaderPairs, options: TargetRequestOptions, caller: CallerIdentity): string[]
  /** Returns the headers of the request that runs an item. */
  itemHeaders (host: string, item: string, payload: ItemPayload, options: TargetRequestOptions, workspace: WorkspaceName | undefined): string[]
  /** Returns the headers of a request to a scorer. */
  scorerHeaders (host: string, requestId: string, options: TargetRequestOptions): string[]
  responseHead (status: number, headers: Readonly<Record<string, string | string[] | undefined>>): TargetResponseHead
  /** Returns the headers of a target's response that are forwarded to the caller. */
  responseHeaders (headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string | string[]>
  /** Decodes an event from its fields, whose names are in lower case. */
  event (fields: ReadonlyMap<string, string>): StreamEvent | undefined
  order (order: EngineOrderMessage): { readonly path: string, readonly body: string, readonly headers: (target: string) => string[] }
  orderVerdict (status: number): OrderVerdict
  readonly reportPath: string
  reportHeaders (target: string): string[]
  report (status: number, body: string): Result<EngineState>
}
