/** Items on engines that leave at a known time: which move, which finish there, and what the open steps need in slots. */

import { expect } from 'chai'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import type { Engine } from '../../../src/actors/common/steps/engineRegistry.ts'
import { EngineRegistry } from '../../../src/actors/common/steps/engineRegistry.ts'
import { ItemPlacement } from '../../../src/actors/common/steps/itemPlacement.ts'
import { LeavingEngines, outlastsEngine } from '../../../src/actors/common/steps/leavingEngines.ts'
import { slotDemands } from '../../../src/actors/common/steps/slotDemands.ts'
import type { StepWork } from '../../../src/actors/common/steps/stepWork.ts'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import type { Route } from '../../../src/core/common/routes/routeConfiguration.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import { ItemLengthEstimator } from '../../../src/core/common/steps/itemLengthEstimator.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { RecordedLog } from '../../support/recordedLog.ts'
import { newRoute, newTargetDefinition } from '../../support/routes.ts'
import { newItem } from '../../support/steps.ts'
import { newStepWork } from '../../support/texts.ts'

/** Time left at the leaving engine. Items generate an event each 10 ms, and expected tokens are events. */
const LEFT_MS = 2500
/** Time until the step is due. */
const DUE_MS = 7500

/** A step with items on engine `leaving`, beside an engine `staying`. */
class Fixture {
  readonly clock = new ManualClock()
  readonly log = new RecordedLog()
  readonly lengths = new ItemLengthEstimator()
  readonly table = new TargetTable({ clock: this.clock, stateLog: this.log })
  readonly work: StepWork
  readonly route: Route
  private readonly board: EngineRegistry
  private readonly placement: ItemPlacement
  private readonly leaving: Engine

