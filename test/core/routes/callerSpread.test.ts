/** The hosts that address queries list: the spread of callers over unequal hosts, and the changes of the list. */

import { expect } from 'chai'
import fc from 'fast-check'
import { createHash } from '../../../src/adapters/node/xxHash.ts'
import { asFailureDomain } from '../../../src/base/common/ids.ts'
import type { SpreadMember, SpreadRequest } from '../../../src/core/common/routes/callerSpread.ts'
import { MAX_LISTED_HOSTS, selectHosts, spreadSlice } from '../../../src/core/common/routes/callerSpread.ts'
import type { Hash } from '../../../src/ports/common/hash.ts'
import { newSeededChance } from '../../support/manualClock.ts'

type Selection = (place: string, slice: number) => readonly SpreadMember[]

const DOMAINS = ['a', 'b', 'c', 'd']
const CALLERS = 230
/** Callers connect more often than in the deployment, so that the shares depend on the lists and not on the chance of few picks. */
const PICKS_PER_SECOND = 200
const WARM_UP_MS = 8000
const MEASURED_MS = 30_000
/** Slices for which frequencies are counted: 16 turns, in which the points come to every part of the line. */
const COUNTED_SLICES = 240
const STEPS_PER_SLICE = 4
const COUNTED_STEPS = COUNTED_SLICES * STEPS_PER_SLICE
/** A slice of the present time, as slices are counted from the epoch. */
const FIRST_SLICE = 898_000_000
const SLICE_MS = 2000

/** Numbers of hosts of each size in the failure domains, which have 12.5 to 12.6 cores each: callers are spread evenly over the domains, so the hosts of a smaller domain could not have a fair share. */
const HOST_COUNTS = [{ size: 1.35, counts: [5, 5, 4, 4] }, { size: 0.81, counts: [3, 3, 4, 5] }, { size: 0.243, counts: [14, 14, 16, 13] }]

/** 90 hosts of three sizes in four failure domains, the largest first. */
function newHosts (changes: (index: number) => Partial<SpreadMember> = () => ({})): SpreadMember[] {
  const hosts = HOST_COUNTS.flatMap(({ size, counts }) => counts.flatMap((count, domain) => Array.from({ length: count }, () => ({ size, place: asFailureDomain(DOMAINS[domain] ?? '') }))))
  return hosts.map((host, index) => ({ ...host, id: `http://10.0.0.${index}:7000`, load: 0, ...changes(index) }))
}

/** Callers of all domains keep each list for 2 to 6 s and pick one of its hosts at random. Returns the connections of each host over 30 s. */
function replayCallers (select: Selection, seed: number): Map<string, number> {
  const chance = newSeededChance(seed)
  const beganAt = (FIRST_SLICE + seed * 977) * SLICE_MS
  const lists = new Map<string, readonly SpreadMember[]>()
  const counts = new Map<string, number>()
  for (let caller = 0; caller < CALLERS; caller++) {
    const place = DOMAINS[caller % DOMAINS.length] ?? ''
    let list: readonly SpreadMember[] = []
    let keptUntil = 0
    const startsAt = chance.next() * SLICE_MS
    for (let now = startsAt; now < WARM_UP_MS + MEASURED_MS; now += 1000 / PICKS_PER_SECOND) {
      if (now >= keptUntil) {
        const slice = spreadSlice(beganAt + now)
        const key = `${place} ${slice}`
        list = lists.get(key) ?? select(place, slice)
        lists.set(key, list)
        keptUntil = now + 2000 + chance.next() * 4000
      }
      const picked = list[Math.floor(chance.next() * list.length)]
      if (now >= WARM_UP_MS && picked !== undefined) counts.set(picked.id, (counts.get(picked.id) ?? 0) + 1)
    }
  }
  return counts
}

/** Returns the largest connection count of a host relative to its share by size. */
function busiestShare (hosts: readonly SpreadMember[], counts: ReadonlyMap<string, number>): number {
  const connections = [...counts.values()].reduce((sum, count) => sum + count, 0)
  const capacity = hosts.reduce((sum, { size = 1 }) => sum + size, 0)
  return Math.max(...hosts.map(({ id, size = 1 }) => ((counts.get(id) ?? 0) / connections) / (size / capacity)))
}

