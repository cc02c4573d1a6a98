/** Calls that wait at a host, and each way in which they leave its queue; whether they ran is checked at the targets. */

import { expect } from 'chai'
import type { Failure } from '../../../src/base/common/resultCode.ts'
import { failure } from '../../../src/base/common/resultCode.ts'
import type { Route } from '../../../src/core/common/routes/routeConfiguration.ts'
import type { RoutedRequest } from '../../../src/actors/common/routes/routedRequest.ts'
import type { CallOutcome, QueueHost } from '../../support/queueHarness.ts'
import { QueueHarness } from '../../support/queueHarness.ts'
import { newRoute } from '../../support/routes.ts'

/** A target that serves one call at a time has room for three: one that runs and two that wait there. */
const CALLS_WITH_ROOM = 3
const route = newRoute({ timeoutMs: 2000, objectiveMs: 500 })

interface Fixture {
  readonly harness: QueueHarness
  readonly host: QueueHost
  /** Calls of `send`, in order; the first three are at the target. */
  readonly outcomes: (CallOutcome | undefined)[]
  send (details?: Partial<RoutedRequest>, called?: Route): void
}

function createFixture ({ workMs = 100, limits = { calls: 256, bytes: 1000 }, targets = ['t'] }: { workMs?: number, limits?: { calls: number, bytes: number }, targets?: readonly string[] } = {}): Fixture {
  const harness = new QueueHarness(Object.fromEntries(targets.map((id) => [id, { slots: 1, queue: 10, workMs }])), 1, { queued: true, limits })
  const host = harness.host()
  const outcomes: (CallOutcome | undefined)[] = []
  const send = (details: Partial<RoutedRequest> = {}, called: Route = route): void => {
    const index = outcomes.push(undefined) - 1
    harness.call(host, called, details).then((outcome) => { outcomes[index] = outcome }, () => undefined)
  }
  host.operator.apply(1, [route])
  return { harness, host, outcomes, send }
}

/** Sends as many calls as the target has room for, and one that waits. */
function createFixtureWithWaitingCall (details: Partial<RoutedRequest> = {}, options: Parameters<typeof createFixture>[0] = {}): Fixture {
  const fixture = createFixture(options)
  for (let index = 0; index < CALLS_WITH_ROOM; index++) fixture.send()
  fixture.send(details)
  expect(fixture.host.queues?.waiting).to.equal(1)
  return fixture
}

function failureOf (outcome: CallOutcome | undefined): Failure | undefined {
  return outcome === undefined || outcome.result.ok ? undefined : outcome.result
}

/** Checks that the waiting call was answered immediately with a failure, and that it is true that it did not run. */
async function expectNotRun ({ harness, host, outcomes }: Fixture, code: string, retryAfterMs: number | undefined): Promise<void> {
  await harness.clock.advance(0)
  const failed = failureOf(outcomes[CALLS_WITH_ROOM])
  expect(failed?.code).to.equal(code)
  expect(failed?.retryAfterMs).to.equal(retryAfterMs)
  expect(host.queues?.waiting).to.equal(0)
  await harness.clock.advance(5000)
  expect(harness.client.ran).to.have.length(CALLS_WITH_ROOM)
  expect(harness.client.ran).to.not.include(outcomes[CALLS_WITH_ROOM]?.id)
}