  constructor (expectedTokens: readonly number[], { freeSlots = 6, details = {} as Partial<Route> } = {}) {
    this.work = newStepWork('now', expectedTokens.map((tokens, index) => newItem(`i-${index}`, 'g', tokens)), { minimumVersion: 3 })
    this.route = newRoute({ kind: 'steps', dueMs: this.clock.wall() + DUE_MS - this.work.step.submittedAt, host: 'steps.example', pathPrefix: '/steps/', destinations: [{ service: 'engines', weight: 1 }], ...details })
    const routes = new RouteTable({ version: 1, routes: [this.route], services: [{ name: 'engines', maximumConnections: 9, engine: { slots: 6, models: ['m'] } }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    for (const id of ['leaving', 'staying']) this.table.set(newTargetDefinition({ id, service: 'engines', rental: 'spot', slots: id === 'staying' ? freeSlots : 6, models: [{ model: 'm', version: 5 }] }))
    this.board = new EngineRegistry(this.table, this.clock, () => routes)
    this.placement = new ItemPlacement({ board: this.board, assignedModel: () => 'm', mechanisms: allMechanisms })
    this.lengths.recordItem(100, 100, 1000)
    this.work.waiting.length = 0
    const leaving = this.board.forService('engines').find(({ id }) => id === 'leaving')
    if (leaving === undefined) throw new Error('no engine')
    this.leaving = leaving
    for (const itemWork of this.work.items.values()) Object.assign(itemWork, { state: 'running', engine: leaving, runCancellation: new AbortController() })
  }

  announce (leavesInMs: number | undefined): void {
    this.table.set({ ...this.leaving.target.definition, draining: true, leavesAtMs: leavesInMs === undefined ? undefined : this.clock.monotonic() + leavesInMs })
  }

  /** Returns the items that move at this check. */
  check ({ isRented = true, isEnabled = true } = {}): string[] {
    const before = new Set(this.stopped())
    new LeavingEngines({ placement: this.placement, lengths: this.lengths, isRented: () => isRented, clock: this.clock, stateLog: this.log, mechanisms: { rented_targets: isEnabled } }).moveItems(this.work, this.route)
    return this.stopped().filter((id) => !before.has(id))
  }

  private stopped (): string[] {
    return [...this.work.items.values()].filter(({ runCancellation }) => runCancellation?.signal.aborted === true).map(({ item }) => item.id)
  }

  demand (): ReadonlyMap<string, number | undefined> {
    return slotDemands([this.work], { clock: this.clock, lengths: this.lengths, routeOf: () => this.route })
  }
}

describe('items on an engine that leaves', () => {
  it('move with their texts if they would not be finished, and others finish there', () => {
    // Guards against items that are broken off by the end of their engine, and against moves that cost more than they gain.
    const scene = new Fixture([500, 100, 231, 229])
    expect(scene.check()).to.deep.equal([])
    scene.work.items.get('i-0')?.text.add({ id: 0, data: 'd0', version: 5 })
    scene.announce(LEFT_MS)
    expect(scene.check()).to.deep.equal(['i-0', 'i-2'])
    expect(scene.work.items.get('i-0')?.text.events).to.deep.equal([{ data: 'd0', version: 5 }])
    expect([...scene.work.items.values()].map(({ state }) => state)).to.deep.equal(['waiting', 'running', 'waiting', 'running'])
    expect(scene.log.detailsOf('run moved off a leaving engine')).to.have.length(2)
  })

  it('count the margin against a late move', () => {
    expect([[2300, 2500], [2301, 2500], [0, 200], [0, 199]].map(([remainingMs = 0, leftMs = 0]) => outlastsEngine(remainingMs, leftMs))).to.deep.equal([false, true, false, true])
  })

  it('stay without a free slot elsewhere, the longest moving first', () => {
    // Guards against runs that are stopped and then wait for a slot, while their engine still works.
    const scene = new Fixture([300, 900, 400], { freeSlots: 1 })
    scene.announce(LEFT_MS)
    expect(scene.check()).to.deep.equal(['i-1'])
    const full = new Fixture([300], { freeSlots: 0 })
    full.announce(LEFT_MS)
    expect(full.check()).to.deep.equal([])
  })

  it('stay at a target that drains without an announced end, is not rented, or with the mechanism disabled', () => {
    // Guards against a change for deployments without rented targets.
    const scene = new Fixture([900])
    scene.announce(undefined)
    expect(scene.check()).to.deep.equal([])
    scene.announce(LEFT_MS)
    expect(scene.check({ isRented: false })).to.deep.equal([])
    expect(scene.check({ isEnabled: false })).to.deep.equal([])
    expect(scene.check()).to.deep.equal(['i-0'])
  })

  it('keep a single version where their route requires one', () => {
    const scene = new Fixture([900, 900], { details: { singleVersion: true } })
    scene.work.items.get('i-0')?.text.add({ id: 0, data: 'd0', version: 4 })
    scene.work.items.get('i-1')?.text.add({ id: 0, data: 'd0', version: 5 })
    scene.announce(LEFT_MS)
    expect(scene.check()).to.deep.equal(['i-1'])
  })

  it('leave no later because an entry is read again', () => {
    // Guards against an end that is counted anew from each reading of the same entry.
    const scene = new Fixture([150])
    scene.announce(LEFT_MS)
    scene.clock.freeze(1000)
    scene.announce(LEFT_MS)
    expect(scene.check()).to.deep.equal(['i-0'])
  })
})

describe('the slots that open steps need', () => {
  it('follow from the expected times and the due time', () => {
    const scene = new Fixture(Array(60).fill(250))
    expect(scene.demand().get('engines')).to.equal(Math.ceil(60 * 2500 / (DUE_MS - 1000 - 2500)))
    scene.clock.freeze(6000)
    expect(scene.demand().get('engines')).to.equal(60)
  })

  it('are unknown until an item shows how long one takes', () => {
    const scene = new Fixture([100])
    const unknown = slotDemands([scene.work], { clock: scene.clock, lengths: new ItemLengthEstimator(), routeOf: () => scene.route })
    expect([...unknown]).to.deep.equal([['engines', undefined]])
  })

  it('are shared by the destinations of a route', () => {
    const scene = new Fixture(Array(60).fill(250), { details: { destinations: [{ service: 'engines', weight: 1 }, { service: 'others', weight: 3 }, { service: 'unused', weight: 0 }] } })
    expect([...scene.demand()]).to.deep.equal([['engines', 38 / 4], ['others', 38 * 3 / 4]])
  })
})
