/** When garbage is collected in place of the engine. */

import { expect } from 'chai'
import { GarbageCollector } from '../../src/adapters/node/garbageCollector.ts'

const MEGABYTE = 1_048_576
const COLLECT_ABOVE_BYTES = 100 * MEGABYTE

describe('collections of garbage', () => {
  let now = 0
  let heapBytes = 0
  /** Size of the heap after a collection. */
  let liveBytes = 0
  let collectionMs = 0
  let collections = 0

  beforeEach(() => {
    now = 0
    heapBytes = 20 * MEGABYTE
    liveBytes = 20 * MEGABYTE
    collectionMs = 0
    collections = 0
  })

  function newCollector (collectAboveBytes: number | undefined): GarbageCollector {
    const collect = (): void => {
      collections++
      heapBytes = liveBytes
      now += collectionMs
    }
    return new GarbageCollector({ clock: { monotonic: () => now }, metrics: { count: () => undefined } }, collectAboveBytes, { heapBytes: () => heapBytes, collect })
  }

  /** Lets the heap grow by one megabyte each millisecond. */
  function grow (collector: GarbageCollector, untilMs: number): number {
    let most = 0
    for (; now < untilMs; now++) {
      heapBytes += MEGABYTE
      most = Math.max(most, heapBytes)
      collector.collectIfNeeded()
    }
    return most / MEGABYTE
  }

  it('keep a heap near the limit that would grow above it', () => {
    // Guards against garbage that fills the memory of the machine before the engine collects it.
    expect(grow(newCollector(COLLECT_ABOVE_BYTES), 1000)).to.be.at.most(101)
  })

  it('are started only when there may be garbage, if more than the limit is in use', () => {
    // Guards against collections that free nothing.
    const collector = newCollector(COLLECT_ABOVE_BYTES)
    liveBytes = 120 * MEGABYTE
    grow(collector, 110)
    collections = 0
    for (let call = 0; call < 100; call++) collector.collectIfNeeded()
    expect(collections).to.equal(0)
    expect(grow(collector, 1000)).to.be.at.most(131)
  })

  it('take at most half of the processor time, however long they take', () => {
    // Guards against a slow machine that does nothing but collect garbage.
    liveBytes = 120 * MEGABYTE
    collectionMs = 100
    grow(newCollector(COLLECT_ABOVE_BYTES), 10_000)
    expect(collections * collectionMs).to.be.within(4000, 5000)
  })

  it('are not started if the memory of the process is not known', () => {
    grow(newCollector(undefined), 1000)
    expect(collections).to.equal(0)
  })
})
