/** The order, the waiting times, the retry hints and the limits of the call queue. */

import { expect } from 'chai'
import fc from 'fast-check'
import type { QueuedCallKey, WorkspaceName } from '../../../src/base/common/ids.ts'
import { asQueuedCallKey } from '../../../src/base/common/ids.ts'
import type { QueuedCall, QueueOffer } from '../../../src/core/common/calls/callQueue.ts'
import { CallQueue, capRetryAfterMs } from '../../../src/core/common/calls/callQueue.ts'
import { newSeededChance } from '../../support/manualClock.ts'

const SERVICE = 's'
const LIMITS = { calls: 256, bytes: 8_388_608 }
const workspace = (name: string): WorkspaceName => name as WorkspaceName

function newCall (key: string, details: Partial<QueuedCall> = {}): QueuedCall {
  return { key: asQueuedCallKey(key), service: SERVICE, rank: 2, workspace: undefined, arrivedAt: 0, objectiveAt: 300, deadlineAt: 1500, returned: false, bytes: 0, ...details }
}

/** A queue whose targets are expected to start a number of calls per second. */
function newQueue (startsPerSecond = 100, limits = LIMITS): CallQueue {
  const queue = new CallQueue(limits)
  queue.observe(SERVICE, { answerMs: 100, startsPerSecond, inFlight: 0, hasIdleSlot: false })
  return queue
}

const offer = (queue: CallQueue, call: QueuedCall, now = 0, hasRoom = false): QueueOffer => queue.offer(call, now, { hasRoom, random: 0.5 })

/** Starts the next call. */
function start (queue: CallQueue, now: number): string | undefined {
  queue.released(SERVICE)
  const call = queue.next(SERVICE, now)
  if (call !== undefined) queue.started(call.key, now)
  return call?.key
}

function startAll (queue: CallQueue, now: number): string[] {
  const keys: string[] = []
  for (let key = start(queue, now); key !== undefined; key = start(queue, now)) keys.push(key)
  return keys
}

describe('the order of the call queue', () => {
  it('is rank, in time, returned, workspace, objective', () => {
    const queue = newQueue()
    const calls = [
      newCall('late-urgent', { rank: 0, objectiveAt: 50 }),
      newCall('later-objective', { objectiveAt: 400 }),
      newCall('late', { objectiveAt: 50 }),
      newCall('late-returned', { objectiveAt: 60, returned: true }),
      newCall('returned', { objectiveAt: 500, returned: true }),
      newCall('urgent', { rank: 0, objectiveAt: 900 }),
      newCall('earlier-objective', { objectiveAt: 350 })
    ]
    for (const call of calls) expect(offer(queue, call).type).to.equal('wait')
    expect(startAll(queue, 0)).to.deep.equal(['urgent', 'late-urgent', 'returned', 'earlier-objective', 'later-objective', 'late-returned', 'late'])
  })

  it('starts calls that can still meet their objective before those that became late while they waited', () => {
    // Guards against service by deadline under overload, which makes every call late.
    const queue = newQueue()
    offer(queue, newCall('old', { objectiveAt: 300 }), 0)
    offer(queue, newCall('new', { arrivedAt: 210, objectiveAt: 510, deadlineAt: 1710 }), 210)
    expect(startAll(queue, 210)).to.deep.equal(['new', 'old'])
  })

  it('runs a call at once only if a target has room and no call waits', () => {
    const queue = newQueue()
    expect(offer(queue, newCall('a'), 0, true).type).to.equal('run')
    expect(offer(queue, newCall('b'), 0).type).to.equal('wait')
    expect(offer(queue, newCall('c'), 0, true).type).to.equal('wait')
  })

  it('gives one of eight starts to the call that has waited longest below the best rank', () => {
    // Guards against a rank that is never served while more urgent calls keep arriving.
    const queue = newQueue(1000)
    for (let index = 0; index < 40; index++) offer(queue, newCall(`u${index}`, { rank: 0, objectiveAt: 10_000, deadlineAt: 20_000 }))
    for (const [index, rank] of [5, 3, 5].entries()) offer(queue, newCall(`l${index}`, { rank, objectiveAt: 10_000, deadlineAt: 20_000 }))
    const started = startAll(queue, 1)
    expect(['l0', 'l1', 'l2'].map((key) => started.indexOf(key))).to.deep.equal([7, 15, 23])
  })

  it('lets a workspace that sends ten times as much as the others wait for them', () => {
    // Guards against a heavy workspace that takes the share of the others: all of its calls are earlier than theirs.
    const queue = newQueue(1000)
    const long = { objectiveAt: 10_000, deadlineAt: 20_000 }
    for (let index = 0; index < 40; index++) offer(queue, newCall(`heavy${index}`, { ...long, workspace: workspace('heavy') }), index / 100)
    for (const name of ['a', 'b']) for (let index = 0; index < 4; index++) offer(queue, newCall(`${name}${index}`, { ...long, objectiveAt: 11_000, workspace: workspace(name) }), 1)
    const first = startAll(queue, 2).slice(0, 12)
    expect(first.filter((key) => key.startsWith('heavy'))).to.have.length(4)
  })

  it('counts the starts of a workspace for some seconds, also those without a wait', () => {
    const queue = newQueue()
    const long = { objectiveAt: 100_000, deadlineAt: 200_000 }
    for (let index = 0; index < 3; index++) offer(queue, newCall(`x${index}`, { ...long, workspace: workspace('x') }), 0, true)
    const waitAndStart = (now: number, round: string): string[] => {
      offer(queue, newCall(`x${round}`, { ...long, workspace: workspace('x') }), now)
      offer(queue, newCall(`y${round}`, { ...long, objectiveAt: 100_001, workspace: workspace('y') }), now)
      return startAll(queue, now)
    }
    expect(waitAndStart(1000, 'r')).to.deep.equal(['yr', 'xr'])
  })

  it('returns a call that targets refused to its head', () => {
    const queue = newQueue()
    offer(queue, newCall('a'))
    queue.released(SERVICE)
    expect(queue.next(SERVICE, 1)?.key).to.equal('a')
    offer(queue, newCall('urgent', { rank: 0 }), 1)
    queue.putBack(asQueuedCallKey('a'), 2)
    expect(startAll(queue, 3)).to.deep.equal(['a', 'urgent'])
  })
})

