/** A client of engines that run items, whose answers the test decides. It keeps no connections. */

import type { Result } from '../../src/base/common/resultCode.ts'
import { failure, success } from '../../src/base/common/resultCode.ts'
import type { Listening, TargetClient, TargetRequest, TargetStream } from '../../src/ports/common/targetClient.ts'
import type { ManualClock } from './manualClock.ts'

/** How an engine answers: it runs the item, refuses it, or gives the status of an error. A failure is one of the client. */
export type ItemAnswer =
  | { readonly type: 'runs', readonly forMs: number }
  | { readonly type: 'refuses' }
  | { readonly type: 'status', readonly status: number }
  | { readonly type: 'failure', readonly failure: Result<never>, readonly afterMs?: number }

export interface SentItem {
  readonly engine: string
  readonly item: string
  readonly at: number
}

/** Time that an engine takes for an answer without a run, in milliseconds. */
const ANSWER_MS = 2

export class ItemClient implements TargetClient {
  readonly sent: SentItem[] = []

  constructor (private readonly clock: ManualClock, private readonly answer: (item: string, engine: string) => ItemAnswer) {}

  async open ({ address, headers }: TargetRequest): Promise<Result<TargetStream>> {
    const item = headers[headers.indexOf('bulrushvalve-request-id') + 1] ?? ''
    this.sent.push({ engine: address, item, at: this.clock.now })
    const answer = this.answer(item, address)
    const head = { 'bulrushvalve-request-id': item, 'bulrushvalve-response-seal': 's', 'bulrushvalve-weight-versions': '1' }
    switch (answer.type) {
      case 'runs':
        await this.pause(answer.forMs)
        return success({ status: 200, headers: head, pieces: piecesOf(`id: 0\ndata: ${item}\n\n`), cancel: () => undefined })
      case 'refuses':
        await this.pause(ANSWER_MS)
        return success({ status: 503, headers: { 'bulrushvalve-request-id': item, 'bulrushvalve-not-run': '1' }, pieces: piecesOf(''), cancel: () => undefined })
      case 'status':
        await this.pause(ANSWER_MS)
        return success({ status: answer.status, headers: head, pieces: piecesOf(''), cancel: () => undefined })
      case 'failure':
        if (answer.afterMs !== undefined) await this.pause(answer.afterMs)
        return answer.failure
    }
  }

  async exchange (): ReturnType<TargetClient['exchange']> {
    return failure('targetUnreachable', 'not used')
  }

  async listens (_address: string): Promise<Listening> {
    return 'yes'
  }

  retireConnections (): void {}

  private async pause (milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => { this.clock.after(milliseconds, resolve) })
  }
}

async function * piecesOf (text: string): AsyncGenerator<Uint8Array> {
  if (text !== '') yield new TextEncoder().encode(text)
}