describe('a call that every target refuses although it has room', () => {
  it('does not keep other calls from the targets', async () => {
    // Guards against one caller's requests that no target accepts keeping all others of the service at the head of the queue.
    const harness = new QueueHarness({ a: { slots: 4, queue: 10, workMs: 50 }, b: { slots: 4, queue: 10, workMs: 50 } }, 1, { queued: true })
    const host = harness.host()
    const refusedIds = new Set<string>()
    for (const id of ['a', 'b']) harness.client.target(id).refusesRequest = (request) => refusedIds.has(request)
    const sound: CallOutcome[] = []
    const refused: CallOutcome[] = []
    let calls = 0
    for (let at = 0; at < 4000; at += 25) {
      if (at % 100 === 0) {
        refusedIds.add(`q${calls++}`)
        harness.call(host, route).then((outcome) => { refused.push(outcome) }, () => undefined)
      }
      calls++
      harness.call(host, route).then((outcome) => { sound.push(outcome) }, () => undefined)
      await harness.clock.advance(25)
    }
    await harness.clock.advance(2000)
    expect([sound.length, refused.length]).to.deep.equal([160, 40])
    expect(sound.filter(({ result, tookMs }) => result.ok && tookMs <= route.objectiveMs).length).to.be.at.least(160 * 0.95)
    expect(refused.filter(({ result }) => !result.ok && result.code === 'overloaded')).to.have.length(40)
    expect(harness.client.target('a').refusals + harness.client.target('b').refusals).to.be.below(40 * 2 * 10)
  })
})