describe('a waiting call', () => {
  it('tries targets after each release once, otherwise every 40 ms', () => {
    // Guards against calls that each ask all targets again every 40 ms.
    const queue = newQueue()
    offer(queue, newCall('a'), 0)
    offer(queue, newCall('b'), 0)
    expect(queue.next(SERVICE, 10)).to.equal(undefined)
    queue.released(SERVICE)
    expect(queue.next(SERVICE, 10)?.key).to.equal('a')
    queue.putBack(asQueuedCallKey('a'), 12)
    expect(queue.next(SERVICE, 49)).to.equal(undefined)
    expect(queue.next(SERVICE, 50)?.key).to.equal('a')
  })

  it('is refused at once if its expected start is later than half of its time', () => {
    const queue = newQueue(10)
    const offers = Array.from({ length: 9 }, (_, index) => offer(queue, newCall(`c${index}`, { objectiveAt: 10_000 })).type)
    // With 10 starts per second, the eighth call would start after 800 ms of 1500.
    expect(offers).to.deep.equal([...Array.from({ length: 7 }, () => 'wait'), 'refuse', 'refuse'])
  })

  it('is refused at once if it could not be answered within its limit', () => {
    const queue = newQueue(10)
    queue.observe(SERVICE, { answerMs: 1450, startsPerSecond: 10, inFlight: 0, hasIdleSlot: false })
    expect(offer(queue, newCall('a')).type).to.equal('refuse')
  })

  it('is refused once the drain has stopped, and so are new calls', () => {
    // Guards against calls that are held until half of their time is over by the rate of a service that no longer starts calls.
    const queue = newQueue(100)
    for (let index = 0; index < 30; index++) offer(queue, newCall(`c${index}`, { deadlineAt: 3000 }), 0)
    for (let index = 0; index < 10; index++) start(queue, index * 10)
    expect(queue.refusals(100, () => 0.5)).to.deep.equal([])
    const refusedAt = new Map<QueuedCallKey, number>()
    for (let now = 140; now <= 1500; now += 40) for (const { key } of queue.refusals(now, () => 0.5)) refusedAt.set(key, now)
    expect(refusedAt.size).to.equal(20)
    expect([...refusedAt.values()].filter((at) => at < 1200).length).to.be.at.least(15)
    expect(queue.waitingCount(SERVICE)).to.equal(0)
  })

  it('is expected to wait as long as the measured rate says', () => {
    const queue = newQueue(1)
    for (let index = 0; index < 60; index++) offer(queue, newCall(`c${index}`, { objectiveAt: 100_000, deadlineAt: 200_000 }), 0)
    for (let now = 20; now <= 1000; now += 20) start(queue, now)
    expect(queue.drainRate(SERVICE, 1000)).to.be.within(22, 51)
    for (let now = 1020; now <= 1100; now += 20) start(queue, now)
    expect(queue.drainRate(SERVICE, 1100)).to.be.within(22, 51)
  })

  it('counts as late no more than half of its time after its arrival, also if it was put back', () => {
    const queue = newQueue()
    offer(queue, newCall('a'), 0)
    queue.released(SERVICE)
    queue.next(SERVICE, 740)
    queue.putBack(asQueuedCallKey('a'), 760)
    expect(queue.refusals(760, () => 0.5).map(({ key, why }) => `${key} ${why}`)).to.deep.equal(['a late'])
  })
})

