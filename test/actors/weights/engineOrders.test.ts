/** Orders to engines that refuse, fall silent, follow late or restart. */

import { expect } from 'chai'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { EngineBoard } from '../../../src/actors/common/steps/engineBoard.ts'
import type { ModelWork } from '../../../src/actors/common/weights/engineOrders.ts'
import { EngineOrders } from '../../../src/actors/common/weights/engineOrders.ts'
import { asIncarnation } from '../../../src/base/common/ids.ts'
import { Emitter } from '../../../src/base/common/lifecycle.ts'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import type { TargetClient, TargetRequest } from '../../../src/ports/common/targetClient.ts'
import { targetProtocol } from '../../../platform/index.ts'
import { quietLog, quietMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { targetDefinition } from '../../support/routes.ts'

/** An engine that keeps its own record of what it was ordered. */
class FakeEngine {
  version = 1
  sequence = 0
  readonly accepted: { version: number, fence: number, at: number }[] = []
  /** What the next orders meet: taken, taken without an answer, or taken seconds later without an answer. */
  faults: ('lost' | 'late' | 'dead')[] = []
  /** How old what it reports is, but for the versions, in milliseconds. */
  reportLagMs = 0
  /** Told in reports once it is set. */
  born: number | undefined
  private until = 0
  private states: { readonly from: number, readonly busy: boolean, readonly seq: number }[] = [{ from: 0, busy: false, seq: 0 }]

  constructor (private readonly clock: ManualClock) {}

  answer (request: TargetRequest): { status: number, body: object } | 'none' {
    const { busy, seq } = this.states.findLast(({ from }) => from <= this.clock.now - this.reportLagMs) ?? { busy: false, seq: 0 }
    if (request.path === '/report') return { status: 200, body: { models: [{ name: 'm', version: this.version }], busy, seq, running: 0, waiting: 0, ...(this.born === undefined ? {} : { born: this.born }) } }
    const order = JSON.parse(new TextDecoder().decode(request.body)) as { version: number, fence: number, precondition: number }
    const fault = this.faults.shift()
    if (fault === 'dead') return 'none'
    if (fault === 'late') {
      this.clock.after(3000, () => { this.take(order) })
      return 'none'
    }
    const status = this.take(order) ? 202 : 409
    return fault === 'lost' ? 'none' : { status, body: {} }
  }

  /** Starts again: the order under way and all counts are gone. */
  restart (born: number, version: number): void {
    this.born = born
    this.version = version
    this.sequence = 0
    this.until = 0
    this.states = [{ from: 0, busy: false, seq: 0 }]
  }

  private take ({ version, fence, precondition }: { version: number, fence: number, precondition: number }): boolean {
    if (this.clock.now < this.until || precondition !== this.sequence) return false
    this.sequence++
    this.accepted.push({ version, fence, at: this.clock.now })
    this.until = this.clock.now + 900
    this.states.push({ from: this.clock.now, busy: true, seq: this.sequence }, { from: this.until, busy: false, seq: this.sequence })
    const { born } = this
    this.clock.after(900, () => { if (this.born === born) this.version = version })
    return true
  }
}

describe('orders to engines', () => {
  let clock: ManualClock
  let engines: Map<string, FakeEngine>
  let orders: EngineOrders
  let demand: ModelWork
  let alone: boolean
  /** Engines whose kept connections are silent, until they are put aside. */
  let silent: Set<string>
  let table: TargetTable
  let dutyChanges: Emitter<void>

  function start (count: number): void {
    clock = new ManualClock()
    engines = new Map(Array.from({ length: count }, (_, index) => [`e${index}`, new FakeEngine(clock)]))
    silent = new Set()
    table = new TargetTable({ clock, stateLog: quietLog })
    for (const id of engines.keys()) table.set(targetDefinition({ id, service: 'engines', address: id, models: [{ model: 'm', version: 1 }] }))
    const routes = new RouteTable({ version: 1, routes: [], services: [{ name: 'engines', maximumConnections: 9, engine: { slots: 4, models: ['m'] } }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    const client: TargetClient = {
      exchange: async (request) => {
        await new Promise<void>((resolve) => { clock.after(2, resolve) })
        if (silent.has(request.address)) {
          await new Promise<void>((resolve) => {
            request.signal.addEventListener('abort', () => { resolve() }, { once: true })
            clock.after(600, resolve)
          })
          return failure('unknownOutcome', 'no answer')
        }
        const answer = engines.get(request.address)?.answer(request) ?? 'none'
        if (answer !== 'none') return success({ status: answer.status, headers: {}, body: new TextEncoder().encode(JSON.stringify(answer.body)) })
        await new Promise<void>((resolve) => { clock.after(600, resolve) })
        return failure('unknownOutcome', 'no answer')
      },
      open: async () => failure('targetUnreachable', 'not used'),
      distrust: (address) => { silent.delete(address) },
      listens: async () => 'yes'
    }
    demand = { model: 'm', namedVersion: 2, namedAgeMs: 0, minimumVersion: 1, waiting: 0, work: 1, mode: 'keep-running' }
    alone = true
    dutyChanges = new Emitter()
    orders = new EngineOrders({ board: new EngineBoard(table, clock, () => routes), duty: { get alone () { return alone }, get holds () { return alone }, term: 5, onChange: dutyChanges.event }, client, protocol: targetProtocol, clock, metrics: quietMetrics, stateLog: quietLog, machine: 'h', demands: () => [demand], onReady: () => undefined, mechanisms: allMechanisms })
    dutyChanges.fire()
  }
  afterEach(() => { orders.dispose() })

  const versions = (): number[] => [...engines.values()].map(({ version }) => version)
  const accepted = (): number => [...engines.values()].reduce((sum, engine) => sum + engine.accepted.length, 0)

  it('bring every engine to the named version, once each, two at a time', async () => {
    start(6)
    await clock.advance(4500)
    expect(versions()).to.deep.equal([2, 2, 2, 2, 2, 2])
    expect(accepted()).to.equal(6)
    const times = [...engines.values()].flatMap((engine) => engine.accepted.map(({ at }) => at)).sort((a, b) => a - b)
    for (let index = 2; index < times.length; index++) expect((times[index] ?? 0) - (times[index - 2] ?? 0)).to.be.at.least(900)
  })

  it('are not given by a host that may not be alone', async () => {
    start(2)
    alone = false
    await clock.advance(3000)
    expect(accepted()).to.equal(0)
  })

  it('load once though the answer to an order was lost', async () => {
    start(1)
    engines.get('e0')?.faults.push('lost')
    await clock.advance(4000)
    expect([versions(), accepted()]).to.deep.equal([[2], 1])
  })

  it('are not carried out twice when one is carried out late', async () => {
    // Symptom: an engine loaded an old version over a newer one, seconds later. The first order got no
    // answer and was carried out after the one that followed it.
    start(1)
    engines.get('e0')?.faults.push('late')
    await clock.advance(2500)
    demand = { ...demand, namedVersion: 3 }
    await clock.advance(6000)
    expect(versions()).to.deep.equal([3])
    expect(engines.get('e0')?.accepted.map(({ version }) => version)).to.deep.equal([2, 3])
  })

  it('reach an engine that was silent for a while', async () => {
    start(1)
    engines.get('e0')?.faults.push('dead', 'dead')
    await clock.advance(9000)
    expect(versions()).to.deep.equal([2])
  })

  /*
   * Engines were not loaded, and counted as failed, while kept connections to them were silent. Reports
   * and orders were sent into the same silent connections each time.
   */
  it('reach an engine at once whose kept connections went silent', async () => {
    start(1)
    silent.add('e0')
    await clock.advance(1400)
    expect(versions()).to.deep.equal([2])
    expect(table.get('e0')?.suspect).to.equal(false)
  })

  it('put connections aside on which an order got no answer', async () => {
    start(1)
    engines.get('e0')?.faults.push('dead')
    await clock.advance(200)
    silent.add('e0')
    await clock.advance(500)
    expect([...silent]).to.deep.equal([])
  })

  it('do not wait for an order that only an old report still shows', async () => {
    // Symptom: an engine took no items for five seconds. It had just ended a load when the next version was
    // named; its report, some hundred milliseconds old, still showed the order that had ended. The
    // holder took that for an order for the new version, gave none, and waited for the version in vain.
    start(1)
    const engine = engines.get('e0')
    if (engine !== undefined) engine.reportLagMs = 400
    await clock.advance(1000)
    demand = { ...demand, namedVersion: 3 }
    await clock.advance(2500)
    expect(versions()).to.deep.equal([3])
    expect(engine?.accepted.map(({ version }) => version)).to.deep.equal([2, 3])
  })

  it('of a former life of an engine end with it, and the present life is ordered anew', async () => {
    // Symptom: an engine that started again during a load stayed without the new version for five
    // seconds, or was taken to have it. The holder waited for the order that the former life had taken.
    for (const toldBy of ['entry', 'report']) {
      start(1)
      const engine = engines.get('e0')
      const enter = (born: number): void => { table.set(targetDefinition({ id: 'e0', incarnation: asIncarnation(born), service: 'engines', address: 'e0', models: [{ model: 'm', version: 1 }] })) }
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

  it('go from an old version to the newest, not through those between', async () => {
    start(1)
    demand = { ...demand, namedVersion: 7 }
    await clock.advance(3000)
    expect(engines.get('e0')?.accepted.map(({ version, fence }) => ({ version, fence }))).to.deep.equal([{ version: 7, fence: 5 }])
  })
})