describe('the spread of callers', () => {
  let hash: Hash
  before(async () => { hash = await createHash() })

  function select (members: readonly SpreadMember[], request: Partial<SpreadRequest<SpreadMember>> = {}): SpreadMember[] {
    return selectHosts({ members, slice: FIRST_SLICE, hash, limit: MAX_LISTED_HOSTS, ...request })
  }

  function selectIds (members: readonly SpreadMember[], request: Partial<SpreadRequest<SpreadMember>> = {}): string[] {
    return select(members, request).map(({ id }) => id)
  }

  /** Returns the share of callers that each host receives over many slices if each list is used equally. */
  function sharesOverTime (members: readonly SpreadMember[], place?: string): Map<string, number> {
    const shares = new Map<string, number>()
    for (let step = 0; step < COUNTED_STEPS; step++) {
      const listed = selectIds(members, { place, slice: FIRST_SLICE + step / STEPS_PER_SLICE })
      for (const id of listed) shares.set(id, (shares.get(id) ?? 0) + 1 / listed.length / COUNTED_STEPS)
    }
    return shares
  }

  for (const seed of [1, 2, 3, 4, 5]) {
    it(`gives the busiest of 90 hosts at most 1.3 times its share by size over 30 s (seed ${seed})`, () => {
      // Guards against lists drawn anew in each slice: with them the busiest host receives more than twice its share.
      const hosts = newHosts()
      const counts = replayCallers((place, slice) => select(hosts, { place, slice }), seed)
      expect(busiestShare(hosts, counts)).to.be.at.most(1.3)
      expect(counts.size, 'hosts with callers').to.equal(90)
    })
  }

  it('is needed: the first 64 hosts of the member table give a host three times its share, and 26 hosts none', () => {
    // Shows that the replay above can fail: this is the answer without the spread of callers.
    const hosts = newHosts()
    const counts = replayCallers(() => hosts.slice(0, MAX_LISTED_HOSTS), 1)
    expect(busiestShare(hosts, counts)).to.be.above(2)
    expect(counts.size, 'hosts with callers').to.equal(64)
  })

  it('replaces few hosts of a list from one slice to the next', () => {
    // Guards against lists drawn anew: a caller stops using its connections to hosts that are missing in a new list. Drawn
    // anew, three of ten hosts leave the list of a failure domain in each slice.
    const hosts = newHosts()
    for (const place of [undefined, ...DOMAINS]) {
      let left = 0
      let listed = 0
      for (let slice = FIRST_SLICE; slice < FIRST_SLICE + COUNTED_SLICES; slice++) {
        const former = selectIds(hosts, { place, slice })
        const present = new Set(selectIds(hosts, { place, slice: slice + 1 }))
        left += former.filter((id) => !present.has(id)).length
        listed += former.length
      }
      expect(left / listed, `fraction that leaves per slice, ${place ?? 'all domains'}`).to.be.at.most(0.16)
    }
  })

  it('keeps most of a list when loads change, a host stops accepting callers, or probes differ between hosts', () => {
    // Guards against positions that depend on loads or on the other hosts: a probe would then replace much of each list, and
    // each host would list others.
    const hosts = newHosts(() => ({ load: 0.15 }))
    const chance = newSeededChance(7)
    const changes: SpreadMember[][] = [
      hosts.map((host) => ({ ...host, load: 0.1 + 0.1 * chance.next() })),
      hosts.map((host, index) => index === 60 ? { ...host, load: 1 } : host),
      hosts.map((host, index) => index === 2 ? { ...host, load: 0.5 } : host)
    ]
    for (const [index, changed] of changes.entries()) {
      let missing = 0
      let listed = 0
      for (let slice = FIRST_SLICE; slice < FIRST_SLICE + 60; slice++) {
        const former = selectIds(hosts, { slice })
        const present = new Set(selectIds(changed, { slice }))
        missing += former.filter((id) => !present.has(id)).length
        listed += former.length
      }
      expect(missing / listed, `fraction replaced by change ${index}`).to.be.at.most(0.1)
    }
  })

  it('lists hosts of other failure domains for a domain that has less than half of a fair share', () => {
    // Guards against a domain whose few remaining hosts receive the callers of the whole domain.
    const hosts = newHosts().filter(({ place, size }, index) => place !== 'a' || size === 0.243 || index === 0)
    const total = hosts.reduce((sum, { size = 1 }) => sum + size, 0)
    const own = hosts.filter(({ place }) => place === 'a')
    const ownCapacity = own.reduce((sum, { size = 1 }) => sum + size, 0)
    const fairShare = total / 4
    expect(ownCapacity).to.be.below(fairShare / 2)
    const shares = sharesOverTime(hosts, 'a')
    const ownShare = own.reduce((sum, { id }) => sum + (shares.get(id) ?? 0), 0)
    expect(ownShare, 'share of the hosts of the domain').to.be.closeTo(ownCapacity / fairShare, 0.05)
    for (const { id, size = 1, place } of hosts.filter((host) => host.place !== 'a')) {
      const expected = (1 - ownCapacity / fairShare) * size / (total - ownCapacity)
      expect((shares.get(id) ?? 0) / expected, `share of ${id} in ${place}`).to.be.within(0.7, 1.3)
    }
  })

  it('lists only hosts of the requested failure domain if it has half of a fair share, and all hosts for an unknown domain or none', () => {
    // Guards against traffic between failure domains without need, and against an empty answer to a query with an unknown domain.
    const hosts = newHosts(() => ({ size: 1 })).filter(({ place }, index) => place !== 'b' || index < 52)
    for (let slice = FIRST_SLICE; slice < FIRST_SLICE + 20; slice++) {
      expect(new Set(select(hosts, { place: 'b', slice }).map(({ place }) => place))).to.deep.equal(new Set(['b']))
    }
    expect(new Set(select(hosts, { place: 'elsewhere' }).map(({ place }) => place)).size).to.equal(4)
    expect(selectIds(hosts, { place: 'elsewhere' })).to.deep.equal(selectIds(hosts))
  })

  it('lists hosts in proportion to their free capacity', () => {
    // Guards against loaded hosts that receive as many callers as idle ones of their size.
    const hosts = newHosts((index) => ({ load: [0, 0.3, 0.6][index % 3] ?? 0 }))
    const free = hosts.reduce((sum, { size = 1, load }) => sum + size * (1 - load), 0)
    const shares = sharesOverTime(hosts)
    const listed = new Map<string, number>()
    for (let step = 0; step < COUNTED_STEPS; step++) {
      for (const id of selectIds(hosts, { slice: FIRST_SLICE + step / STEPS_PER_SLICE })) listed.set(id, (listed.get(id) ?? 0) + 1 / COUNTED_STEPS)
    }
    for (const { id, size = 1, load } of hosts) {
      const description = `${id} of size ${size} with load ${load}`
      expect(listed.get(id), `fraction of the time for which ${description} is listed`).to.be.closeTo(size * (1 - load) / 1.35, 0.01)
      expect((shares.get(id) ?? 0) / (size * (1 - load) / free), `share of ${description}`).to.be.within(0.7, 1.3)
    }
  })

  it('lists hosts above 0.9 of their processor only if no others are left', () => {
    // Guards against callers of a saturated host, and against an empty list when all hosts are saturated.
    const hosts = newHosts((index) => ({ load: index < 20 ? 0.95 : 0.5 }))
    const saturated = new Set(hosts.slice(0, 20).map(({ id }) => id))
    const saturatedDomain = hosts.map((host) => ({ ...host, load: host.place === 'c' ? 0.95 : 0.5 }))
    for (let slice = FIRST_SLICE; slice < FIRST_SLICE + 60; slice++) {
      expect(selectIds(hosts, { slice }).filter((id) => saturated.has(id))).to.deep.equal([])
      expect(select(saturatedDomain, { place: 'c', slice }).filter(({ place }) => place === 'c')).to.deep.equal([])
    }
    expect(select(hosts.map((host) => ({ ...host, load: 0.95 }))).length).to.equal(select(hosts.map((host) => ({ ...host, load: 0 }))).length)
  })

  it('lists all hosts over time, very small ones too, and the largest always', () => {
    // Guards against a host between two points of the line, which would never receive a caller.
    const hosts = newHosts((index) => index >= 85 ? { size: 0.02 } : {})
    for (const place of [undefined, ...DOMAINS]) {
      const shares = sharesOverTime(hosts, place)
      const expected = hosts.filter((host) => place === undefined || host.place === place)
      expect(expected.filter(({ id }) => !shares.has(id))).to.deep.equal([])
      for (let slice = FIRST_SLICE; slice < FIRST_SLICE + 30; slice++) {
        expect(select(hosts, { place, slice }).filter(({ size }) => size === 1.35)).to.have.length(expected.filter(({ size }) => size === 1.35).length)
      }
    }
  })

  it('gives the same answer on hosts whose member tables have the same members in another order', () => {
    // Guards against an order of the line or of sums that depends on the order in which a host learned of the others.
    const hosts = newHosts((index) => ({ load: (index * 7 % 10) / 20 }))
    const chance = newSeededChance(3)
    for (let slice = FIRST_SLICE; slice < FIRST_SLICE + 30; slice++) {
      const shuffled = hosts.map((host) => ({ host, key: chance.next() })).sort((a, b) => a.key - b.key).map(({ host }) => host)
      for (const place of [undefined, ...DOMAINS]) expect(selectIds(shuffled, { place, slice })).to.deep.equal(selectIds(hosts, { place, slice }))
    }
  })

  it('counts a size of zero or below as the smallest known size, and an unknown size as one core', () => {
    // Guards against a host that is never listed, or a division by zero, because its settings have no usable size.
    const hosts = newHosts((index) => index < 30 ? { size: [0, -2, undefined][index % 3] } : {})
    const replaced = hosts.map((host) => ({ ...host, size: host.size === undefined ? 1 : host.size > 0 ? host.size : 0.243 }))
    const withoutSizes = newHosts(() => ({ size: 0 }))
    for (let slice = FIRST_SLICE; slice < FIRST_SLICE + 30; slice++) {
      expect(selectIds(hosts, { slice })).to.deep.equal(selectIds(replaced, { slice }))
      expect(select(withoutSizes, { slice })).to.have.length(64)
    }
  })

  it('lists a host that knows nobody else, and nobody if no host accepts callers', () => {
    // Guards against an empty answer of the first host to start, and against a host that is not ready or leaving in an answer.
    const [host] = newHosts()
    if (host === undefined) throw new Error('there are no hosts')
    expect(select([host], { place: 'elsewhere' })).to.deep.equal([host])
    expect(select([{ ...host, load: 1 }])).to.deep.equal([])
    expect(select([])).to.deep.equal([])
  })

  it('lists no host twice, none that accepts no callers, at most the limit, and at least one host if any accepts callers', () => {
    // Guards against combinations of sizes, loads and failure domains that the other tests do not have.
    const member = fc.record({ domain: fc.nat(4), size: fc.option(fc.double({ min: -1, max: 8, noNaN: true }), { nil: undefined }), load: fc.oneof(fc.constant(0), fc.constant(1), fc.double({ min: 0, max: 1, noNaN: true })) })
    fc.assert(fc.property(fc.array(member, { maxLength: 120 }), fc.nat(5), fc.nat(1_000_000), fc.integer({ min: 1, max: 70 }), (drawn, domain, slice, limit) => {
      const members = drawn.map(({ domain: at, size, load }, index) => ({ id: `h${index}`, place: asFailureDomain(`p${at}`), size, load }))
      const listed = select(members, { place: domain === 5 ? undefined : `p${domain}`, slice, limit })
      expect(new Set(listed.map(({ id }) => id)).size).to.equal(listed.length)
      expect(listed.filter(({ load }) => load >= 1)).to.deep.equal([])
      expect(listed.length).to.be.at.most(limit)
      if (members.some(({ load }) => load < 1) && limit > 1) expect(listed.length).to.be.at.least(1)
    }), { numRuns: 500, seed: 11 })
  })
})
