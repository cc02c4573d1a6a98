/** Accesses a topic without keys over HTTP. Reads start at the first retained record. */

import type { Result } from '../../base/common/resultCode.ts'
import { success } from '../../base/common/resultCode.ts'
import type { UnkeyedLog } from '../../ports/common/unkeyedLog.ts'
import type { UnkeyedPage, UnkeyedLogProtocol } from '../../ports/common/protocols.ts'
import type { StoreClient } from './storeClient.ts'

export class UnkeyedLogClient implements UnkeyedLog {
  constructor (private readonly store: StoreClient, private readonly protocol: UnkeyedLogProtocol, private readonly topic: string) {}

  async append (text: string): Promise<Result<number>> {
    const response = await this.store.send(this.protocol.append(this.topic, text))
    return response.ok ? this.protocol.decodeAppended(response.value.status, response.value.body) : response
  }

  async trim (before: number): Promise<Result<void>> {
    const response = await this.store.send(this.protocol.trim(this.topic, before))
    return response.ok ? this.protocol.decodeTrimmed(response.value.status) : response
  }

  async readAll (): Promise<Result<readonly string[]>> {
    const texts: string[] = []
    let from = 0
    for (;;) {
      const page = await this.read(from)
      if (!page.ok) return page
      if (page.value.type === 'forgotten') {
        from = page.value.first
        continue
      }
      texts.push(...page.value.texts)
      from += page.value.texts.length
      if (page.value.texts.length === 0 || from >= page.value.end) return success(texts)
    }
  }

  private async read (from: number): Promise<Result<UnkeyedPage>> {
    const response = await this.store.send(this.protocol.read(this.topic, from))
    return response.ok ? this.protocol.decodePage(response.value.status, response.value.body) : response
  }
}