describe('a waiting call', () => {
  it('runs when a call of this host at the service has ended', async () => {
    const { harness, outcomes } = createFixtureWithWaitingCall()
    await harness.clock.advance(101)
    expect(harness.client.ran).to.have.length(2)
    await harness.clock.advance(400)
    expect(outcomes.map((outcome) => outcome?.result.ok)).to.deep.equal([true, true, true, true])
    expect(outcomes[CALLS_WITH_ROOM]?.tookMs).to.equal(402)
  })

  it('waits without asking targets while another one is at the head', async () => {
    // Guards against calls that each ask all targets again every 40 ms: 49 calls waited for a target that refuses everything.
    const { harness, send } = createFixture()
    harness.client.target('t').refusesAll = true
    for (let index = 0; index < 50; index++) send()
    await harness.clock.advance(1)
    const onArrival = harness.client.target('t').refusals
    await harness.clock.advance(400)
    expect(harness.client.target('t').refusals - onArrival).to.be.at.most(11)
  })

  it('leaves when its caller disconnects', async () => {
    const gone = new AbortController()
    const fixture = createFixtureWithWaitingCall({ gone: gone.signal })
    gone.abort()
    await expectNotRun(fixture, 'cancelled', undefined)
  })

  it('is refused as overloaded when its limit passes, even if the process was frozen', async () => {
    const fixture = createFixtureWithWaitingCall()
    fixture.harness.clock.freeze(5000)
    await expectNotRun(fixture, 'overloaded', 0)
  })

  it('is refused within half of its time if nothing starts', async () => {
    const fixture = createFixtureWithWaitingCall({}, { workMs: 10_000 })
    await fixture.harness.clock.advance(1000)
    const outcome = fixture.outcomes[CALLS_WITH_ROOM]
    expect(failureOf(outcome)?.code).to.equal('overloaded')
    expect(outcome?.tookMs).to.be.within(1, 1000)
    expect(fixture.harness.client.ran).to.not.include(outcome?.id)
  })

  it('is refused as unauthenticated when a newer configuration revokes its key', async () => {
    const access: { denied: Failure | undefined } = { denied: undefined }
    const fixture = createFixtureWithWaitingCall({ checkAccess: () => access.denied })
    access.denied = failure('unauthenticated', 'the key was revoked')
    fixture.host.operator.apply(2, [route])
    await expectNotRun(fixture, 'unauthenticated', undefined)
  })

  it('is refused as stale at its turn if this host cannot tell any more whether its key is valid', async () => {
    // Guards against keys that are accepted beyond the bound on their revocation because calls wait during an outage of the store.
    const access: { denied: Failure | undefined } = { denied: undefined }
    const fixture = createFixtureWithWaitingCall({ checkAccess: () => access.denied })
    access.denied = failure('stale', 'the key may have been revoked', { retryAfterMs: 100 })
    await fixture.harness.clock.advance(110)
    await expectNotRun(fixture, 'stale', 100)
  })

  for (const { name, routes } of [
    { name: 'has no such route', routes: [] },
    { name: 'has another route for its path', routes: [{ ...route, name: 'other' }] },
    { name: 'sends the route to another service', routes: [{ ...route, destinations: [{ service: 'other', weight: 1 }] }] },
    { name: 'gives its service no weight', routes: [{ ...route, destinations: [{ service: 's', weight: 0 }, { service: 'other', weight: 1 }] }] }
  ]) {
    it(`is refused as stale when a newer configuration ${name}`, async () => {
      const fixture = createFixtureWithWaitingCall()
      fixture.host.operator.apply(2, routes)
      await expectNotRun(fixture, 'stale', 0)
    })
  }

  it('keeps its place when a newer configuration changes something else', async () => {
    const { harness, host, outcomes } = createFixtureWithWaitingCall()
    host.operator.apply(2, [{ ...route, objectiveMs: 400 }])
    await harness.clock.advance(1000)
    expect(outcomes[CALLS_WITH_ROOM]?.result.ok).to.equal(true)
  })

  it('is refused as leaving when the host stops, and so are later calls without room', async () => {
    const fixture = createFixtureWithWaitingCall()
    fixture.host.queues?.stop()
    fixture.send()
    await fixture.harness.clock.advance(0)
    expect(failureOf(fixture.outcomes[CALLS_WITH_ROOM + 1])).to.include({ code: 'leaving', retryAfterMs: 0 })
    await expectNotRun(fixture, 'leaving', 0)
  })

  it('is refused when all targets are gone', async () => {
    const fixture = createFixtureWithWaitingCall()
    fixture.host.table.remove('t', Number.NEGATIVE_INFINITY)
    await expectNotRun(fixture, 'noTarget', 300)
  })

  it('is refused when more urgent calls fill the queue', async () => {
    const fixture = createFixtureWithWaitingCall({}, { workMs: 200, limits: { calls: 1, bytes: 1000 } })
    fixture.send({ workspacePriority: 0 })
    await fixture.harness.clock.advance(0)
    expect(failureOf(fixture.outcomes[CALLS_WITH_ROOM])?.code).to.equal('overloaded')
    await fixture.harness.clock.advance(3000)
    expect(fixture.outcomes[CALLS_WITH_ROOM + 1]?.result.ok).to.equal(true)
    expect(fixture.harness.client.ran).to.not.include(fixture.outcomes[CALLS_WITH_ROOM]?.id)
  })

  it('that a target refuses after the host has begun to stop is refused as leaving', async () => {
    // Guards against a call that returns to the queue of a stopping host and waits there until it is too late.
    const { harness, host, outcomes } = createFixtureWithWaitingCall()
    await harness.clock.advance(50)
    harness.client.target('t').refusesAll = true
    await harness.clock.advance(53)
    host.queues?.stop()
    await harness.clock.advance(1)
    expect(failureOf(outcomes[CALLS_WITH_ROOM])).to.include({ code: 'leaving', retryAfterMs: 0 })
    expect(host.queues?.waiting).to.equal(0)
  })
})

describe('a call that may have run at a target', () => {
  /** Fills two targets, and breaks the connection of the call that runs at the first one. */
  async function createFixtureWithBrokenCall (): Promise<Fixture> {
    const fixture = createFixture({ targets: ['t', 'u'], workMs: 300 })
    for (let index = 0; index < 2 * CALLS_WITH_ROOM; index++) fixture.send()
    await fixture.harness.clock.advance(10)
    fixture.harness.client.target('t').breakConnections()
    return fixture
  }

  it('is sent to another target without waiting in the queue', async () => {
    // Guards against a failover that ends as an unknown outcome because a queue in which it would wait is too long, and against one that keeps the head of the queue while all targets with room have had the call.
    const { harness, host, outcomes } = await createFixtureWithBrokenCall()
    await harness.clock.advance(1)
    expect(host.queues?.waiting).to.equal(0)
    await harness.clock.advance(5000)
    expect(outcomes.map((outcome) => outcome?.result.ok)).to.deep.equal(outcomes.map(() => true))
  })

  it('is not reported as not run if the other target refuses it', async () => {
    // Guards against a 503 for a request that a target has run.
    const fixture = await createFixtureWithBrokenCall()
    fixture.harness.client.target('u').refusesAll = true
    fixture.host.queues?.stop()
    await fixture.harness.clock.advance(5000)
    const failures = fixture.outcomes.map(failureOf).filter((failed) => failed !== undefined)
    expect(failures.map(({ code }) => code)).to.deep.equal(['unknownOutcome'])
  })
})

