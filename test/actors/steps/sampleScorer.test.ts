/** Scoring of many samples at once by a service that interactive callers use too. */

import { expect } from 'chai'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import { RouteCalls } from '../../../src/actors/common/routes/routeCalls.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import type { ScoreOutcome } from '../../../src/actors/common/steps/sampleScorer.ts'
import { SampleScorer } from '../../../src/actors/common/steps/sampleScorer.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import { targetProtocol } from '../../../platform/index.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { newRoute, newTargetDefinition } from '../../support/routes.ts'
import type { ScriptedAnswer } from '../../support/scriptedClient.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import { newCrashGuards } from '../../support/targetEnds.ts'

const sealedResponse = (status = 200, afterMs = 100): ScriptedAnswer => ({ afterMs, status, headers: { 'bulrushvalve-response-seal': 'seal' } })

function createScorer (script: Readonly<Record<string, readonly ScriptedAnswer[]>>): { clock: ManualClock, client: ScriptedClient, scorer: SampleScorer } {
  const clock = new ManualClock()
  const client = new ScriptedClient(clock, script)
  const targets = new TargetTable({ clock, stateLog: noopStateLog })
  for (const id of Object.keys(script)) targets.set(newTargetDefinition({ id, address: id }))
  const routes = new RouteTable({ version: 1, routes: [newRoute({ attempts: 3 })], services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
  const calls = new RouteCalls({ targets, client, ...newCrashGuards(targets, client, clock), protocol: targetProtocol, clock, chance: newSeededChance(1), metrics: noopMetrics, stateLog: noopStateLog, place: 'here', mechanisms: allMechanisms })
  return { clock, client, scorer: new SampleScorer({ calls, protocol: targetProtocol, clock, stateLog: noopStateLog, routes: () => routes }) }
}

const call = (id: string) => ({ requestId: id, host: 'calls.example', path: '/a/x', body: btoa('text') })

describe('SampleScorer', () => {
  it('scores all samples of a step and always leaves a slot of each target to callers', async () => {
    // Load: 68 simultaneous calls of 100 ms to two targets with six slots each.
    const { clock, client, scorer } = createScorer({ a: [sealedResponse()], b: [sealedResponse()] })
    const outcomes: ScoreOutcome[] = []
    const done = Promise.all(Array.from({ length: 68 }, async (_, index) => { outcomes.push(await scorer.score(call(`s${index}`), new AbortController().signal)) }))
    let maxConcurrent = 0
    for (let step = 0; step < 100 && outcomes.length < 68; step++) {
      await clock.advance(10)
      for (const address of ['a', 'b']) maxConcurrent = Math.max(maxConcurrent, client.sent.filter((sent) => sent.address === address && clock.now - sent.at < 100).length)
    }
    await done
    expect(outcomes.every(({ type }) => type === 'scored')).to.equal(true)
    expect(maxConcurrent).to.equal(5)
    expect(clock.now - (client.sent[0]?.at ?? 0)).to.be.at.most(900)
  })

  it('gives up after as many failures as the route allows attempts, and not before', async () => {
    const failing = createScorer({ a: [sealedResponse(500, 10)], b: [sealedResponse(500, 10)] })
    const outcome = failing.scorer.score(call('s'), new AbortController().signal)
    await failing.clock.advance(2000)
    expect(await outcome).to.deep.equal({ type: 'gave-up' })
    expect(failing.client.sent.length).to.be.within(3, 4)
    const recovering = createScorer({ a: [sealedResponse(500, 10), sealedResponse()] })
    const scored = recovering.scorer.score(call('s'), new AbortController().signal)
    await recovering.clock.advance(2000)
    expect(await scored).to.deep.equal({ type: 'scored', score: 'seal' })
  })

  it('retries after missing responses and refusals, which do not count as failures', async () => {
    const refusal: ScriptedAnswer = { afterMs: 5, status: 503, headers: { 'bulrushvalve-not-run': '1' } }
    const { clock, scorer } = createScorer({ a: [{ afterMs: 5, failure: 'unknownOutcome' }, refusal, { afterMs: 5, failure: 'unknownOutcome' }, { afterMs: 5, failure: 'unknownOutcome' }, { afterMs: 5, failure: 'unknownOutcome' }, sealedResponse()] })
    const outcome = scorer.score(call('s'), new AbortController().signal)
    await clock.advance(30_000)
    expect((await outcome).type).to.equal('scored')
  })

  it('lets calls of other routes overtake a call whose route is missing or has no free slot', async () => {
    // Guards against one missing route blocking the scoring of all steps: all calls waited in one queue behind the first,
    // whose route was not configured, until its step ended.
    const { clock, scorer } = createScorer({ a: [sealedResponse()] })
    const gone = new AbortController()
    scorer.score({ ...call('first'), host: 'nowhere.example' }, gone.signal).catch(() => undefined)
    let outcome: ScoreOutcome | undefined
    scorer.score(call('second'), new AbortController().signal).then((scored) => { outcome = scored }, () => undefined)
    await clock.advance(500)
    gone.abort()
    expect(outcome).to.deep.equal({ type: 'scored', score: 'seal' })
  })

  it('scores a sample after several targets have crashed under its call, whatever the route allows', async () => {
    // Guards against a sound sample that is never scored because targets crashed while they ran its call.
    const crash: ScriptedAnswer = { afterMs: 20, failure: 'unknownOutcome' }
    const { clock, client, scorer } = createScorer({ a: [crash, crash, crash, sealedResponse()], b: [crash, crash, crash, sealedResponse()] })
    for (const address of ['a', 'b']) client.closedAddresses.add(address)
    let outcome: ScoreOutcome | undefined
    scorer.score(call('s'), new AbortController().signal).then((scored) => { outcome = scored }, () => undefined)
    await clock.advance(3000)
    expect([client.sent.length, outcome]).to.deep.equal([7, { type: 'scored', score: 'seal' }])
  })

  it('repeats a call that ended with an unexpected error', async () => {
    // Guards against a finished sample that is never listed, as its call to the scorer is forgotten.
    const { clock, scorer } = createScorer({ a: [sealedResponse()] })
    let errors = 1
    const request = { ...call('s'), get body () { if (errors-- > 0) throw new Error('unexpected error'); return btoa('text') } }
    let outcome: ScoreOutcome | undefined
    scorer.score(request, new AbortController().signal).then((scored) => { outcome = scored }, () => undefined)
    await clock.advance(2000)
    expect(outcome).to.deep.equal({ type: 'scored', score: 'seal' })
  })

  it('discards cancelled calls', async () => {
    const { clock, client, scorer } = createScorer({})
    const cancel = new AbortController()
    scorer.score(call('s'), cancel.signal).catch(() => undefined)
    cancel.abort()
    await clock.advance(1000)
    expect(client.sent).to.deep.equal([])
  })
})
