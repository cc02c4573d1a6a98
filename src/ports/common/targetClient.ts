/**
 * Port for sending requests to targets as they are: method, path, headers and body go on unchanged.
 * A failure says whether the target can have run anything: `targetUnreachable` (no byte left) is
 * not run, `unknownOutcome` is everything else.
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
   * True for a request that goes over a new connection of its own: one that must not run twice, so that
   * a failure to connect is told apart from a failure to answer, and one that is sent once more because a
   * kept connection may be silent.
   */
  readonly ownConnection: boolean
  /** Ends the request at the target when it is aborted. */
  readonly signal: AbortSignal
}

export type ReceivedHeaders = Readonly<Record<string, string | string[] | undefined>>

/** A whole answer; one that ended early is a failure. */
export interface TargetAnswer {
  readonly status: number
  readonly headers: ReceivedHeaders
  readonly body: Uint8Array
}

/** An answer whose body is still coming. */
export interface TargetStream {
  readonly status: number
  readonly headers: ReceivedHeaders
  /** Ends after the whole body; throws if the connection breaks before. */
  readonly pieces: AsyncIterable<Uint8Array>
  /** Ends the request at the target. */
  cancel (): void
}

/** Whether a process takes connections at an address: `no` if it refused one, `unknown` if nothing answered in time. */
export type Listening = 'yes' | 'no' | 'unknown'

export interface TargetClient {
  /** Sends a request and reads its whole answer. */
  exchange (request: TargetRequest): Promise<Result<TargetAnswer>>
  /** Sends a request and gives its answer once the head has come. */
  open (request: TargetRequest): Promise<Result<TargetStream>>
  /**
   * Gives up the kept connections to an address, since one of them went silent; those of a pool that
   * is younger than `youngMs` stay.
   */
  distrust (address: string, youngMs?: number): void
  /** Opens a connection to an address, sends nothing and closes it. */
  listens (address: string): Promise<Listening>
}
