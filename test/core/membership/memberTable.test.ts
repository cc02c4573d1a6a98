/** The member table: which update supersedes which, and convergence of all hosts. */

import { expect } from 'chai'
import fc from 'fast-check'
import { asHostId, asFailureDomain } from '../../../src/base/common/ids.ts'
import type { MemberStatus, MemberUpdate } from '../../../src/core/common/membership/memberTable.ts'
import { MemberTable } from '../../../src/core/common/membership/memberTable.ts'

const settings = { suspicionMs: 100, forgetMs: 1000 }

function createUpdate (host: string, status: MemberStatus, incarnation: number): MemberUpdate {
  return { host: asHostId(host), address: `http://${host}`, place: asFailureDomain('Abdali'), status, incarnation }
}

function createTable (host = 'self'): MemberTable {
  return new MemberTable({ host: asHostId(host), address: `http://${host}`, place: asFailureDomain('Abdali') }, settings, 0)
}

const rules: readonly { name: string, first: readonly [MemberStatus, number], second: readonly [MemberStatus, number], wins: boolean }[] = [
  { name: 'suspect supersedes alive of the same incarnation', first: ['alive', 1], second: ['suspect', 1], wins: true },
  { name: 'alive of the same incarnation does not supersede suspect', first: ['suspect', 1], second: ['alive', 1], wins: false },
  { name: 'alive of a higher incarnation supersedes suspect', first: ['suspect', 1], second: ['alive', 2], wins: true },
  { name: 'leaving supersedes alive', first: ['alive', 2], second: ['leaving', 2], wins: true },
  { name: 'dead supersedes suspect', first: ['suspect', 3], second: ['dead', 3], wins: true },
  { name: 'dead of an earlier incarnation does not supersede alive', first: ['alive', 4], second: ['dead', 3], wins: false },
  { name: 'alive of a later incarnation supersedes dead, so both sides rejoin after a network partition', first: ['dead', 3], second: ['alive', 4], wins: true }
]

describe('the member table', () => {
  for (const { name, first, second, wins } of rules) {
    it(name, () => {
      const members = createTable()
      members.merge(createUpdate('a', ...first), 0)
      expect(members.merge(createUpdate('a', ...second), 1)).to.equal(wins)
      expect(members.get(asHostId('a'))?.status).to.equal(wins ? second[0] : first[0])
    })
  }

  it('refutes an update that declares this host dead', () => {
    const members = createTable()
    members.merge(createUpdate('self', 'dead', 5), 0)
    expect(members.selfUpdate).to.include({ status: 'alive', incarnation: 6 })
  })

  it('stays leaving when it refutes a suspicion', () => {
    const members = createTable()
    members.leave(0)
    members.merge(createUpdate('self', 'suspect', 2), 1)
    expect(members.selfUpdate).to.include({ status: 'leaving', incarnation: 3 })
  })

  it('declares a suspect dead after the suspicion timeout and removes it later', () => {
    const members = createTable()
    members.merge(createUpdate('a', 'alive', 1), 0)
    members.suspect(asHostId('a'), 10)
    expect(members.expire(109)).to.deep.equal([])
    expect(members.expire(110).map(({ host }) => host)).to.deep.equal(['a'])
    members.expire(1110)
    expect(members.get(asHostId('a'))).to.equal(undefined)
  })

  it('sends a bounded number of updates, each a bounded number of times', () => {
    const members = createTable()
    for (let index = 0; index < 100; index++) members.merge(createUpdate(`host-${index}`, 'alive', 1), 0)
    let sent = 0
    let messages = 0
    for (let updates = members.takeUpdates(); updates.length > 0; updates = members.takeUpdates()) {
      expect(updates.length).to.be.at.most(12)
      sent += updates.length
      messages++
    }
    expect(sent).to.equal(101 * 21)
    expect(messages).to.be.below(200)
  })

  it('sends updates of hosts that leave or fail before those of hosts that start', () => {
    // Guards against work for a host that has left: while 195 hosts start, each message has room for 12 updates, and two hosts
    // had not heard of a leaving host when it stopped serving.
    const members = createTable()
    members.takeUpdates()
    members.merge(createUpdate('leaving', 'alive', 1), 0)
    for (let index = 0; index < 100; index++) members.merge(createUpdate(`host-${index}`, 'alive', 1), 0)
    members.takeUpdates()
    members.merge(createUpdate('leaving', 'leaving', 2), 0)
    members.merge(createUpdate('host-9', 'suspect', 1), 0)
    expect(members.takeUpdates().slice(0, 2).map(({ host, status }) => `${host} ${status}`)).to.have.members(['leaving leaving', 'host-9 suspect'])
  })

  it('converges whatever the order of the updates', () => {
    const updates = fc.array(fc.record({ host: fc.constantFrom('a', 'b', 'c'), status: fc.constantFrom<MemberStatus>('alive', 'leaving', 'suspect', 'dead'), incarnation: fc.integer({ min: 1, max: 4 }) }), { maxLength: 20 })
    fc.assert(fc.property(updates, fc.integer(), (items, seed) => {
      const [one, other] = [createTable('x'), createTable('x')]
      const shuffled = items.map((item, index) => ({ item, key: (index * 7919 + seed) % 101 })).sort((a, b) => a.key - b.key).map(({ item }) => item)
      for (const item of items) one.merge(createUpdate(item.host, item.status, item.incarnation), 0)
      for (const item of shuffled) other.merge(createUpdate(item.host, item.status, item.incarnation), 0)
      expect(other.summary()).to.equal(one.summary())
    }), { seed: 4, numRuns: 300 })
  })
})
