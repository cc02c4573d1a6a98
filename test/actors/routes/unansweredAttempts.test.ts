/** Attempts without an answer: when and where they are hedged, and how long they occupy a slot. */

import { expect } from 'chai'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import fc from 'fast-check'
import { RouteCalls } from '../../../src/actors/common/routes/routeCalls.ts'
import type { RoutedAnswer } from '../../../src/actors/common/routes/routedRequest.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import type { Result } from '../../../src/base/common/resultCode.ts'
import type { Route } from '../../../src/core/common/routes/routeConfiguration.ts'
import type { LoadReport } from '../../../src/core/common/routes/target.ts'
import { hedgeDelayMs } from '../../../src/core/common/routes/hedging.ts'
import type { TargetClient } from '../../../src/ports/common/targetClient.ts'
import { targetProtocol } from '../../../platform/index.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { newRoute, newTargetDefinition } from '../../support/routes.ts'
import type { ScriptedAnswer } from '../../support/scriptedClient.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import { newCrashGuards } from '../../support/targetEnds.ts'

const ownHeaders = { 'bulrushvalve-request-id': 'r', 'bulrushvalve-response-seal': 's' }
const good: ScriptedAnswer = { afterMs: 20, headers: ownHeaders }
const refused: ScriptedAnswer = { afterMs: 5, status: 503, headers: { 'bulrushvalve-not-run': '1', 'bulrushvalve-request-id': 'r' } }
const unreachable: ScriptedAnswer = { afterMs: 5, failure: 'targetUnreachable' }
const silent: ScriptedAnswer = { afterMs: Number.POSITIVE_INFINITY }

interface StartedCall {
  readonly clock: ManualClock
  readonly table: TargetTable
  ended: { readonly result: Result<RoutedAnswer>, readonly tookMs: number } | undefined
}

function startCall (clock: ManualClock, client: TargetClient, targets: readonly string[], details: Partial<Route> = {}, background = false): StartedCall {
  const table = new TargetTable({ clock, stateLog: noopStateLog })
  for (const id of targets) table.set(newTargetDefinition({ id, address: id }))
  const stage: StartedCall = { clock, table, ended: undefined }
  const calls = new RouteCalls({ targets: table, client, ...newCrashGuards(table, client, clock), protocol: targetProtocol, clock, chance: newSeededChance(3), metrics: noopMetrics, stateLog: noopStateLog, place: 'here', mechanisms: allMechanisms })
  const beganAt = clock.now
  calls.call({ route: newRoute(details), requestId: 'r', method: 'POST', path: '/a/', headers: (options) => targetProtocol.forwardHeaders([], options, { type: 'open' }), body: undefined, waitMs: 2000, configuration: 1, background, gone: new AbortController().signal })
    .then((result) => { stage.ended = { result, tookMs: clock.now - beganAt } }, () => undefined)
  return stage
}

const outcome = ({ ended }: StartedCall): string => ended === undefined ? 'waits' : ended.result.ok ? `${ended.result.value.answer.status} of ${ended.result.value.target}` : ended.result.code

