/**
 * Sends calls to the store within a time limit, over connections that are put aside once one of them
 * goes silent. Which calls there are and what answers mean is the protocol's matter.
 */

import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { Metrics } from '../../ports/common/observation.ts'
import type { StoreCall } from '../../ports/common/protocols.ts'
import type { Connections } from './connections.ts'
import { neverSent, wentSilent } from './connections.ts'

export interface StoreAnswer {
  readonly status: number
  readonly body: Uint8Array
}

export class StoreCaller {
  /**
   * @param address origin of the store
   * @param timeoutMs longest wait for an answer, beside what a read may wait for records
   */
  constructor (private readonly connections: Connections, private readonly metrics: Metrics, private readonly address: string, private readonly timeoutMs: number) {}

  /** Sends a call; `extraMs` is what the store itself may wait. */
  async send (call: StoreCall, extraMs: number = 0, givenUp?: AbortSignal): Promise<Result<StoreAnswer>> {
    const timeout = AbortSignal.timeout(this.timeoutMs + extraMs)
    const pool = this.connections.to(this.address)
    this.metrics.count('store.calls')
    try {
      const answer = await pool.request({ method: call.method, path: call.path, body: call.body ?? null, signal: givenUp === undefined ? timeout : AbortSignal.any([timeout, givenUp]) })
      return success({ status: answer.statusCode, body: await answer.body.bytes() })
    } catch (error) {
      this.metrics.count('store.calls_failed')
      if (wentSilent(error)) this.connections.suspect(this.address, pool)
      return neverSent(error) ? failure('logUnavailable', String(error)) : failure('commandUnknown', String(error))
    }
  }
}
