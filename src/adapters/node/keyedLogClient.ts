/** A keyed topic over HTTP. */

import type { Result } from '../../base/common/resultCode.ts'
import type { KeyedLog, KeyedPage, KeyedRecord, NewestPage } from '../../ports/common/keyedLog.ts'
import type { KeyedLogProtocol } from '../../ports/common/protocols.ts'
import type { StoreCaller } from './storeCaller.ts'

export class KeyedLogClient implements KeyedLog {
  constructor (private readonly store: StoreCaller, private readonly protocol: KeyedLogProtocol, private readonly topic: string) {}

  async append (records: readonly KeyedRecord[]): Promise<Result<number>> {
    const answer = await this.store.send(this.protocol.append(this.topic, records))
    return answer.ok ? this.protocol.appended(answer.value.status, answer.value.body) : answer
  }

  async read (from: number, waitMs: number, givenUp?: AbortSignal): Promise<Result<KeyedPage>> {
    const answer = await this.store.send(this.protocol.read(this.topic, from, waitMs), waitMs, givenUp)
    return answer.ok ? this.protocol.page(answer.value.status, answer.value.body, from) : answer
  }

  async readSome (from: number, kilobytes: number): Promise<Result<KeyedPage>> {
    const answer = await this.store.send(this.protocol.read(this.topic, from, 0, kilobytes))
    return answer.ok ? this.protocol.page(answer.value.status, answer.value.body, from) : answer
  }

  async newest (after: string | undefined): Promise<Result<NewestPage>> {
    const answer = await this.store.send(this.protocol.newest(this.topic, after))
    return answer.ok ? this.protocol.newestPage(answer.value.status, answer.value.body) : answer
  }
}
