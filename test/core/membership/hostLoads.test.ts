/** The loads of other hosts, as known from messages that arrive in any order. */

import { expect } from 'chai'
import { asHostId } from '../../../src/base/common/ids.ts'
import { HostLoads } from '../../../src/core/common/membership/hostLoads.ts'

const host = asHostId('a/1')
const otherHosts = Array.from({ length: 40 }, (_, index) => asHostId(`h${index}/1`))

describe('the loads of other hosts', () => {
  it('are not replaced by older ones that arrive later', () => {
    // Guards against callers that are sent to a host that has announced that it accepts none.
    const loads = new HostLoads()
    loads.record({ host, load: 1, ageMs: 100 }, 5000)
    loads.record({ host, load: 0.2, ageMs: 3000 }, 6000)
    expect(loads.loadOf(host)).to.equal(1)
    loads.record({ host, load: 0.2, ageMs: 0 }, 6000)
    expect(loads.loadOf(host)).to.equal(0.2)
  })

  it('are passed on with their age, changed ones first, and in turn if none changes', () => {
    // Guards against a change that waits behind loads that are stated again and again.
    const loads = new HostLoads()
    for (const other of otherHosts) loads.record({ host: other, load: 0, ageMs: 0 }, 0)
    const taken = [1, 2, 3].flatMap((round) => loads.take(round * 100, false).map(({ host: passed }) => passed))
    expect(new Set(taken).size).to.equal(otherHosts.length)
    loads.record({ host, load: 0.9, ageMs: 0 }, 400)
    for (const other of otherHosts) loads.record({ host: other, load: 0.05, ageMs: 0 }, 450)
    expect(loads.take(500, false)[0]).to.deep.equal({ host, load: 0.9, ageMs: 100 })
  })

  it('are all passed on with the full member table, and forgotten with their host', () => {
    const loads = new HostLoads()
    for (const other of otherHosts) loads.record({ host: other, load: 0, ageMs: 0 }, 0)
    expect(loads.take(0, true)).to.have.length(otherHosts.length)
    loads.delete(otherHosts[0] ?? host)
    expect([loads.take(0, true).length, loads.loadOf(otherHosts[0] ?? host)]).to.deep.equal([otherHosts.length - 1, undefined])
  })
})
