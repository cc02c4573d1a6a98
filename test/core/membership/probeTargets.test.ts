/** Which hosts a host probes. */

import { expect } from 'chai'
import { createHash } from '../../../src/adapters/node/xxHash.ts'
import { asHostId } from '../../../src/base/common/ids.ts'
import type { Hash } from '../../../src/ports/common/hash.ts'
import { probeNeighbours } from '../../../src/core/common/membership/probeTargets.ts'

const members = (count: number): { host: ReturnType<typeof asHostId> }[] => Array.from({ length: count }, (_, index) => ({ host: asHostId(`h${index}/a`) }))

describe('the neighbours that a host probes', () => {
  let hash: Hash
  before(async () => { hash = await createHash() })

  it('are all others in a small deployment', () => {
    for (const count of [1, 2, 12, 25]) {
      const [own, ...others] = members(count)
      expect(probeNeighbours(hash, own?.host ?? asHostId(''), others)).to.deep.equal(others)
    }
  })

  it('are few, and each host is the neighbour of equally many', () => {
    // Guards against hosts that few or no others probe, whose loss would be detected late.
    for (const count of [30, 90, 300]) {
      const all = members(count)
      const probers = new Map<string, number>()
      const sizes = new Set<number>()
      for (const own of all) {
        const neighbours = probeNeighbours(hash, own.host, all.filter((other) => other !== own))
        expect(new Set(neighbours).size).to.equal(neighbours.length)
        sizes.add(neighbours.length)
        for (const { host } of neighbours) probers.set(host, (probers.get(host) ?? 0) + 1)
      }
      const [size = 0] = sizes
      expect(sizes.size).to.equal(1)
      expect(size).to.be.within(12, 26)
      expect([...probers.values()]).to.deep.equal(Array(count).fill(size))
    }
  })
})
