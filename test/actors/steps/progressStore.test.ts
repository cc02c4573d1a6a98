/** Progress of running items with a history that rejects records over its size limit, as stores do. */

import { expect } from 'chai'
import fc from 'fast-check'
import { ProgressStore } from '../../../src/actors/common/steps/progressStore.ts'
import { asTextId } from '../../../src/base/common/ids.ts'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import type { ProgressPart } from '../../../src/core/common/steps/progress.ts'
import { progressKey } from '../../../src/core/common/steps/progress.ts'
import type { UnkeyedLog } from '../../../src/ports/common/unkeyedLog.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { textEvents } from '../../support/texts.ts'

const RECORD_BYTES = 3000

class BoundedHistory implements UnkeyedLog {
  readonly records: string[] = []
  refused = 0

  async append (text: string) {
    if (Buffer.byteLength(text) > RECORD_BYTES) {
      this.refused++
      return failure('malformed', 'the record is too long')
    }
    this.records.push(text)
    return success(this.records.length - 1)
  }

  async trim (before: number) {
    this.records.fill('', 0, before)
    return success(undefined)
  }

  async readAll () {
    return success(this.records.filter((record) => record !== ''))
  }
}

describe('saved progress', () => {
  /** The weights change at some events, so that a record may end before a change. */
  const versionAt = (event: number): number => 1 + Math.floor(event / 4)
  const part = (item: string, count: number, size: number, from = 0): ProgressPart => ({ step: 's', item, text: asTextId(`text of ${item}`), from, events: Array.from({ length: count }, (_, index) => ({ data: `${from + index}:`.padEnd(size, 'é'), version: versionAt(from + index) })), last: 100 + from + count - 1 })
  const createStore = (history: UnkeyedLog) => new ProgressStore({ history, clock: new ManualClock(), metrics: noopMetrics, stateLog: noopStateLog }, { saveIntervalMs: 400, maxRecordBytes: RECORD_BYTES, enabled: true })

  it('fits into the records of the store, however many items run at once', async () => {
    // Guards against a host that takes over the steps and starts items from the beginning that had run for seconds. With 190
    // running items, a single record of all progress exceeded the store's limit. Each save was rejected, and the next was longer.
    const history = new BoundedHistory()
    const store = createStore(history)
    const parts = Array.from({ length: 40 }, (_, index) => part(`i${index}`, 9, 60))
    expect(await store.save(parts)).to.equal(true)
    expect(history.refused).to.equal(0)
    const saved = await store.load()
    for (const { item, events, last } of parts) expect(saved.get(progressKey('s', item))).to.deep.equal({ events, last })
  })

  it('is complete or a prefix of each text, for any sizes', async () => {
    await fc.assert(fc.asyncProperty(fc.array(fc.record({ count: fc.integer({ min: 1, max: 30 }), size: fc.integer({ min: 5, max: 900 }) }), { minLength: 1, maxLength: 12 }), async (shapes) => {
      const history = new BoundedHistory()
      const store = createStore(history)
      const parts = shapes.map(({ count, size }, index) => part(`i${index}`, count, size))
      await store.save(parts)
      const saved = await store.load()
      for (const { item, events } of parts) {
        const found = saved.get(progressKey('s', item))
        expect(found?.events ?? []).to.deep.equal(events.slice(0, found?.events.length ?? 0))
        if (found !== undefined) expect(found.last).to.equal(100 + found.events.length - 1)
      }
      expect(history.refused).to.equal(0)
    }), { numRuns: 60, seed: 7 })
  })

  it('is retained for as long as an item runs, and no longer', async () => {
    // Guards against a host that blocks for half a second on takeover because it reads the progress of all items that ran
    // since the start of the deployment.
    const history = new BoundedHistory()
    const clock = new ManualClock()
    const store = new ProgressStore({ history, clock, metrics: noopMetrics, stateLog: noopStateLog }, { saveIntervalMs: 400, maxRecordBytes: RECORD_BYTES, enabled: true })
    for (let second = 0; second < 60; second++) {
      await store.save([part(`i${second}`, 3, 20)])
      await clock.advance(1000)
    }
    const saved = [...(await store.load()).keys()].map((key) => Number(key.slice('s/i'.length)))
    expect(Math.max(...saved)).to.equal(59)
    expect(Math.min(...saved)).to.be.within(39, 46)
  })

  it('is not trimmed by a former holder that saves once more', async () => {
    // Guards against all items starting over after a takeover. A former holder was suspended for long and then saved once.
    // As all its earlier saves had expired, it trimmed everything before this save, including its successor's saves.
    const history = new BoundedHistory()
    const clock = new ManualClock()
    const [former, successor] = [0, 1].map(() => new ProgressStore({ history, clock, metrics: noopMetrics, stateLog: noopStateLog }, { saveIntervalMs: 400, maxRecordBytes: RECORD_BYTES, enabled: true })) as [ProgressStore, ProgressStore]
    await former.save([part('old', 2, 10)])
    await clock.advance(20_000)
    await successor.save([part('i', 2, 10)])
    await clock.advance(100)
    await former.save([part('old', 1, 10, 2)])
    await clock.advance(0)
    expect((await successor.load()).get(progressKey('s', 'i'))?.events).to.have.length(2)
  })

  it('omits an event that exceeds the record size, and all later events', async () => {
    const history = new BoundedHistory()
    const store = createStore(history)
    const long = { ...part('i', 3, 10), events: textEvents(1, 'a', 'x'.repeat(2 * RECORD_BYTES), 'c') }
    expect(await store.save([long, part('j', 2, 10)])).to.equal(true)
    const saved = await store.load()
    expect(saved.get(progressKey('s', 'i'))).to.deep.equal({ events: textEvents(1, 'a'), last: 100 })
    expect(saved.get(progressKey('s', 'j'))?.events).to.have.length(2)
  })
})
