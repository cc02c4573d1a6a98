/** Scoring of many samples at once by a service that callers use too. */

import { expect } from 'chai'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import { RouteCalls } from '../../../src/actors/common/routes/routeCalls.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import type { ScoreOutcome } from '../../../src/actors/common/steps/sampleScorer.ts'
import { SampleScorer } from '../../../src/actors/common/steps/sampleScorer.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import { targetProtocol } from '../../../platform/index.ts'
import { quietLog, quietMetrics } from '../../support/fakeHost.ts'
import { ManualClock, seededChance } from '../../support/manualClock.ts'
import { route, targetDefinition } from '../../support/routes.ts'
import type { ScriptedAnswer } from '../../support/scriptedClient.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import { guards } from '../../support/targetEnds.ts'

const sealed = (status = 200, afterMs = 100): ScriptedAnswer => ({ afterMs, status, headers: { 'bulrushvalve-response-seal': 'seal' } })

function stage (script: Readonly<Record<string, readonly ScriptedAnswer[]>>): { clock: ManualClock, client: ScriptedClient, scorer: SampleScorer } {
  const clock = new ManualClock()
  const client = new ScriptedClient(clock, script)
  const targets = new TargetTable({ clock, stateLog: quietLog })
  for (const id of Object.keys(script)) targets.set(targetDefinition({ id, address: id }))
  const routes = new RouteTable({ version: 1, routes: [route({ attempts: 3 })], services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
  const calls = new RouteCalls({ targets, client, ...guards(targets, client, clock), protocol: targetProtocol, clock, chance: seededChance(1), metrics: quietMetrics, stateLog: quietLog, place: 'here', mechanisms: allMechanisms })
  return { clock, client, scorer: new SampleScorer({ calls, protocol: targetProtocol, clock, stateLog: quietLog, routes: () => routes }) }
}

const call = (id: string) => ({ requestId: id, host: 'calls.example', path: '/a/x', body: btoa('text') })

describe('the scorer', () => {
  it('scores a step of samples, and leaves a slot of each target to callers all the while', async () => {
    // Load: 68 calls of 100 ms at once to two targets of six slots.
    const { clock, client, scorer } = stage({ a: [sealed()], b: [sealed()] })
    const outcomes: ScoreOutcome[] = []
    const done = Promise.all(Array.from({ length: 68 }, async (_, index) => { outcomes.push(await scorer.score(call(`s${index}`), new AbortController().signal)) }))
    let most = 0
    for (let step = 0; step < 100 && outcomes.length < 68; step++) {
      await clock.advance(10)
      for (const address of ['a', 'b']) most = Math.max(most, client.sent.filter((sent) => sent.address === address && clock.now - sent.at < 100).length)
    }
    await done
    expect(outcomes.every(({ type }) => type === 'scored')).to.equal(true)
    expect(most).to.equal(5)
    expect(clock.now - (client.sent[0]?.at ?? 0)).to.be.at.most(900)
  })

  it('gives up when targets failed as often as the route allows, and not before', async () => {
    const failing = stage({ a: [sealed(500, 10)], b: [sealed(500, 10)] })
    const outcome = failing.scorer.score(call('s'), new AbortController().signal)
    await failing.clock.advance(2000)
    expect(await outcome).to.deep.equal({ type: 'gave-up' })
    expect(failing.client.sent.length).to.be.within(3, 4)
    const recovering = stage({ a: [sealed(500, 10), sealed()] })
    const scored = recovering.scorer.score(call('s'), new AbortController().signal)
    await recovering.clock.advance(2000)
    expect(await scored).to.deep.equal({ type: 'scored', score: 'seal' })
  })

  it('asks again after silence and refusals, which are no failures', async () => {
    const refusal: ScriptedAnswer = { afterMs: 5, status: 503, headers: { 'bulrushvalve-not-run': '1' } }
    const { clock, scorer } = stage({ a: [{ afterMs: 5, failure: 'unknownOutcome' }, refusal, { afterMs: 5, failure: 'unknownOutcome' }, { afterMs: 5, failure: 'unknownOutcome' }, { afterMs: 5, failure: 'unknownOutcome' }, sealed()] })
    const outcome = scorer.score(call('s'), new AbortController().signal)
    await clock.advance(30_000)
    expect((await outcome).type).to.equal('scored')
  })

  it('lets calls of other routes pass one whose route is not there or has no free slot', async () => {
    // Nothing of any step was scored while one scorer's route was missing. All calls waited in one line behind
    // the first, whose route no configuration had, until its step was over.
    const { clock, scorer } = stage({ a: [sealed()] })
    const gone = new AbortController()
    scorer.score({ ...call('first'), host: 'nowhere.example' }, gone.signal).catch(() => undefined)
    let outcome: ScoreOutcome | undefined
    scorer.score(call('second'), new AbortController().signal).then((scored) => { outcome = scored }, () => undefined)
    await clock.advance(500)
    gone.abort()
    expect(outcome).to.deep.equal({ type: 'scored', score: 'seal' })
  })

  it('forgets what was cancelled', async () => {
    const { clock, client, scorer } = stage({})
    const cancel = new AbortController()
    scorer.score(call('s'), cancel.signal).catch(() => undefined)
    cancel.abort()
    await clock.advance(1000)
    expect(client.sent).to.deep.equal([])
  })
})