describe('the retry hint of the call queue', () => {
  it('grows with the queue, varies, and stays within a third of the remaining time', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 5000 }), fc.integer({ min: 0, max: 60 }), fc.double({ min: 0, max: 0.999, noNaN: true }), (limitMs, waiting, random) => {
      const queue = newQueue(20)
      for (let index = 0; index < waiting; index++) offer(queue, newCall(`w${index}`, { deadlineAt: 100_000 }))
      const refused = queue.offer(newCall('x', { deadlineAt: limitMs, rank: 9 }), 0, { hasRoom: false, random })
      if (refused.type !== 'refuse') return
      expect(refused.retryAfterMs).to.be.at.most(limitMs / 3)
      if (limitMs >= 60) expect(refused.retryAfterMs).to.be.at.least(20)
    }))
  })

  it('is spread by a quarter around the expected wait', () => {
    // Guards against refused callers that all return at the same time.
    const hints = [0, 0.5, 0.999].map((random) => {
      const queue = newQueue(20)
      for (let index = 0; index < 15; index++) offer(queue, newCall(`w${index}`, { deadlineAt: 10_000 }))
      const refused = queue.offer(newCall('x', { deadlineAt: 1500 }), 0, { hasRoom: false, random })
      return refused.type === 'refuse' ? refused.retryAfterMs : undefined
    })
    // 16 calls at 20 per second are 800 ms, and a third of 1500 ms is the limit.
    expect(hints).to.deep.equal([500, 500, 500])
    expect([600, 12, -5].map((remaining) => capRetryAfterMs(500, remaining))).to.deep.equal([200, 0, 0])
    const short = [0, 0.5, 0.999].map((random) => {
      const queue = newQueue(10)
      offer(queue, newCall('w', { deadlineAt: 10_000 }))
      const refused = queue.offer(newCall('x', { deadlineAt: 1500, arrivedAt: -1300 }), 0, { hasRoom: false, random })
      return refused.type === 'refuse' ? refused.retryAfterMs : undefined
    })
    expect(short).to.deep.equal([150, 200, 240])
  })
})

describe('the limits of the call queue', () => {
  it('refuse the last call in the order, which may be the new one', () => {
    const queue = newQueue(1000, { calls: 2, bytes: 100 })
    offer(queue, newCall('a', { rank: 1 }))
    offer(queue, newCall('b', { rank: 5 }))
    expect(offer(queue, newCall('c', { rank: 6 }))).to.include({ type: 'refuse', why: 'full' })
    expect(offer(queue, newCall('d', { rank: 0 })).type).to.equal('wait')
    expect(queue.refusals(0, () => 0.5).map(({ key, why }) => `${key} ${why}`)).to.deep.equal(['b full'])
    expect(startAll(queue, 0)).to.deep.equal(['d', 'a'])
  })

  it('refuse calls until the bodies fit, and a body that cannot fit without displacing any', () => {
    const queue = newQueue(1000, { calls: 10, bytes: 100 })
    for (const key of ['a', 'b']) offer(queue, newCall(key, { bytes: 45 }))
    expect(offer(queue, newCall('huge', { rank: 0, bytes: 101 }))).to.include({ type: 'refuse', why: 'full' })
    expect(offer(queue, newCall('middle', { rank: 3, bytes: 20 }))).to.include({ type: 'refuse', why: 'full' })
    expect(queue.waitingCount()).to.equal(2)
    expect(offer(queue, newCall('large', { rank: 0, bytes: 90 })).type).to.equal('wait')
    expect(queue.refusals(0, () => 0.5).map(({ key }) => key).sort()).to.deep.equal(['a', 'b'])
  })

  it('hold for any calls', () => {
    const chance = newSeededChance(7)
    const queue = newQueue(1000, { calls: 20, bytes: 500 })
    const waitingBytes = new Map<string, number>()
    for (let index = 0; index < 500; index++) {
      const bytes = Math.floor(chance.next() * 120)
      if (offer(queue, newCall(`k${index}`, { rank: Math.floor(chance.next() * 4), bytes }), index).type === 'wait') waitingBytes.set(`k${index}`, bytes)
      for (const { key } of queue.refusals(index, () => chance.next())) waitingBytes.delete(key)
      if (chance.next() < 0.3) waitingBytes.delete(start(queue, index) ?? '')
      expect(queue.waitingCount()).to.equal(waitingBytes.size)
      expect(waitingBytes.size).to.be.at.most(20)
      expect([...waitingBytes.values()].reduce((sum, size) => sum + size, 0)).to.be.at.most(500)
    }
  })
})
