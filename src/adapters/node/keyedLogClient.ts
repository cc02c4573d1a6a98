/**
 * A keyed topic over HTTP. The protocol says what is sent and what an answer means; this sends it,
 * within a time limit, over connections that are put aside once one of them goes silent.
 */

import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { KeyedLog, KeyedPage, KeyedRecord, NewestPage } from '../../ports/common/keyedLog.ts'
import type { KeyedLogProtocol, StoreCall } from '../../ports/common/protocols.ts'
import type { Metrics } from '../../ports/common/observation.ts'
import type { Connections } from './connections.ts'
import { neverSent, wentSilent } from './connections.ts'

export interface KeyedLogServices {
  readonly protocol: KeyedLogProtocol
  readonly connections: Connections
  readonly metrics: Metrics
}

interface StoreAnswer {
  readonly status: number
  readonly body: Uint8Array
}

export class KeyedLogClient implements KeyedLog {
  /**
   * @param address origin of the store
   * @param timeoutMs longest wait for an answer, beside what a read may wait for entries
   */
  constructor (private readonly services: KeyedLogServices, private readonly address: string, private readonly topic: string, private readonly timeoutMs: number) {}

  async append (records: readonly KeyedRecord[]): Promise<Result<number>> {
    const { protocol } = this.services
    const answer = await this.send(protocol.append(this.topic, records), this.timeoutMs)
    return answer.ok ? protocol.appended(answer.value.status, answer.value.body) : answer
  }

  async read (from: number, waitMs: number): Promise<Result<KeyedPage>> {
    const { protocol } = this.services
    const answer = await this.send(protocol.read(this.topic, from, waitMs), this.timeoutMs + waitMs)
    return answer.ok ? protocol.page(answer.value.status, answer.value.body, from) : answer
  }

  async newest (after: string | undefined): Promise<Result<NewestPage>> {
    const { protocol } = this.services
    const answer = await this.send(protocol.newest(this.topic, after), this.timeoutMs)
    return answer.ok ? protocol.newestPage(answer.value.status, answer.value.body) : answer
  }

  private async send (call: StoreCall, timeoutMs: number): Promise<Result<StoreAnswer>> {
    const { connections, metrics } = this.services
    const pool = connections.to(this.address)
    metrics.count('store.calls')
    try {
      const answer = await pool.request({ method: call.method, path: call.path, body: call.body ?? null, signal: AbortSignal.timeout(timeoutMs) })
      return success({ status: answer.statusCode, body: await answer.body.bytes() })
    } catch (error) {
      metrics.count('store.calls_failed')
      if (wentSilent(error)) connections.suspect(this.address, pool)
      return neverSent(error) ? failure('logUnavailable', String(error)) : failure('commandUnknown', String(error))
    }
  }
}
