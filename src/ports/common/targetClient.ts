/**
 * Port for sending requests to targets with method, path, headers and body unchanged. A failure states
 * whether the target can have run the request: `targetUnreachable` means that no byte was sent and it did
 * not run, `malformed` that the request cannot be sent to any target, as it is no valid HTTP request; all
 * other failures are `unknownOutcome`.
 */

import type { Result } from '../../base/common/resultCode.ts'
import type { HeaderPairs } from './protocols.ts'

export interface TargetRequest {
  /** `IP:PORT`. */
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: HeaderPairs
  readonly body: Uint8Array | undefined
  /**
   * Whether the request uses a new dedicated connection. This is the case for a request that must not run
   * twice, so that a failure to connect can be told apart from a failure to respond, and for a hedge, which
   * is sent because a reused connection may have stopped delivering data.
   */
  readonly ownConnection: boolean
  /** Whether the connection stays open while idle for as long as the target announces. */
  readonly keepsIdle?: boolean
  /** Size limit of a complete response in bytes, if it is below that of the client. */
  readonly maximumAnswerBytes?: number
  /** Aborting the signal cancels the request. */
  readonly signal: AbortSignal
}

export type ReceivedHeaders = Readonly<Record<string, string | string[] | undefined>>

/** A complete response; one that ends early is a failure. */
export interface TargetResponse {
  readonly status: number
  readonly headers: ReceivedHeaders
  readonly body: Uint8Array
}

/** A response whose body is still being received. */
export interface TargetStream {
  readonly status: number
  readonly headers: ReceivedHeaders
  /** Ends after the complete body; throws if the connection breaks before. */
  readonly pieces: AsyncIterable<Uint8Array>
  /** Cancels the request. */
  cancel (): void
}

/** Whether a process accepts connections at an address: `no` if the connection was refused, `unknown` if there was no response in time. */
export type Listening = 'yes' | 'no' | 'unknown'

/** Tells to which targets open connections are unused. */
export interface IdleConnections {
  hasIdleConnection (address: string): boolean
}

export interface TargetClient {
  /** Sends a request and reads the complete response. */
  exchange (request: TargetRequest): Promise<Result<TargetResponse>>
  /** Sends a request and returns the response once its head has arrived. */
  open (request: TargetRequest): Promise<Result<TargetStream>>
  /**
   * Retires the pooled connections to an address after one of them timed out, unless the pool is
   * younger than `minAgeMs`. Of connections that are kept while idle, those stay over which an answer
   * arrived within the last `answeredWithinMs`.
   */
  retireConnections (address: string, minAgeMs?: number, answeredWithinMs?: number): void
  /** Checks whether a process listens at an address by opening a connection and closing it without sending data. */
  listens (address: string): Promise<Listening>
}