describe('the call queue of a host', () => {
  it('serves the rank of the workspace before that of the route', async () => {
    const { harness, send } = createFixture()
    for (let index = 0; index < CALLS_WITH_ROOM; index++) send()
    send()
    send({ workspacePriority: 0 })
    await harness.clock.advance(2000)
    expect(harness.client.ran).to.deep.equal(['q0', 'q1', 'q2', 'q4', 'q3'])
  })

  it('serves returning callers first, whose objective counts from their first attempt', async () => {
    const { harness, send } = createFixture()
    for (let index = 0; index < CALLS_WITH_ROOM; index++) send()
    send({}, { ...route, objectiveMs: 2000 })
    send({ waitMs: 1990 }, { ...route, objectiveMs: 2000 })
    send({ waitMs: 1900 }, { ...route, objectiveMs: 2000 })
    await harness.clock.advance(2000)
    // A difference of 10 ms arises on the way of a first attempt; the call is ordered by its earlier objective only.
    expect(harness.client.ran.slice(CALLS_WITH_ROOM)).to.deep.equal(['q5', 'q4', 'q3'])
  })

  it('starts background calls only while no caller waits', async () => {
    const { harness, host, send } = createFixture({ targets: ['t', 'u'] })
    expect(host.calls.hasBackgroundCapacity(route)).to.equal(true)
    for (let index = 0; index < 2 * CALLS_WITH_ROOM + 1; index++) send()
    expect(host.calls.hasBackgroundCapacity(route)).to.equal(false)
    send({ background: true, waitMs: 3000 })
    await harness.clock.advance(3000)
    expect(harness.client.ran.at(-1)).to.equal('q7')
    expect(host.calls.hasBackgroundCapacity(route)).to.equal(true)
  })

  it('does not hedge early while calls wait', async () => {
    // Guards against hedges that take the capacity for which calls wait: they halved the calls that were answered in the overload replay.
    const { harness, send } = createFixture({ targets: ['t', 'u'], workMs: 200 })
    for (let index = 0; index < 2 * CALLS_WITH_ROOM + 2; index++) send({}, { ...route, timeoutMs: 6000, objectiveMs: 300 })
    await harness.clock.advance(6000)
    expect(harness.client.ran).to.have.length(2 * CALLS_WITH_ROOM + 2)
  })

  it('logs when it begins to hold calls and when it is empty again, and counts', async () => {
    const { harness, host, send } = createFixture({ limits: { calls: 2, bytes: 1000 } })
    for (let index = 0; index < CALLS_WITH_ROOM + 3; index++) send()
    await harness.clock.advance(3000)
    expect(host.log.detailsOf('queue holds calls').map(({ service }) => service)).to.deep.equal(['s'])
    const [ended, ...others] = host.log.detailsOf('queue is empty')
    expect(others).to.deep.equal([])
    expect(ended).to.include({ service: 's', maxWaiting: 2, served: 2, refused: 'full:1' })
    expect(ended?.['drainRate']).to.be.above(0)
    expect(Object.fromEntries(host.counts)).to.include({ 'queue.waited': 2, 'queue.refused.full': 1 })
  })
})
