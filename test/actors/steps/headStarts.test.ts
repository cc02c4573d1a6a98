/** Runs of items for a step to come: when they begin, and what that step gets of them. */

import { expect } from 'chai'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import { targetProtocol } from '../../../platform/index.ts'
import { EngineBoard } from '../../../src/actors/common/steps/engineBoard.ts'
import { HeadStarts } from '../../../src/actors/common/steps/headStarts.ts'
import { ItemPlacement } from '../../../src/actors/common/steps/itemPlacement.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import type { StepWork } from '../../../src/actors/common/steps/stepWork.ts'
import { ItemLengthEstimator } from '../../../src/core/common/steps/itemLengthEstimator.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import type { Route } from '../../../src/core/common/routes/routeConfiguration.ts'
import { quietMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { RecordedLog } from '../../support/recordedLog.ts'
import { route, targetDefinition } from '../../support/routes.ts'
import type { FoldedStep } from '../../../src/core/common/steps/stepFold.ts'
import type { ScriptedAnswer } from '../../support/scriptedClient.ts'
import { ScriptedClient } from '../../support/scriptedClient.ts'
import { item } from '../../support/steps.ts'
import { newText, workOn } from '../../support/texts.ts'
import { watchEnds } from '../../support/targetEnds.ts'

const own = { 'bulrushvalve-request-id': 'long', 'bulrushvalve-response-seal': 's', 'bulrushvalve-weight-versions': '5' }
const event = (id: number): string => `id: ${id}\ndata: d${id}\n\n`
const events = (count: number) => Array.from({ length: count }, (_, index) => ({ afterMs: 10, raw: event(index) }))

/** A host with a step of two groups, of which its trainer waits for one; the item `long` needs the longest. */
class Scene {
  readonly clock = new ManualClock()
  readonly log = new RecordedLog()
  readonly client: ScriptedClient
  readonly starts: HeadStarts
  readonly work: StepWork
  readonly route: Route = route({ kind: 'steps', host: 'steps.example', pathPrefix: '/steps/', destinations: [{ service: 'engines', weight: 1 }] })

  /** Steps that are open. */
  readonly steps: FoldedStep[]

  /** @param otherVersion version of the model `n` at an engine of its own, which there is none of without it */
  constructor (answers: readonly ScriptedAnswer[], { version = 5, slots = 12, otherVersion = 0 } = {}) {
    const { clock } = this
    const table = new TargetTable({ clock, stateLog: this.log })
    table.set(targetDefinition({ id: 'e', service: 'engines', address: 'e', slots, models: [{ model: 'm', version }] }))
    if (otherVersion > 0) table.set(targetDefinition({ id: 'f', service: 'engines', address: 'f', slots: 6, models: [{ model: 'n', version: otherVersion }] }))
    const routes = new RouteTable({ version: 1, routes: [this.route], services: [{ name: 'engines', maximumConnections: 9, engine: { slots, models: ['m', 'n'] } }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    this.client = new ScriptedClient(clock, { e: answers, f: answers })
    const lengths = new ItemLengthEstimator()
    lengths.recordItem(100, 10, 400)
    const board = new EngineBoard(table, clock, () => routes)
    this.starts = new HeadStarts({ client: this.client, ends: watchEnds(table, this.client, clock), gate: { isFree: () => true }, protocol: targetProtocol, clock, metrics: quietMetrics, stateLog: this.log, placement: new ItemPlacement({ board, follows: (engine) => engine === 'f' ? 'n' : 'm', mechanisms: allMechanisms }), newText, lengths, topic: { steps: () => this.steps }, routeOf: () => this.route, mechanisms: allMechanisms }, { firstEventMs: 600, silenceMs: 500 })
    this.work = workOn('now', [item('short', 'a', 100), item('long', 'b', 900)], { wantedGroups: 1, minimumVersion: 3 })
    this.work.waiting.length = 0
    // A second step is open, so that what the first leaves over comes in the one after that, which may use version 5.
    this.steps = [this.work.step, workOn('next', [item('other', 'c', 100)], { minimumVersion: 4 }).step]
  }

  look (): void {
    this.starts.look([this.work])
    this.starts.begin(this.work.waiting.length > 0)
  }

  /** What a later step gets of an item. */
  take (id = 'long') {
    return this.starts.take(workOn('later', [item(id, 'b', 900)], { minimumVersion: 5 }), id)
  }
}

describe('head starts of items', () => {
  it('hand over what they came to when a later step asks for the item, and end', async () => {
    const scene = new Scene([{ afterMs: 5, headers: own, events: events(50) }])
    scene.look()
    await scene.clock.advance(125)
    scene.look()
    expect(scene.client.sent.map(({ path }) => path)).to.deep.equal(['/items/long'])
    expect(scene.take()).to.deep.equal({ events: Array.from({ length: 12 }, (_, index) => `d${index}`), last: 11, versions: [5] })
    expect(scene.client.sent[0]?.cancelledAt).to.equal(scene.clock.now)
    expect(scene.take()).to.equal(undefined)
  })

  it('leave the last event to the later step, as only the end of its stream tells that a text is whole', async () => {
    const scene = new Scene([{ afterMs: 5, headers: own, events: events(3) }])
    scene.look()
    await scene.clock.advance(200)
    scene.look()
    expect(scene.client.sent).to.have.length(1)
    expect(scene.take()).to.deep.equal({ events: ['d0', 'd1'], last: 1, versions: [5] })
  })

  it('go on after a break, and not after a failure that is the item\'s', async () => {
    const broken = new Scene([{ afterMs: 5, headers: own, events: events(2), breaks: true }, { afterMs: 5, headers: own, events: [{ afterMs: 10, raw: event(2) }] }])
    broken.look()
    await broken.clock.advance(700)
    broken.look()
    await broken.clock.advance(100)
    expect(broken.client.sent.map(({ headers }) => headers.includes('1'))).to.deep.equal([false, true])
    expect(broken.take()?.events).to.deep.equal(['d0', 'd1'])
    const failing = new Scene([{ afterMs: 5, status: 500, headers: own }])
    for (let look = 0; look < 5; look++) {
      failing.look()
      await failing.clock.advance(1000)
    }
    expect(failing.client.sent).to.have.length(1)
  })

  it('do not begin on the slots of a small service while an item waits, at engines whose weights are too old, beyond their share of slots, or before anything is known of lengths', async () => {
    const waiting = new Scene([{ afterMs: 5, headers: own, events: events(9) }], { slots: 11 })
    const [first] = waiting.work.items.values()
    if (first !== undefined) waiting.work.waiting.push(first)
    const old = new Scene([{ afterMs: 5, headers: own, events: events(9) }], { version: 4 })
    const small = new Scene([{ afterMs: 5, headers: own, events: events(9) }], { slots: 0 })
    for (const scene of [waiting, old, small]) {
      scene.look()
      await scene.clock.advance(100)
      expect(scene.client.sent).to.deep.equal([])
    }
  })

  it('of one model do not wait for the engines of another, nor take up its share of slots', async () => {
    // Two trainers share the engines of a service. While those of the first had older weights, none of the second's
    // items got a head start; and those of the first that ran left the second without a share.
    const scene = new Scene([{ afterMs: 5, headers: own, events: events(50) }], { otherVersion: 9 })
    const other = workOn('other', [item('brief', 'a', 100), item('lasting', 'b', 900)], { wantedGroups: 1, minimumVersion: 7, model: 'n' })
    other.waiting.length = 0
    const ahead = workOn('ahead', [item('third', 'c', 100)], { minimumVersion: 8, model: 'n' })
    scene.steps.push(other.step, ahead.step)
    scene.starts.look([scene.work, other])
    scene.starts.begin(false)
    await scene.clock.advance(50)
    expect(scene.client.sent.map(({ address, path }) => `${address} ${path}`)).to.deep.equal(['e /items/long', 'f /items/lasting'])
    const old = new Scene([{ afterMs: 5, headers: own, events: events(50) }], { version: 4, otherVersion: 9 })
    old.steps.push(other.step, ahead.step)
    old.starts.look([old.work, other])
    old.starts.begin(false)
    await old.clock.advance(50)
    expect(old.client.sent.map(({ path }) => path)).to.deep.equal(['/items/lasting'])
  })

  it('end once their group is whole, or some seconds after their step has ended', async () => {
    const whole = new Scene([{ afterMs: 5, headers: own, events: events(50) }])
    whole.look()
    await whole.clock.advance(50)
    ;(whole.work.step.positions as Map<string, number>).set('long', 0)
    whole.look()
    expect(whole.take()).to.equal(undefined)
    const ended = new Scene([{ afterMs: 5, headers: own, events: events(900) }])
    ended.look()
    await ended.clock.advance(50)
    ended.starts.look([])
    await ended.clock.advance(4000)
    ended.starts.look([])
    expect(ended.client.sent[0]?.cancelledAt).to.equal(undefined)
    await ended.clock.advance(1100)
    ended.starts.look([])
    expect(ended.client.sent[0]?.cancelledAt).to.equal(ended.clock.now)
  })
})
