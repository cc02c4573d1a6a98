/** A topic without keys over HTTP: what is kept of it is read from its first record on. */

import type { Result } from '../../base/common/resultCode.ts'
import { success } from '../../base/common/resultCode.ts'
import type { History } from '../../ports/common/history.ts'
import type { HistoryPage, HistoryProtocol } from '../../ports/common/protocols.ts'
import type { StoreCaller } from './storeCaller.ts'

export class HistoryClient implements History {
  constructor (private readonly store: StoreCaller, private readonly protocol: HistoryProtocol, private readonly topic: string) {}

  async append (text: string): Promise<Result<number>> {
    const answer = await this.store.send(this.protocol.append(this.topic, text))
    return answer.ok ? this.protocol.appended(answer.value.status, answer.value.body) : answer
  }

  async trim (before: number): Promise<Result<void>> {
    const answer = await this.store.send(this.protocol.trim(this.topic, before))
    return answer.ok ? this.protocol.trimmed(answer.value.status) : answer
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

  private async read (from: number): Promise<Result<HistoryPage>> {
    const answer = await this.store.send(this.protocol.read(this.topic, from))
    return answer.ok ? this.protocol.page(answer.value.status, answer.value.body) : answer
  }
}
