/** Who occupies memory when clients want more than there is. */

import { expect } from 'chai'
import type { MemoryHolder } from '../../../src/core/common/overload/memoryBudget.ts'
import { MemoryBudget } from '../../../src/core/common/overload/memoryBudget.ts'
import { SeededRandom } from '../../soak/seededRandom.ts'

const STALLED_MS = 1000

/** A client that occupies memory until it gives it up. */
class Client implements MemoryHolder {
  progress: number | undefined = 0
  bytes = 0
  isClosed = false

  constructor (private readonly budget: MemoryBudget) {}

  request (bytes: number, now: number): boolean {
    if (!this.budget.reserve({ bytes, now, minimumStalledMs: STALLED_MS })) return false
    this.bytes += bytes
    this.budget.touch(this, now)
    return true
  }

  giveUp (): void {
    this.isClosed = true
    this.finish()
  }

  finish (): void {
    this.budget.remove(this)
    this.budget.free(this.bytes)
    this.bytes = 0
  }
}

describe('the memory of clients', () => {
  it('is taken from the client that has stopped for the longest time, and from none that has not', () => {
    const budget = new MemoryBudget(100)
    const [first, second, third] = [new Client(budget), new Client(budget), new Client(budget)]
    expect([first.request(40, 0), second.request(40, 100), third.request(40, 200)]).to.deep.equal([true, true, false])
    expect(third.request(40, 1050)).to.equal(true)
    expect([first.isClosed, second.isClosed]).to.deep.equal([true, false])
    second.progress = 1
    expect(new Client(budget).request(40, 1200)).to.equal(false)
    expect([second.isClosed, third.isClosed]).to.deep.equal([false, false])
  })

  it('is not taken from anyone for a client that wants more than there is in all', () => {
    // Guards against a request that cannot be served and closes the connections of all others.
    const budget = new MemoryBudget(100)
    const client = new Client(budget)
    expect(client.request(60, 0)).to.equal(true)
    expect(new Client(budget).request(101, 5000)).to.equal(false)
    expect(client.isClosed).to.equal(false)
    expect(budget.availableBytes).to.equal(40)
  })

  it('is left to a client that is being served', () => {
    const budget = new MemoryBudget(100)
    const client = new Client(budget)
    expect(client.request(60, 0)).to.equal(true)
    client.progress = undefined
    expect(new Client(budget).request(60, 5000)).to.equal(false)
    expect(client.isClosed).to.equal(false)
  })

  it('is there for clients that send, in a replay of crowds that stop with bodies and heads', () => {
    // Load pattern: 400 clients with 200 KB each and 700 with 60 KB each stop short of the end of their requests, and come back when they
    // are closed; others send 30 KB each within 400 ms, 25 a second.
    const budget = new MemoryBudget(67_108_864)
    const random = new SeededRandom(54)
    const crowd = Array.from({ length: 1100 }, (_, index) => ({ client: new Client(budget), wants: index < 400 ? 200_000 : 60_000 }))
    const finishAt = new Map<Client, number>()
    let [served, refused, closed] = [0, 0, 0]
    for (let now = 0; now < 60_000; now += 40) {
      for (const member of crowd) {
        if (member.client.isClosed && random.chance(0.02)) member.client = new Client(budget)
        if (!member.client.isClosed && member.client.bytes === 0 && !member.client.request(member.wants, now)) member.client.isClosed = true
      }
      for (const [client, end] of finishAt) {
        if (client.isClosed) closed++
        else if (now >= end) {
          client.finish()
          served++
        } else {
          client.progress = now
          continue
        }
        finishAt.delete(client)
      }
      const client = new Client(budget)
      if (client.request(30_000, now)) finishAt.set(client, now + 400)
      else if (now > STALLED_MS) refused++
    }
    expect({ closed }).to.deep.equal({ closed: 0 })
    expect(served).to.be.above(refused * 9)
  })
})
