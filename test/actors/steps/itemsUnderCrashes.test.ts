/** Sound items that are at several engines in turn when these crash, in a burst of crashes. */

import { expect } from 'chai'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import type { Listening, TargetClient, TargetRequest } from '../../../src/ports/common/targetClient.ts'
import { SchedulerHarness } from '../../support/schedulerHarness.ts'
import { newItem } from '../../support/steps.ts'

const items = ['a', 'b', 'c', 'crashed'].map((id) => newItem(id, 'g'))
const RUN_MS = 50
/** Longest time after the last crash until the item has run again. */
const PLACED_AGAIN_MS = 1500

/** Engines that crash during the first runs of one item, and answer all others. */
class CrashingClient implements TargetClient {
  readonly crashedAt: number[] = []
  private readonly closed = new Set<string>()

  constructor (private readonly now: () => number, private readonly pause: (milliseconds: number) => Promise<void>, private readonly crashes: number) {}

  async open ({ address, headers }: TargetRequest): ReturnType<TargetClient['open']> {
    const id = headers[headers.indexOf('bulrushvalve-request-id') + 1] ?? ''
    await this.pause(RUN_MS)
    if (id === 'crashed' && this.crashedAt.length < this.crashes) {
      this.crashedAt.push(this.now())
      this.closed.add(address)
      return failure('unknownOutcome', 'reset')
    }
    this.closed.delete(address)
    const pieces = (async function * () { yield new TextEncoder().encode(`id: 0\ndata: ${id}\n\n`) })()
    return success({ status: 200, headers: { 'bulrushvalve-request-id': id, 'bulrushvalve-response-seal': 's', 'bulrushvalve-weight-versions': '1' }, pieces, cancel: () => undefined })
  }

  async exchange (): ReturnType<TargetClient['exchange']> {
    return failure('targetUnreachable', 'not used')
  }

  async listens (address: string): Promise<Listening> {
    return this.closed.has(address) ? 'no' : 'yes'
  }

  retireConnections (): void {}
}

describe('an item under which engines crash', () => {
  for (const crashes of [2, 4, 6, 12]) {
    it(`completes after ${crashes} engines have crashed under it, and the other items complete before`, async () => {
      // Guards against a sound item that is never placed again because engines crashed while they ran it.
      let client: CrashingClient | undefined
      const harness = new SchedulerHarness((clock) => {
        client = new CrashingClient(() => clock.now, async (milliseconds) => { await new Promise<void>((resolve) => { clock.after(milliseconds, resolve) }) }, crashes)
        return client
      }, ['e0', 'e1', 'e2', 'e3'])
      harness.setDuty(true)
      harness.submit('s', items)
      await harness.clock.advance(500)
      expect(harness.results('s').map(({ item }) => item)).to.include.members(['a', 'b', 'c'])
      while ((client?.crashedAt.length ?? 0) < crashes) await harness.clock.advance(50)
      await harness.clock.advance(PLACED_AGAIN_MS)
      expect(harness.results('s').map(({ item, state }) => `${item} ${state}`)).to.include('crashed complete')
      harness.dispose()
    })
  }
})
