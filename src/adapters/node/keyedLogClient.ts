/** Accesses a keyed topic over HTTP. */

import type { Result } from '../../base/common/resultCode.ts'
import type { KeyedLog, KeyedPage, KeyedRecord, NewestPage } from '../../ports/common/keyedLog.ts'
import type { KeyedLogProtocol } from '../../ports/common/protocols.ts'
import type { StoreClient } from './storeClient.ts'

export class KeyedLogClient implements KeyedLog {
  constructor (private readonly store: StoreClient, private readonly protocol: KeyedLogProtocol, private readonly topic: string) {}

  async append (records: readonly KeyedRecord[]): Promise<Result<number>> {
    const response = await this.store.send(this.protocol.append(this.topic, records))
    return response.ok ? this.protocol.decodeAppended(response.value.status, response.value.body) : response
  }

  async read (from: number, waitMs: number, signal?: AbortSignal): Promise<Result<KeyedPage>> {
    const response = await this.store.send(this.protocol.read(this.topic, from, waitMs), waitMs, signal)
    return response.ok ? this.protocol.decodePage(response.value.status, response.value.body, from) : response
  }

  async readSome (from: number, kilobytes: number): Promise<Result<KeyedPage>> {
    const response = await this.store.send(this.protocol.read(this.topic, from, 0, kilobytes))
    return response.ok ? this.protocol.decodePage(response.value.status, response.value.body, from) : response
  }

  async newest (after: string | undefined): Promise<Result<NewestPage>> {
    const response = await this.store.send(this.protocol.newest(this.topic, after))
    return response.ok ? this.protocol.decodeNewestPage(response.value.status, response.value.body) : response
  }
}
