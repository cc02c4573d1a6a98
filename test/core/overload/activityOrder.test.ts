/** Which client gives up its part of a limited resource. */

import { expect } from 'chai'
import { ActivityOrder } from '../../../src/core/common/overload/activityOrder.ts'
import { SeededRandom } from '../../soak/seededRandom.ts'

const MINIMUM_MS = 1000

describe('the order of activity', () => {
  it('finds the item that has made no progress for the longest time', () => {
    const progress = new Map([['a', 0], ['b', 0], ['c', 0]])
    const order = new ActivityOrder<string>((item) => progress.get(item) ?? 0)
    for (const [index, item] of ['a', 'b', 'c'].entries()) order.touch(item, index)
    expect(order.leastActive(900, MINIMUM_MS)).to.equal(undefined)
    expect(order.leastActive(1000, MINIMUM_MS)).to.equal('a')
    order.touch('a', 1000)
    expect(order.leastActive(1500, MINIMUM_MS)).to.equal('b')
    order.delete('b')
    expect(order.leastActive(1500, MINIMUM_MS)).to.equal('c')
  })

  it('spares an item that makes progress without being touched', () => {
    // Guards against giving up a slow client that still sends, in favour of one that has stopped.
    const progress = new Map([['slow', 0], ['stopped', 0]])
    const order = new ActivityOrder<string>((item) => progress.get(item) ?? 0)
    order.touch('slow', 0)
    order.touch('stopped', 1)
    progress.set('slow', 1)
    expect(order.leastActive(2000, MINIMUM_MS)).to.equal('stopped')
    order.delete('stopped')
    expect(order.leastActive(2000, MINIMUM_MS)).to.equal(undefined)
    expect(order.leastActive(3000, MINIMUM_MS)).to.equal('slow')
  })

  it('spares an item that must keep its part', () => {
    // Guards against closing the connection of a client that waits for the response to its request.
    let isServed = true
    const order = new ActivityOrder<string>(() => isServed ? undefined : 0)
    order.touch('waiting', 0)
    expect(order.leastActive(4000, 0)).to.equal(undefined)
    expect(order.leastActive(5000, MINIMUM_MS)).to.equal(undefined)
    isServed = false
    expect(order.leastActive(7000, MINIMUM_MS)).to.equal(undefined)
    expect(order.leastActive(8000, MINIMUM_MS)).to.equal('waiting')
  })

  it('keeps room for clients that send, in a replay of a crowd that stops', () => {
    // Load pattern: 400 clients take all places and stop; ordinary clients then come one by one, each sending until it is done after 2 s.
    const PLACES = 400
    const random = new SeededRandom(54)
    const sent = new Map<string, number>()
    const order = new ActivityOrder<string>((client) => sent.get(client) ?? 0)
    const finishAt = new Map<string, number>()
    let [served, refused, ordinaryEvicted] = [0, 0, 0]
    for (let index = 0; index < PLACES; index++) order.touch(`crowd-${index}`, 0)
    for (let now = 1000; now < 61_000; now += 20) {
      for (const [client, end] of finishAt) {
        sent.set(client, (sent.get(client) ?? 0) + 1)
        if (now < end) continue
        order.delete(client)
        finishAt.delete(client)
        served++
      }
      if (random.chance(0.5)) continue
      if (order.size >= PLACES) {
        const victim = order.leastActive(now, MINIMUM_MS)
        if (victim === undefined) {
          refused++
          continue
        }
        order.delete(victim)
        if (finishAt.delete(victim)) ordinaryEvicted++
      }
      const client = `ordinary-${now}`
      order.touch(client, now)
      finishAt.set(client, now + 2000)
    }
    expect({ refused, ordinaryEvicted }).to.deep.equal({ refused: 0, ordinaryEvicted: 0 })
    expect(served).to.be.above(1000)
  })
})