describe('an attempt without an answer', () => {
  it('is hedged at the same target over a new connection if there is no other target', async () => {
    const clock = new ManualClock()
    const client = new ScriptedClient(clock, { a: [silent, good] })
    const stage = startCall(clock, client, ['a'])
    await clock.advance(3000)
    expect([outcome(stage), stage.ended?.tookMs]).to.deep.equal(['200 of a', 120])
    expect(client.distrusted).to.include('a')
  })

  it('is not hedged at a target that has recently reported that its slots are taken', async () => {
    // Guards against hedges that lengthen the queue of the last remaining target: its queue makes each request late, each is
    // sent to it a second time, and the queue grows further. With one target of three left, late requests rose from 16 to 37 of 154.
    for (const background of [false, true]) {
      const clock = new ManualClock()
      const client = new ScriptedClient(clock, { a: [{ ...good, afterMs: 1200 }] })
      const stage = startCall(clock, client, ['a'], {}, background)
      stage.table.get('a')?.recordLoad({ running: 6, waiting: 2, slots: 6 })
      await clock.advance(3000)
      expect([outcome(stage), stage.ended?.tookMs, client.sent.length], String(background)).to.deep.equal(['200 of a', 1200, 1])
    }
    const clock = new ManualClock()
    const client = new ScriptedClient(clock, { a: [silent, good] })
    const stage = startCall(clock, client, ['a'], { objectiveMs: 3600 })
    stage.table.get('a')?.recordLoad({ running: 6, waiting: 2, slots: 6 })
    await clock.advance(3000)
    expect([outcome(stage), client.sent.length], 'a report that is 1.8 s old').to.deep.equal(['200 of a', 2])
  })

  it('is hedged later, but is hedged, if targets that report slowdowns explain it by their load', async () => {
    // Guards against hedges that only add to the load that makes requests late, and against a silent connection to a loaded target that is never noticed.
    const hedgedAfter = async (report: LoadReport): Promise<number | undefined> => {
      const clock = new ManualClock()
      const client = new ScriptedClient(clock, { a: [good], b: [silent] })
      // The first attempt is at b.
      const stage = startCall(clock, client, ['a', 'b'])
      for (const id of ['a', 'b']) stage.table.get(id)?.recordLoad(report)
      await clock.advance(3000)
      expect(outcome(stage)).to.equal('200 of a')
      const [first, second] = client.sent
      return first === undefined || second === undefined ? undefined : second.at - first.at
    }
    const loaded = { running: 6, waiting: 2, slots: 6 }
    expect(await hedgedAfter(loaded)).to.equal(100)
    expect(await hedgedAfter({ ...loaded, slowdown: 1 })).to.equal(300)
    expect(await hedgedAfter({ running: 1, waiting: 0, slots: 6, slowdown: 2.5 })).to.equal(100)
  })

  it('causes the connections to its target to be distrusted once a new connection answers sooner or the time is over', async () => {
    for (const { second, expected } of [{ second: good, expected: 120 }, { second: silent, expected: 150 }]) {
      const clock = new ManualClock()
      const client = new ScriptedClient(clock, { a: [silent, second] })
      const stage = startCall(clock, client, ['a'], { timeoutMs: 150 })
      await clock.advance(110)
      expect(client.distrusted).to.deep.equal([])
      await clock.advance(50)
      expect(stage.ended?.tookMs).to.equal(expected)
      expect(client.distrusted).to.deep.equal(['a'])
      expect(client.sent.map(({ ownConnection }) => ownConnection)).to.deep.equal([false, true])
    }
  })

  it('that is answered sooner than its hedge leaves all connections trusted', async () => {
    const clock = new ManualClock()
    const client = new ScriptedClient(clock, { a: [{ ...good, afterMs: 130 }, silent] })
    const stage = startCall(clock, client, ['a'])
    await clock.advance(200)
    expect([outcome(stage), stage.ended?.tookMs]).to.deep.equal(['200 of a', 130])
    expect(client.distrusted).to.deep.equal([])
  })

  /*
   * Guards against healthy targets that are chosen last for up to four seconds after connections to them went
   * silent, because the timeout of a call marked every target that it still waited for as failed.
   */
  for (const timeoutMs of [700, 1900]) {
    it(`on a reused connection does not count as a failure of its target after ${timeoutMs} ms, but one on a new connection does`, async () => {
      const clock = new ManualClock()
      const stage = startCall(clock, new ScriptedClient(clock, { a: [silent], b: [silent] }), ['a', 'b'], { timeoutMs })
      await clock.advance(timeoutMs + 10)
      expect(outcome(stage)).to.equal('unknownOutcome')
      expect(stage.table.available('s').filter(({ suspect }) => suspect)).to.have.length(1)
    })
  }

  it('of a background call passes its slot to the hedge', async () => {
    const clock = new ManualClock()
    const stage = startCall(clock, new ScriptedClient(clock, { a: [silent, good] }), ['a'], {}, true)
    await clock.advance(205)
    expect(stage.table.get('a')?.inFlight).to.equal(1)
    await clock.advance(100)
    expect([outcome(stage), stage.table.get('a')?.inFlight]).to.deep.equal(['200 of a', 0])
  })

  /*
   * Guards against a finished call that still counts as in flight at its target and keeps background calls out:
   * an HTTP client settles a request whose connection does not open only when it stops connecting, not when the
   * request is aborted.
   */
  it('occupies no slot once its call has ended, even if its connection is still being opened', async () => {
    const clock = new ManualClock()
    const opening: TargetClient = {
      exchange: async () => await new Promise<never>(() => undefined),
      open: async () => await new Promise<never>(() => undefined),
      retireConnections: () => undefined,
      listens: async () => 'yes'
    }
    const stage = startCall(clock, opening, ['a', 'b'], { timeoutMs: 700 })
    await clock.advance(300)
    expect(stage.table.available('s').map(({ inFlight }) => inFlight)).to.deep.equal([1, 1])
    await clock.advance(400)
    expect(outcome(stage)).to.equal('unknownOutcome')
    expect(stage.table.available('s').map(({ inFlight }) => inFlight)).to.deep.equal([0, 0])
  })

  it('still counts its target towards the allowed ones if a hedge there was refused', async () => {
    const clock = new ManualClock()
    const client = new ScriptedClient(clock, { a: [silent, refused], b: [silent], c: [silent] })
    const stage = startCall(clock, client, ['a'])
    clock.after(102, () => { for (const id of ['b', 'c']) stage.table.set(newTargetDefinition({ id, address: id })) })
    await clock.advance(3000)
    expect(new Set(client.sent.map(({ address }) => address)).size).to.equal(2)
  })

  it('of any kind is sent to no more targets than allowed, ends in time and occupies no slot afterwards', async () => {
    const answers = fc.array(fc.constantFrom(good, refused, unreachable, silent, { afterMs: 5, failure: 'unknownOutcome' } as const, { ...good, afterMs: 300 }), { minLength: 1, maxLength: 4 })
    await fc.assert(fc.asyncProperty(fc.array(answers, { minLength: 1, maxLength: 4 }), fc.integer({ min: 1, max: 3 }), fc.boolean(), fc.boolean(), async (scripts, attempts, repeatable, background) => {
      const clock = new ManualClock()
      const names = scripts.map((_, index) => `t${index}`)
      const client = new ScriptedClient(clock, Object.fromEntries(scripts.map((script, index) => [`t${index}`, script])))
      const stage = startCall(clock, client, names, { attempts, kind: repeatable ? 'idempotent' : 'once-only', timeoutMs: 1000 }, background)
      await clock.advance(1000)
      expect(stage.ended?.tookMs).to.be.at.most(1000)
      const mayHaveRun = names.flatMap((name, index) => client.sent.filter(({ address }) => address === name).flatMap((_, sent) => {
        const script = scripts[index] ?? []
        const answer = script[Math.min(sent, script.length - 1)]
        return answer === refused || answer === unreachable ? [] : [name]
      }))
      expect(new Set(mayHaveRun).size).to.be.at.most(repeatable ? attempts : 1)
      if (!repeatable) expect(mayHaveRun.length).to.be.at.most(1)
      expect(stage.table.available('s').map(({ inFlight }) => inFlight)).to.deep.equal(names.map(() => 0))
    }), { numRuns: 300 })
  })
})

describe('the time after which an attempt is hedged', () => {
  it('is half the objective if a caller is waiting', () => {
    expect(hedgeDelayMs({ objectiveMs: 156, allowedMs: 2000, answerMs: 500, background: false })).to.equal(78)
  })

  it('follows the usual answer times of the target for background calls, up to a third of the allowed time', () => {
    const late = (answerMs: number | undefined): number => hedgeDelayMs({ objectiveMs: 500, allowedMs: 3000, answerMs, background: true })
    expect([late(undefined), late(100), late(250), late(900)]).to.deep.equal([500, 500, 750, 1000])
  })
})
