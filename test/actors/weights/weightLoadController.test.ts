/** Load orders to engines that refuse, do not answer, execute orders late or restart. */

import { expect } from 'chai'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { EngineRegistry } from '../../../src/actors/common/steps/engineRegistry.ts'
import type { ModelLoadDemand } from '../../../src/actors/common/weights/weightLoadController.ts'
import { WeightLoadController } from '../../../src/actors/common/weights/weightLoadController.ts'
import { asIncarnation } from '../../../src/base/common/ids.ts'
import { Emitter } from '../../../src/base/common/lifecycle.ts'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import type { TargetClient, TargetRequest } from '../../../src/ports/common/targetClient.ts'
import { targetProtocol } from '../../../platform/index.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { newTargetDefinition } from '../../support/routes.ts'

/** An engine that records the orders that it accepted. */
class FakeEngine {
  version = 1
  sequence = 0
  readonly accepted: { version: number, fence: number, at: number }[] = []
  /** Faults of the next orders: accepted without an answer, accepted seconds later without an answer, or dropped without an answer. */
  faults: ('lost' | 'late' | 'dead')[] = []
  /** Age of the reported state, except for the versions, in milliseconds. */
  reportLagMs = 0
  /** Included in reports once it is set. */
  born: number | undefined
  private busyUntil = 0
  private reportedStates: { readonly from: number, readonly busy: boolean, readonly seq: number }[] = [{ from: 0, busy: false, seq: 0 }]

  constructor (private readonly clock: ManualClock) {}

  handle (request: TargetRequest): { status: number, body: object } | 'none' {
    const { busy, seq } = this.reportedStates.findLast(({ from }) => from <= this.clock.now - this.reportLagMs) ?? { busy: false, seq: 0 }
    if (request.path === '/report') return { status: 200, body: { models: [{ name: 'm', version: this.version }], busy, seq, running: 0, waiting: 0, ...(this.born === undefined ? {} : { born: this.born }) } }
    const order = JSON.parse(new TextDecoder().decode(request.body)) as { version: number, fence: number, precondition: number }
    const fault = this.faults.shift()
    if (fault === 'dead') return 'none'
    if (fault === 'late') {
      this.clock.after(3000, () => { this.acceptOrder(order) })
      return 'none'
    }
    const status = this.acceptOrder(order) ? 202 : 409
    return fault === 'lost' ? 'none' : { status, body: {} }
  }

  /** Restarts the engine, which loses the active order and all counters. */
  restart (born: number, version: number): void {
    this.born = born
    this.version = version
    this.sequence = 0
    this.busyUntil = 0
    this.reportedStates = [{ from: 0, busy: false, seq: 0 }]
  }

  private acceptOrder ({ version, fence, precondition }: { version: number, fence: number, precondition: number }): boolean {
    if (this.clock.now < this.busyUntil || precondition !== this.sequence) return false
    this.sequence++
    this.accepted.push({ version, fence, at: this.clock.now })
    this.busyUntil = this.clock.now + 900
    this.reportedStates.push({ from: this.clock.now, busy: true, seq: this.sequence }, { from: this.busyUntil, busy: false, seq: this.sequence })
    const { born } = this
    this.clock.after(900, () => { if (this.born === born) this.version = version })
    return true
  }
}

