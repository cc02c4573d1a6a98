/** When garbage is collected in place of the engine. */

import { expect } from 'chai'
import { GarbageCollector } from '../../src/adapters/node/garbageCollector.ts'

const NEVER_REACHED_BYTES = 2 ** 50

describe('collections of garbage', () => {
  let now = 0
  let collections = 0

  function newCollector (collectAboveBytes: number | undefined, collect: (() => void) | undefined = () => { collections++ }): GarbageCollector {
    now = 0
    collections = 0
    return new GarbageCollector({ clock: { monotonic: () => now }, metrics: { count: () => undefined } }, collectAboveBytes, collect)
  }

  it('are started while the heap is large, but not one after the other', () => {
    // Guards against a host that spends its processor time on collections that free nothing.
    const collector = newCollector(1)
    for (; now < 1000; now += 10) collector.collectIfNeeded()
    expect(collections).to.equal(10)
  })

  it('take at most a fifth of the processor time, however long they take', () => {
    // Guards against a slow machine that does nothing but collect garbage.
    const collector = newCollector(1, () => {
      collections++
      now += 100
    })
    for (; now < 5000; now += 10) collector.collectIfNeeded()
    expect(collections).to.be.within(9, 10)
  })

  it('are not started while the heap is small, or if the memory of the process is not known', () => {
    for (const limit of [NEVER_REACHED_BYTES, undefined]) {
      newCollector(limit).collectIfNeeded()
      expect(collections).to.equal(0)
    }
  })
})
