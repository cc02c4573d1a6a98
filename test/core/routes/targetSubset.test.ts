/** The subset of a service's targets that a host prefers. */

import { expect } from 'chai'
import { createHash } from '../../../src/adapters/node/xxHash.ts'
import { RequestRate } from '../../../src/core/common/routes/requestRate.ts'
import type { TargetLoad } from '../../../src/core/common/routes/targetEstimate.ts'
import { preferredTargets, subsetCandidates, subsetSize } from '../../../src/core/common/routes/targetSubset.ts'
import type { Hash } from '../../../src/ports/common/hash.ts'
import { newTargetDefinition } from '../../support/routes.ts'

const load = (id: string, answerMs: number, suspect = false): TargetLoad => ({ definition: newTargetDefinition({ id }), inFlight: 0, report: undefined, reportAgeMs: Number.POSITIVE_INFINITY, sentSinceReport: 0, answerMs, suspect, reportsSlowdown: true })

describe('the subset of targets that a host prefers', () => {
  let hash: Hash
  before(async () => { hash = await createHash() })

  it('has two targets for few requests and grows with the requests in flight, up to all targets', () => {
    const size = (requestsPerSecond: number, targets = 14): number => subsetSize(targets, { requestsPerSecond, answerMs: 50 })
    expect([0, 0.12, 10, 11, 50, 1000].map((rate) => size(rate))).to.deep.equal([2, 2, 2, 3, 6, 14])
    expect([size(0, 1), size(1000, 3)]).to.deep.equal([1, 3])
  })

  it('differs between hosts, so that all targets receive about the same', () => {
    // Guards against targets that no host prefers and others that all do.
    const targets = ['a', 'b', 'c']
    const counts = new Map(targets.map((id) => [id, 0]))
    for (let host = 0; host < 73; host++) for (const id of preferredTargets(hash, `host-${host}`, targets, 2)) counts.set(id, (counts.get(id) ?? 0) + 1)
    for (const count of counts.values()) expect(count).to.be.within(39, 58)
  })

  it('changes for few hosts if a target joins or leaves, and does not depend on the order of targets', () => {
    const targets = Array.from({ length: 14 }, (_, index) => `t${index}`)
    const subset = (host: number, of: readonly string[]): string => [...preferredTargets(hash, `host-${host}`, of, 2)].sort().join()
    const hosts = Array.from({ length: 73 }, (_, index) => index)
    expect(hosts.filter((host) => subset(host, targets) !== subset(host, [...targets].reverse()))).to.deep.equal([])
    const changed = hosts.filter((host) => subset(host, targets) !== subset(host, targets.slice(1)))
    expect(changed).to.deep.equal(hosts.filter((host) => subset(host, targets).split(',').includes('t0')))
  })

  for (const { name, inside, outside, expected } of [
    { name: 'is used while its best is less than twice as slow as the best other target', inside: [load('a', 59), load('b', 90)], outside: [load('c', 30)], expected: ['a', 'b'] },
    { name: 'is left for a target that is twice as fast', inside: [load('a', 60), load('b', 90)], outside: [load('c', 30)], expected: ['a', 'b', 'c'] },
    { name: 'is left if its best is suspect', inside: [load('a', 30, true), load('b', 30, true)], outside: [load('c', 30)], expected: ['a', 'b', 'c'] },
    { name: 'is used if all others are suspect', inside: [load('a', 30), load('b', 30, true)], outside: [load('c', 30, true)], expected: ['a', 'b'] },
    { name: 'is left if none of it may be used', inside: [], outside: [load('c', 30)], expected: ['c'] }
  ]) {
    it(name, () => {
      const preferred = new Set(['a', 'b'])
      expect(subsetCandidates([...inside, ...outside], preferred, 'here').map(({ definition }) => definition.id)).to.deep.equal(expected)
    })
  }
})

describe('the rate of requests', () => {
  it('approaches the rate of a constant load and expires', () => {
    const rate = new RequestRate()
    expect(rate.perSecond(0)).to.equal(0)
    for (let now = 0; now < 60_000; now += 250) rate.record(now)
    expect(rate.perSecond(60_000)).to.be.closeTo(4, 0.2)
    expect(rate.perSecond(120_000)).to.be.below(0.02)
  })
})
