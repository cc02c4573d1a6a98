/**
 * Ports to the targets: model engines and plain services. A failure says whether the target can
 * have run anything: `targetUnreachable` (no byte left) and `targetRefused` (its own word) are not
 * run, `unknownOutcome` is everything else.
 */

import type { Result } from '../../base/common/resultCode.ts'

/** A completion to generate. */
export interface CompletionRequest {
  readonly requestId: string
  readonly prompt: string
  readonly maximumTokens: number
  /** 0 is served first by the engine. */
  readonly priority: number
  /** Text already generated elsewhere, to go on from. */
  readonly resume?: { readonly text: string, readonly tokens: number }
}

/** One event of an engine's stream. */
export interface CompletionPart {
  /** Event as it came, for passing on without writing it anew. */
  readonly raw: string
  readonly text: string
  readonly tokens: number
  readonly version: number
  readonly finished: boolean
}

/** A stream under way. */
export interface CompletionStream {
  /** Parts as they come; ends after the finished part, throws `StreamBroken` if cut before. */
  readonly parts: AsyncIterable<CompletionPart>
  /** Ends the stream and tells the engine to stop. */
  cancel (): void
}

/** A stream ended before its finished part, or went silent. */
export class StreamBroken extends Error {}

/** What an engine reports of itself; late by its own account. */
export interface EngineReport {
  readonly version: number
  readonly running: number
  readonly queued: number
  readonly leaving: boolean
}

/** An order to an engine. */
export type EngineOrder = { readonly type: 'load-weights', readonly version: number }

export interface Engine {
  complete (address: string, request: CompletionRequest): Promise<Result<CompletionStream>>
  report (address: string): Promise<Result<EngineReport>>
  /** Sends an order with its fencing number; `revisionConflict`: the engine knows a newer one. */
  order (address: string, order: EngineOrder, fence: number): Promise<Result<void>>
}

/** A call to a plain service. */
export interface ServiceCall {
  readonly method: string
  readonly path: string
  readonly contentType?: string
  readonly body?: string
  readonly requestId: string
  readonly timeoutMs: number
  /** A call that must not run twice goes over a connection of its own, so that a failure to connect is told apart. */
  readonly once: boolean
}

export interface ServiceAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: string
}

export interface Service {
  call (address: string, call: ServiceCall): Promise<Result<ServiceAnswer>>
}

/** Scores a finished sample. */
export interface Scorer {
  score (prompt: string, text: string): Promise<Result<number>>
}

/** A host on the platform's list; the list lags behind. */
export interface ListedHost {
  readonly address: string
  readonly state: 'live' | 'leaving'
}

export interface HostList {
  list (): Promise<Result<readonly ListedHost[]>>
}