describe('WeightLoadController', () => {
  let clock: ManualClock
  let engines: Map<string, FakeEngine>
  let orders: WeightLoadController
  let demand: ModelLoadDemand
  let isExclusive: boolean
  /** Engines whose pooled connections do not respond, until they are no longer reused. */
  let silentEngines: Set<string>
  let table: TargetTable
  let dutyChanges: Emitter<void>

  function start (count: number): void {
    clock = new ManualClock()
    engines = new Map(Array.from({ length: count }, (_, index) => [`e${index}`, new FakeEngine(clock)]))
    silentEngines = new Set()
    table = new TargetTable({ clock, stateLog: noopStateLog })
    for (const id of engines.keys()) table.set(newTargetDefinition({ id, service: 'engines', address: id, models: [{ model: 'm', version: 1 }] }))
    const routes = new RouteTable({ version: 1, routes: [], services: [{ name: 'engines', maximumConnections: 9, engine: { slots: 4, models: ['m'] } }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    const client: TargetClient = {
      exchange: async (request) => {
        await new Promise<void>((resolve) => { clock.after(2, resolve) })
        if (silentEngines.has(request.address)) {
          await new Promise<void>((resolve) => {
            request.signal.addEventListener('abort', () => { resolve() }, { once: true })
            clock.after(600, resolve)
          })
          return failure('unknownOutcome', 'no answer')
        }
        const answer = engines.get(request.address)?.handle(request) ?? 'none'
        if (answer !== 'none') return success({ status: answer.status, headers: {}, body: new TextEncoder().encode(JSON.stringify(answer.body)) })
        await new Promise<void>((resolve) => { clock.after(600, resolve) })
        return failure('unknownOutcome', 'no answer')
      },
      open: async () => failure('targetUnreachable', 'not used'),
      retireConnections: (address) => { silentEngines.delete(address) },
      listens: async () => 'yes'
    }
    demand = { model: 'm', namedVersion: 2, namedAgeMs: 0, minimumVersion: 1, waiting: 0, work: 1, mode: 'keep-running' }
    isExclusive = true
    dutyChanges = new Emitter()
    orders = new WeightLoadController({ board: new EngineRegistry(table, clock, () => routes), duty: { get alone () { return isExclusive }, get holds () { return isExclusive }, term: 5, onChange: dutyChanges.event }, client, protocol: targetProtocol, clock, metrics: noopMetrics, stateLog: noopStateLog, machine: 'h', demands: () => [demand], onEngineAvailable: () => undefined, mechanisms: allMechanisms })
    dutyChanges.fire()
  }
  afterEach(() => { orders.dispose() })

  const versions = (): number[] => [...engines.values()].map(({ version }) => version)
  const accepted = (): number => [...engines.values()].reduce((sum, engine) => sum + engine.accepted.length, 0)

  it('loads the named version on each engine once, two engines at a time', async () => {
    start(6)
    await clock.advance(4500)
    expect(versions()).to.deep.equal([2, 2, 2, 2, 2, 2])
    expect(accepted()).to.equal(6)
    const times = [...engines.values()].flatMap((engine) => engine.accepted.map(({ at }) => at)).sort((a, b) => a - b)
    for (let index = 2; index < times.length; index++) expect((times[index] ?? 0) - (times[index - 2] ?? 0)).to.be.at.least(900)
  })

  it('sends no orders while the host may not be the only holder of the duty', async () => {
    start(2)
    isExclusive = false
    await clock.advance(3000)
    expect(accepted()).to.equal(0)
  })

  it('loads once although the answer to an order was lost', async () => {
    start(1)
    engines.get('e0')?.faults.push('lost')
    await clock.advance(4000)
    expect([versions(), accepted()]).to.deep.equal([[2], 1])
  })

  it('does not load an older version when an order is executed late', async () => {
    // Guards against an engine that replaces a newer version with an old one seconds later: the first order got no answer
    // and was executed after the order that followed it.
    start(1)
    engines.get('e0')?.faults.push('late')
    await clock.advance(2500)
    demand = { ...demand, namedVersion: 3 }
    await clock.advance(6000)
    expect(versions()).to.deep.equal([3])
    expect(engines.get('e0')?.accepted.map(({ version }) => version)).to.deep.equal([2, 3])
  })

  it('reaches an engine that did not answer for a while', async () => {
    start(1)
    engines.get('e0')?.faults.push('dead', 'dead')
    await clock.advance(9000)
    expect(versions()).to.deep.equal([2])
  })

  /*
   * Guards against engines that get no loads and count as failed while their pooled connections are dead: report requests
   * and orders were sent over the same dead connections each time.
   */
  it('immediately reaches an engine whose pooled connections stopped responding', async () => {
    start(1)
    silentEngines.add('e0')
    await clock.advance(1400)
    expect(versions()).to.deep.equal([2])
    expect(table.get('e0')?.suspect).to.equal(false)
  })

  it('stops reusing connections on which an order got no answer', async () => {
    start(1)
    engines.get('e0')?.faults.push('dead')
    await clock.advance(200)
    silentEngines.add('e0')
    await clock.advance(500)
    expect([...silentEngines]).to.deep.equal([])
  })

  it('does not wait for an order that only an outdated report shows', async () => {
    // Guards against an engine that receives no items for five seconds. It had just finished a load when the next version was
    // named, and its report, some hundred milliseconds old, still showed the finished order. The holder took that for an
    // order for the new version, sent none, and waited for the version in vain.
    start(1)
    const engine = engines.get('e0')
    if (engine !== undefined) engine.reportLagMs = 400
    await clock.advance(1000)
    demand = { ...demand, namedVersion: 3 }
    await clock.advance(2500)
    expect(versions()).to.deep.equal([3])
    expect(engine?.accepted.map(({ version }) => version)).to.deep.equal([2, 3])
  })

  it('drops orders to an earlier incarnation of an engine and sends new ones to the current incarnation', async () => {
    // Guards against an engine that restarts during a load and stays without the new version for five seconds, or counts as
    // having it, because the holder waited for the order that the earlier incarnation had accepted.
    for (const toldBy of ['entry', 'report']) {
      start(1)
      const engine = engines.get('e0')
      const enter = (born: number): void => { table.set(newTargetDefinition({ id: 'e0', incarnation: asIncarnation(born), service: 'engines', address: 'e0', models: [{ model: 'm', version: 1 }] })) }
      engine?.restart(1, 1)
      enter(1)
      await clock.advance(400)
      expect(engine?.accepted, toldBy).to.have.length(1)
      engine?.restart(2, 1)
      if (toldBy === 'entry') enter(2)
      await clock.advance(2300)
      expect(versions(), toldBy).to.deep.equal([2])
      expect(engine?.accepted.map(({ version }) => version), toldBy).to.deep.equal([2, 2])
      expect(table.get('e0')?.definition.incarnation, toldBy).to.equal(2)
      orders.dispose()
    }
  })

  it('loads the newest version directly, without the versions in between', async () => {
    start(1)
    demand = { ...demand, namedVersion: 7 }
    await clock.advance(3000)
    expect(engines.get('e0')?.accepted.map(({ version, fence }) => ({ version, fence }))).to.deep.equal([{ version: 7, fence: 5 }])
  })
})
