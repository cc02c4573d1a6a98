/** Sound items that are at several engines in turn when these crash, in a burst of crashes. */

import { expect } from 'chai'
import { failure } from '../../../src/base/common/resultCode.ts'
import type { Listening } from '../../../src/ports/common/targetClient.ts'
import { ItemClient } from '../../support/itemClient.ts'
import type { ManualClock } from '../../support/manualClock.ts'
import { SchedulerHarness } from '../../support/schedulerHarness.ts'
import { newItem } from '../../support/steps.ts'

const items = ['a', 'b', 'c', 'crashed'].map((id) => newItem(id, 'g'))
const RUN_MS = 50
/** Longest time after the last crash until the item has run again. */
const PLACED_AGAIN_MS = 1500

/** Engines that crash during the first runs of one item, and answer all others. */
class CrashingClient extends ItemClient {
  readonly crashedAt: number[] = []
  private readonly closed = new Set<string>()

  constructor (clock: ManualClock, crashes: number) {
    super(clock, (item, engine) => {
      if (item === 'crashed' && this.crashedAt.length < crashes) {
        this.crashedAt.push(clock.now)
        this.closed.add(engine)
        return { type: 'failure', failure: failure('unknownOutcome', 'reset'), afterMs: RUN_MS }
      }
      this.closed.delete(engine)
      return { type: 'runs', forMs: RUN_MS }
    })
  }

  override async listens (address: string): Promise<Listening> {
    return this.closed.has(address) ? 'no' : 'yes'
  }
}

describe('an item under which engines crash', () => {
  for (const crashes of [2, 4, 6, 12]) {
    it(`completes after ${crashes} engines have crashed under it, and the other items complete before`, async () => {
      // Guards against a sound item that is never placed again because engines crashed while they ran it.
      let client: CrashingClient | undefined
      const harness = new SchedulerHarness((clock) => {
        client = new CrashingClient(clock, crashes)
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
