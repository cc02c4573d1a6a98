/**
 * Sends requests to the store with a time-out, over a connection pool that is retired once a request
 * times out. The protocol defines the requests and interprets the responses.
 */

import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { Metrics } from '../../ports/common/observation.ts'
import type { StoreCall } from '../../ports/common/protocols.ts'
import type { ConnectionPools } from './connectionPools.ts'
import { isNeverSent, isTimeoutError } from './connectionPools.ts'
import { TimeLimit } from './timeLimit.ts'

export interface StoreResponse {
  readonly status: number
  readonly body: Uint8Array
}

export class StoreClient {
  /**
   * @param address origin (URL) of the store
   * @param timeoutMs longest wait for a response, in addition to the time that a read may wait for records
   */
  constructor (private readonly connections: ConnectionPools, private readonly metrics: Metrics, private readonly address: string, private readonly timeoutMs: number) {}

  /** Sends a request; `serverWaitMs` is the time that the store itself may wait before it responds. */
  async send (call: StoreCall, serverWaitMs: number = 0, signal?: AbortSignal): Promise<Result<StoreResponse>> {
    const limit = new TimeLimit(this.timeoutMs + serverWaitMs, signal)
    const pool = this.connections.poolFor(this.address)
    this.metrics.count('store.calls')
    try {
      const response = await pool.request({ method: call.method, path: call.path, body: call.body ?? null, signal: limit.signal })
      return success({ status: response.statusCode, body: await response.body.bytes() })
    } catch (error) {
      this.metrics.count('store.calls_failed')
      if (isTimeoutError(error)) this.connections.retire(this.address, pool)
      return isNeverSent(error) ? failure('logUnavailable', String(error)) : failure('commandUnknown', String(error))
    } finally {
      limit.end()
    }
  }
}
