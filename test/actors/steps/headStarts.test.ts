/** Head starts, which run items for a later step: when they start, and which text that step receives. */

import { expect } from 'chai'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import { targetProtocol } from '../../../platform/index.ts'
import { EngineRegistry } from '../../../src/actors/common/steps/engineRegistry.ts'
import { HeadStarts } from '../../../src/actors/common/steps/headStarts.ts'
import { ItemPlacement } from '../../../src/actors/common/steps/itemPlacement.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import type { StepWork } from '../../../src/actors/common/steps/stepWork.ts'
import { ItemLengthEstimator } from '../../../src/core/common/steps/itemLengthEstimator.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import type { Route } from '../../../src/core/common/routes/routeConfiguration.ts'
import { noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { RecordedLog } from '../../support/recordedLog.ts'
import { newRoute, newTargetDefinition } from '../../support/routes.ts'
import type { FoldedStep } from '../../../src/core/common/steps/stepFold.ts'
import type { ScriptedAnswer } from '../../support/scriptedClient.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import { newItem } from '../../support/steps.ts'
import { newText, newStepWork, textEvents } from '../../support/texts.ts'
import { newTargetEnds } from '../../support/targetEnds.ts'

const responseHeaders = { 'bulrushvalve-request-id': 'long', 'bulrushvalve-response-seal': 's', 'bulrushvalve-weight-versions': '5' }
const event = (id: number): string => `id: ${id}\ndata: d${id}\n\n`
const events = (count: number) => Array.from({ length: count }, (_, index) => ({ afterMs: 10, raw: event(index) }))

/** A host with a step of two groups, one of which the trainer waits for; `long` is the longest item. */
class HeadStartFixture {
  readonly clock = new ManualClock()
  readonly log = new RecordedLog()
  readonly client: ScriptedClient
  readonly starts: HeadStarts
  readonly work: StepWork
  readonly route: Route = newRoute({ kind: 'steps', host: 'steps.example', pathPrefix: '/steps/', destinations: [{ service: 'engines', weight: 1 }] })

  /** Open steps. */
  readonly steps: FoldedStep[]

  /** @param otherVersion version of model `n` on an additional engine; 0 for no such engine */
  constructor (answers: readonly ScriptedAnswer[], { version = 5, slots = 12, otherVersion = 0 } = {}) {
    const { clock } = this
    const table = new TargetTable({ clock, stateLog: this.log })
    table.set(newTargetDefinition({ id: 'e', service: 'engines', address: 'e', slots, models: [{ model: 'm', version }] }))
    if (otherVersion > 0) table.set(newTargetDefinition({ id: 'f', service: 'engines', address: 'f', slots: 6, models: [{ model: 'n', version: otherVersion }] }))
    const routes = new RouteTable({ version: 1, routes: [this.route], services: [{ name: 'engines', maximumConnections: 9, engine: { slots, models: ['m', 'n'] } }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    this.client = new ScriptedClient(clock, { e: answers, f: answers })
    const lengths = new ItemLengthEstimator()
    lengths.recordItem(100, 10, 400)
    const board = new EngineRegistry(table, clock, () => routes)
    this.starts = new HeadStarts({ client: this.client, ends: newTargetEnds(table, this.client, clock), protocol: targetProtocol, clock, metrics: noopMetrics, stateLog: this.log, placement: new ItemPlacement({ board, assignedModel: (engine) => engine === 'f' ? 'n' : 'm', mechanisms: allMechanisms }), createText: newText, lengths, topic: { steps: () => this.steps }, routeOf: () => this.route, mechanisms: allMechanisms }, { firstEventTimeoutMs: 600, silenceTimeoutMs: 500 })
    this.work = newStepWork('now', [newItem('short', 'a', 100), newItem('long', 'b', 900)], { wantedGroups: 1, minimumVersion: 3 })
    this.work.waiting.length = 0
    // A second step is open, so that the items left over from the first come in the step after that, which accepts version 5.
    this.steps = [this.work.step, newStepWork('next', [newItem('other', 'c', 100)], { minimumVersion: 4 }).step]
  }

  replan (): void {
    this.starts.replan([this.work])
    this.starts.startPlanned(this.work.waiting.length > 0)
  }

  /** Returns the text that a later step receives for an item. */
  consume (id = 'long') {
    return this.starts.consume(newStepWork('later', [newItem(id, 'b', 900)], { minimumVersion: 5 }), id)
  }
}

describe('head starts of items', () => {
  it('pass on the generated text and end when a later step requests the item', async () => {
    const scene = new HeadStartFixture([{ afterMs: 5, headers: responseHeaders, events: events(50) }])
    scene.replan()
    await scene.clock.advance(125)
    scene.replan()
    expect(scene.client.sent.map(({ path }) => path)).to.deep.equal(['/items/long'])
    expect(scene.consume()).to.deep.equal({ events: textEvents(5, ...Array.from({ length: 12 }, (_, index) => `d${index}`)), last: 11 })
    expect(scene.client.sent[0]?.cancelledAt).to.equal(scene.clock.now)
    expect(scene.consume()).to.equal(undefined)
  })

  it('leave the last event to the later step, as only the end of a stream shows that a text is complete', async () => {
    const scene = new HeadStartFixture([{ afterMs: 5, headers: responseHeaders, events: events(3) }])
    scene.replan()
    await scene.clock.advance(200)
    scene.replan()
    expect(scene.client.sent).to.have.length(1)
    expect(scene.consume()).to.deep.equal({ events: textEvents(5, 'd0', 'd1'), last: 1 })
  })

  it('pass on no version of an event that they leave to the later step', async () => {
    // Guards against a sample that names a version which generated none of its events: the engine had loaded it before the
    // last event, which the step that resumed the text requested from an engine with the version before.
    const scene = new HeadStartFixture([{ afterMs: 5, headers: responseHeaders, events: [...events(2), { afterMs: 10, raw: `bulrushvalve-weight-versions: 6\n${event(2)}` }] }])
    scene.replan()
    await scene.clock.advance(200)
    scene.replan()
    const text = newText()
    const resumed = scene.consume()
    if (resumed !== undefined) text.restore(resumed)
    expect([text.text, text.versions]).to.deep.equal(['d0\nd1', [5]])
  })

  it('resume after a broken stream, but not after a failure of the item', async () => {
    const broken = new HeadStartFixture([{ afterMs: 5, headers: responseHeaders, events: events(2), isBroken: true }, { afterMs: 5, headers: responseHeaders, events: [{ afterMs: 10, raw: event(2) }] }])
    broken.replan()
    await broken.clock.advance(700)
    broken.replan()
    await broken.clock.advance(100)
    expect(broken.client.sent.map(({ headers }) => headers.includes('1'))).to.deep.equal([false, true])
    expect(broken.consume()?.events).to.deep.equal(textEvents(5, 'd0', 'd1'))
    const failing = new HeadStartFixture([{ afterMs: 5, status: 500, headers: responseHeaders }])
    for (let look = 0; look < 5; look++) {
      failing.replan()
      await failing.clock.advance(1000)
    }
    expect(failing.client.sent).to.have.length(1)
  })

  it('do not start on a small service while an item waits, on engines with weights that are too old, or beyond their share of slots', async () => {
    const waiting = new HeadStartFixture([{ afterMs: 5, headers: responseHeaders, events: events(9) }], { slots: 11 })
    const [first] = waiting.work.items.values()
    if (first !== undefined) waiting.work.waiting.push(first)
    const old = new HeadStartFixture([{ afterMs: 5, headers: responseHeaders, events: events(9) }], { version: 4 })
    const small = new HeadStartFixture([{ afterMs: 5, headers: responseHeaders, events: events(9) }], { slots: 0 })
    for (const scene of [waiting, old, small]) {
      scene.replan()
      await scene.clock.advance(100)
      expect(scene.client.sent).to.deep.equal([])
    }
  })

  it('of one model neither wait for the engines of another model nor use its share of slots', async () => {
    // Guards against two trainers that share the engines of a service blocking each other. While the first trainer's engines
    // had older weights, the second one's items got no head starts, and running head starts of the first used up the share of both.
    const scene = new HeadStartFixture([{ afterMs: 5, headers: responseHeaders, events: events(50) }], { otherVersion: 9 })
    const other = newStepWork('other', [newItem('brief', 'a', 100), newItem('lasting', 'b', 900)], { wantedGroups: 1, minimumVersion: 7, model: 'n' })
    other.waiting.length = 0
    const ahead = newStepWork('ahead', [newItem('third', 'c', 100)], { minimumVersion: 8, model: 'n' })
    scene.steps.push(other.step, ahead.step)
    scene.starts.replan([scene.work, other])
    scene.starts.startPlanned(false)
    await scene.clock.advance(50)
    expect(scene.client.sent.map(({ address, path }) => `${address} ${path}`)).to.deep.equal(['e /items/long', 'f /items/lasting'])
    const old = new HeadStartFixture([{ afterMs: 5, headers: responseHeaders, events: events(50) }], { version: 4, otherVersion: 9 })
    old.steps.push(other.step, ahead.step)
    old.starts.replan([old.work, other])
    old.starts.startPlanned(false)
    await old.clock.advance(50)
    expect(old.client.sent.map(({ path }) => path)).to.deep.equal(['/items/lasting'])
  })

  it('end when their group is complete or their retention time after the end of the step is over', async () => {
    const whole = new HeadStartFixture([{ afterMs: 5, headers: responseHeaders, events: events(50) }])
    whole.replan()
    await whole.clock.advance(50)
    ;(whole.work.step.positions as Map<string, number>).set('long', 0)
    whole.replan()
    expect(whole.consume()).to.equal(undefined)
    const ended = new HeadStartFixture([{ afterMs: 5, headers: responseHeaders, events: events(900) }])
    ended.replan()
    await ended.clock.advance(50)
    ended.starts.replan([])
    await ended.clock.advance(4000)
    ended.starts.replan([])
    expect(ended.client.sent[0]?.cancelledAt).to.equal(undefined)
    await ended.clock.advance(1100)
    ended.starts.replan([])
    expect(ended.client.sent[0]?.cancelledAt).to.equal(ended.clock.now)
  })
})
