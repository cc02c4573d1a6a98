/** Requests that crash their targets, as handled by several hosts that share one topic. */

import { setMaxListeners } from 'node:events'
import { expect } from 'chai'
import fc from 'fast-check'
import { RouteCalls } from '../../../src/actors/common/routes/routeCalls.ts'
import { StreamCalls } from '../../../src/actors/common/routes/streamCalls.ts'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import type { Result } from '../../../src/base/common/resultCode.ts'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import type { Route } from '../../../src/core/common/routes/routeConfiguration.ts'
import type { RequestContent } from '../../../src/ports/common/fingerprints.ts'
import type { Listening, TargetResponse, TargetClient, TargetRequest, TargetStream } from '../../../src/ports/common/targetClient.ts'
import { targetProtocol } from '../../../platform/index.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock, newSeededChance } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { newRoute, newTargetDefinition } from '../../support/routes.ts'
import type { CrashGuards } from '../../support/targetEnds.ts'
import { newCrashGuards } from '../../support/targetEnds.ts'

/** Longest time for which a caller of a stream may read nothing. */
const CALLER_PAUSE_MS = 10_000
/** Body of the request that crashes its targets. */
const CRASHING_BODY = 'fatal'
const content: RequestContent = { host: 'h', method: 'POST', path: '/a/', caller: undefined, body: CRASHING_BODY }
const REQUEST_ID = 'bulrushvalve-request-id'
const RUN_MS = 50
const RESTART_DELAY_MS = 3000
/** Time within which all hosts must know of a crash. */
const CRASH_PROPAGATION_MS = 3000
/** Limit of sends after that time, as promised to users. */
const MAX_LATER_SENDS = 3
/** Least share of a popular request that must be answered while targets fail. */
const MIN_SERVED_SHARE = 0.9
/** Limit of the time for which a request that targets answer may be held. */
const MAX_HELD_MS = 300_000
/** Interval at which a host reads the topic, in a large deployment and in a small one. */
const SLOW_READ_INTERVAL_MS = 800
const FAST_READ_INTERVAL_MS = 200

interface TargetProcess {
  readonly id: string
  alive: boolean
  running: number
  /** Aborts the requests that run there. */
  readonly end: AbortController
}

interface Sent {
  readonly body: string
  readonly at: number
}

/** Targets whose processes crash when they run one request, and return later under a new id. */
class Targets implements TargetClient {
  readonly processes = new Map<string, TargetProcess>()
  readonly sent: Sent[] = []
  readonly ended: number[] = []
  /** Whether targets answer all requests with a failure of their own before they run anything. */
  failing = false
  private started = 0
  private readonly tables: TargetTable[] = []

  constructor (private readonly clock: ManualClock, count: number) {
    for (let target = 0; target < count; target++) this.start(`a${target}`)
  }

  /** Addresses of targets with running requests. */
  get busyAddresses (): string[] {
    return [...this.processes].filter(([, { running }]) => running > 0).map(([address]) => address)
  }

  addTable (table: TargetTable): void {
    this.tables.push(table)
    for (const [address, { id }] of this.processes) table.set(newTargetDefinition({ id, address }))
  }

  /** Ends the process at an address, for any reason. */
  crash (address: string): void {
    const targetProcess = this.processes.get(address)
    if (targetProcess?.alive !== true) return
    targetProcess.alive = false
    targetProcess.end.abort()
    this.clock.after(RESTART_DELAY_MS, () => {
      for (const table of this.tables) table.remove(targetProcess.id, Number.NEGATIVE_INFINITY)
      this.start(address)
    })
  }

  /** Breaks all connections to a target that keeps running. */
  reset (address: string): void {
    const targetProcess = this.processes.get(address)
    if (targetProcess?.alive !== true) return
    targetProcess.end.abort()
    this.processes.set(address, { ...targetProcess, running: 0, end: new AbortController() })
  }

  async exchange (request: TargetRequest): Promise<Result<TargetResponse>> {
    const body = new TextDecoder().decode(request.body)
    const id = request.headers[request.headers.indexOf(REQUEST_ID) + 1] ?? ''
    const targetProcess = this.processes.get(request.address)
    if (targetProcess?.alive !== true) return failure('targetUnreachable', 'refused')
    if (!request.headers.includes(targetProcess.id)) return success({ status: 421, headers: { [REQUEST_ID]: id }, body: new Uint8Array() })
    this.sent.push({ body, at: this.clock.now })
    if (this.failing) return success({ status: 500, headers: { [REQUEST_ID]: id, 'bulrushvalve-response-seal': 's' }, body: new Uint8Array() })
    targetProcess.running++
    const over = AbortSignal.any([targetProcess.end.signal, request.signal])
    await new Promise<void>((resolve) => {
      over.addEventListener('abort', () => { resolve() }, { once: true })
      this.clock.after(RUN_MS, resolve)
    })
    targetProcess.running--
    if (request.signal.aborted) return failure('unknownOutcome', 'aborted')
    if (body === CRASHING_BODY && targetProcess.alive) {
      this.ended.push(this.clock.now)
      this.crash(request.address)
    }
    if (!targetProcess.alive || targetProcess.end.signal.aborted) return failure('unknownOutcome', 'other side closed')
    return success({ status: 200, headers: { [REQUEST_ID]: id, 'bulrushvalve-response-seal': 's' }, body: new Uint8Array() })
  }

  async open (request: TargetRequest): Promise<Result<TargetStream>> {
    const answer = await this.exchange(request)
    if (!answer.ok) return answer
    const pieces = (async function * () { yield new TextEncoder().encode('id: 0\ndata: d\n\n') })()
    return success({ status: answer.value.status, headers: answer.value.headers, pieces, cancel: () => undefined })
  }

  async listens (address: string): Promise<Listening> {
    return this.processes.get(address)?.alive === true ? 'yes' : 'no'
  }

  retireConnections (): void {}

  private start (address: string): void {
    const targetProcess: TargetProcess = { id: `t${this.started++}`, alive: true, running: 0, end: new AbortController() }
    this.processes.set(address, targetProcess)
    for (const table of this.tables) table.set(newTargetDefinition({ id: targetProcess.id, address }))
  }
}

class Host {
  readonly table: TargetTable
  readonly guards: CrashGuards
  private readonly calls: RouteCalls
  private readonly streams: StreamCalls
  lost = false

  constructor (private readonly fleet: Fleet, seed: number, private readonly route: Route) {
    const { clock, targets, log } = fleet
    this.table = new TargetTable({ clock, stateLog: noopStateLog })
    targets.addTable(this.table)
    this.guards = newCrashGuards(this.table, targets, clock, { log, seed })
    this.guards.followed.reload()
    const services = { targets: this.table, client: targets, ...this.guards, protocol: targetProtocol, clock, chance: newSeededChance(seed), metrics: noopMetrics, stateLog: noopStateLog, place: 'here', mechanisms: allMechanisms }
    this.calls = new RouteCalls(services)
    this.streams = new StreamCalls(services, CALLER_PAUSE_MS)
    const reading = clock.every(fleet.readMs, () => { if (this.lost) reading.dispose(); else this.guards.followed.catchUp().catch(() => undefined) })
  }

  async call (body: string): Promise<string> {
    const id = this.fleet.newId()
    const request = { route: this.route, requestId: id, method: 'POST', path: '/a/', headers: (options: Parameters<typeof targetProtocol.forwardHeaders>[1]) => targetProtocol.forwardHeaders([REQUEST_ID, id], options, { type: 'open' }), body: new TextEncoder().encode(body), waitMs: 2000, configuration: 1, background: false, gone: this.fleet.gone.signal }
    if (this.route.kind !== 'streaming') {
      const answer = await this.calls.call(request)
      return answer.ok ? 'answered' : answer.code
    }
    let whole = false
    const failed = await this.streams.call({ ...request, resumeAfter: undefined }, { writeHead: () => undefined, write: () => undefined, end: () => { whole = true }, abort: () => undefined })
    return failed?.code ?? (whole ? 'answered' : 'cut')
  }
}

/** Represents all callers of a fleet; many calls listen for its abort at once. */
function callers (): AbortController {
  const controller = new AbortController()
  setMaxListeners(0, controller.signal)
  return controller
}

class Fleet {
  readonly clock = new ManualClock()
  readonly log = new MemoryKeyedLog()
  readonly targets: Targets
  gone = callers()
  /** Times at which hosts were lost or the store returned. */
  readonly disturbedAt: number[] = []
  hosts: Host[] = []
  private seeds = 1
  private requests = 0

  constructor (hosts: number, targets: number, private readonly details: Partial<Route> = {}, readonly readMs = SLOW_READ_INTERVAL_MS) {
    this.targets = new Targets(this.clock, targets)
    for (let host = 0; host < hosts; host++) this.start()
  }

  newId (): string {
    return `r${this.requests++}`
  }

  /** Disconnects all callers. */
  disconnectCallers (): void {
    this.gone.abort()
    this.gone = callers()
  }

  async perform (next: Action): Promise<void> {
    switch (next.type) {
      case 'ask':
        this.hosts[next.host]?.call(next.body).catch(() => undefined)
        return await this.clock.advance(5)
      case 'machine fails': return this.targets.crash(`a${next.target}`)
      case 'all hosts are lost':
        // Crashes that are not in the store yet are lost with the hosts, and nobody can know of them.
        await this.clock.advance(this.log.down ? 0 : 100)
        if (this.log.down) return
        this.replaceAllHosts()
        this.disturbedAt.push(this.clock.now)
        return
      case 'store is away':
        this.log.down = true
        await this.clock.advance(next.forMs)
        this.log.down = false
        this.disturbedAt.push(this.clock.now)
        return await this.clock.advance(500)
      case 'time passes': return await this.clock.advance(next.ms)
    }
  }

  /** Loses all hosts at once and starts as many new ones. */
  replaceAllHosts (): void {
    const { length } = this.hosts
    for (const host of this.hosts.splice(0)) host.lost = true
    for (let host = 0; host < length; host++) this.start()
  }

  async ask (host: number, body: string, advanceMs = 0): Promise<string> {
    const answer = this.hosts[host % this.hosts.length]?.call(body)
    const state = { ended: 'none' }
    answer?.then((value) => { state.ended = value }).catch(() => undefined)
    for (let waited = 0; state.ended === 'none' && waited < 3000; waited += 10) await this.clock.advance(10)
    await this.clock.advance(advanceMs)
    return state.ended
  }

  /** Number of sends of the crashing request after all hosts know of the third crash, outside of disturbances and the time that hosts need after them. */
  get laterSends (): number {
    const third = this.targets.ended[2] ?? Number.POSITIVE_INFINITY
    const isCalm = (at: number): boolean => this.disturbedAt.every((disturbedAt) => at < disturbedAt || at > disturbedAt + CRASH_PROPAGATION_MS)
    return this.targets.sent.filter(({ body, at }) => body === CRASHING_BODY && at > third + CRASH_PROPAGATION_MS && isCalm(at)).length
  }

  private start (): void {
    const seed = this.seeds++
    this.hosts.push(new Host(this, seed, newRoute({ attempts: 3, objectiveMs: 150, ...this.details })))
  }
}

describe('a request that crashes targets', () => {
  for (const [name, details] of [['a call', {}], ['a call that may run once', { kind: 'once-only', attempts: 1 }], ['a stream', { kind: 'streaming', resumable: true }]] as const) {
    it(`reaches targets at most three more times once all hosts know of three crashes, as ${name} sent to the hosts in turn`, async () => {
      const fleet = new Fleet(4, 6, details)
      const answers: string[] = []
      for (let repeat = 0; repeat < 30; repeat++) answers.push(await fleet.ask(repeat, CRASHING_BODY, 700))
      expect(fleet.laterSends).to.be.at.most(MAX_LATER_SENDS)
      expect(fleet.targets.ended.length).to.be.at.least(3)
      expect(answers.at(-1)).to.equal('requestHeld')
      expect(answers).to.not.include('answered')
    })
  }

  it('leaves a service with three targets at least one of them at any time', async () => {
    const fleet = new Fleet(3, 3, {}, FAST_READ_INTERVAL_MS)
    for (let repeat = 0; repeat < 20; repeat++) {
      await fleet.ask(repeat, CRASHING_BODY, 200)
      expect(await fleet.ask(repeat + 1, `other ${repeat}`, 300)).to.equal('answered')
    }
  })

  it('is known to newly started hosts after the loss of all hosts', async () => {
    const fleet = new Fleet(3, 6)
    for (let repeat = 0; repeat < 12; repeat++) await fleet.ask(repeat, CRASHING_BODY, 700)
    const before = fleet.targets.ended.length
    fleet.replaceAllHosts()
    for (let repeat = 0; repeat < 6; repeat++) expect(await fleet.ask(repeat, CRASHING_BODY, 700)).to.equal('requestHeld')
    expect(fleet.targets.ended.length).to.equal(before)
  })

  it('is recorded in the store once the store is available again', async () => {
    const fleet = new Fleet(2, 6)
    fleet.log.down = true
    for (let repeat = 0; repeat < 2; repeat++) await fleet.ask(0, CRASHING_BODY, 300)
    fleet.log.down = false
    await fleet.clock.advance(2000)
    expect(fleet.hosts[1]?.guards.held.counts).to.deep.equal({ held: 1, watched: 0 })
  })

  it('is not cleared by a failure of a target', async () => {
    const fleet = new Fleet(1, 6)
    for (let repeat = 0; repeat < 12; repeat++) {
      fleet.targets.failing = repeat % 2 === 1
      await fleet.ask(0, CRASHING_BODY, 4500)
    }
    expect(fleet.targets.ended.length).to.be.at.most(4)
    expect(fleet.laterSends).to.be.at.most(MAX_LATER_SENDS)
  })

  it('is not hedged when it is late', async () => {
    const fleet = new Fleet(1, 6, { objectiveMs: 60 })
    await fleet.ask(0, 'warm', 100)
    fleet.targets.crash('a0')
    const before = fleet.targets.sent.length
    await fleet.ask(0, CRASHING_BODY, 0)
    // The first send is late after 30 ms, and its target crashes after 50 ms.
    expect(fleet.targets.sent.length - before).to.be.at.most(3)
  })

  it('is distinguished from a request that was running on two machines that failed: all callers of that one are answered', async () => {
    const fleet = new Fleet(2, 8)
    for (let machine = 0; machine < 2; machine++) {
      const asked = fleet.hosts[machine]?.call('popular')
      await fleet.clock.advance(20)
      const [address] = fleet.targets.busyAddresses
      fleet.targets.crash(address ?? '')
      // The caller disconnects before another target answers, so nothing clears the request.
      await fleet.clock.advance(5)
      fleet.disconnectCallers()
      await fleet.clock.advance(1000)
      expect(await asked).to.equal('cancelled')
    }
    expect(fleet.hosts[0]?.guards.held.counts).to.deep.equal({ held: 1, watched: 0 })
    // The second caller disconnected during the trial that its call had claimed, so the next trial is possible only after a pause.
    await fleet.clock.advance(4000)
    const together = [0, 1, 0, 1, 0, 1].map((host) => fleet.hosts[host]?.call('popular'))
    await fleet.clock.advance(3000)
    expect(await Promise.all(together)).to.deep.equal(Array(6).fill('answered'))
    expect(fleet.hosts[0]?.guards.held.counts).to.deep.equal({ held: 0, watched: 0 })
  })

  it('is sent like any other if the mechanism is disabled', async () => {
    const clock = new ManualClock()
    const table = new TargetTable({ clock, stateLog: noopStateLog })
    const { held, ends } = newCrashGuards(table, new Targets(clock, 0), clock, { held: false })
    for (const id of ['1', '2', '3']) {
      table.set(newTargetDefinition({ id, address: id }))
      const target = table.get(id)
      if (target !== undefined) await ends.track(target, content, 'r').connectionBroke()
    }
    expect(held.standing(content)).to.deep.equal({ type: 'free' })
  })
})

/** Disruptions applied once a second while all callers send the same harmless request. */
const harmlessDisruptions: Readonly<Record<string, (fleet: Fleet, second: number) => void>> = {
  'connections are reset repeatedly': ({ targets }) => { for (let target = 0; target < 8; target++) targets.reset(`a${target}`) },
  'a rack is lost': ({ targets }, second) => { if (second === 2) for (let target = 0; target < 4; target++) targets.crash(`a${target}`) },
  'machines fail one after another': ({ targets }, second) => { targets.crash(`a${second % 8}`) },
  'machines that run the request fail': ({ targets }) => { targets.crash(targets.busyAddresses[0] ?? '') },
  'targets are replaced one after another': ({ hosts, targets, clock }, second) => {
    const address = `a${second % 8}`
    const id = targets.processes.get(address)?.id ?? ''
    for (const { table } of hosts) table.set(newTargetDefinition({ id, address, draining: true }))
    clock.after(800, () => { targets.crash(address) })
  }
}

describe('a request that many callers send', () => {
  for (const [name, goesOn] of Object.entries(harmlessDisruptions)) {
    it(`is never held back while ${name}`, async () => {
      const fleet = new Fleet(4, 8, { attempts: 3 }, FAST_READ_INTERVAL_MS)
      const answers: string[] = []
      for (let second = 0; second < 12; second++) {
        for (let ask = 0; ask < 10; ask++) {
          fleet.hosts[ask % 4]?.call('the question of the day').then((answer) => { answers.push(answer) }).catch(() => undefined)
          await fleet.clock.advance(30)
          if (ask === 4) goesOn(fleet, second)
          await fleet.clock.advance(70)
        }
      }
      await fleet.clock.advance(3000)
      expect(answers.filter((answer) => answer === 'requestHeld')).to.have.length(0)
      expect(answers.filter((answer) => answer === 'answered').length / 120).to.be.at.least(MIN_SERVED_SHARE)
    })
  }

  it('costs no records without a crash, and at most two records for each host that had it at a crashed target', async () => {
    for (const hosts of [12, 60, 195]) {
      const fleet = new Fleet(hosts, 1, { attempts: 3 })
      const all = Array.from({ length: hosts }, (_, host) => host)
      await Promise.all([...all.map(async (host) => await fleet.hosts[host]?.call('popular')), fleet.clock.advance(200)])
      expect(fleet.log.appends, `${hosts} hosts at rest`).to.equal(0)
      const asked = Promise.all(all.map(async (host) => await fleet.hosts[host]?.call('popular')))
      await fleet.clock.advance(20)
      fleet.targets.crash('a0')
      await fleet.clock.advance(5000)
      await asked
      await Promise.all([...all.map(async (host) => await fleet.hosts[host]?.call('popular')), fleet.clock.advance(2000)])
      expect(fleet.log.appends, `${hosts} hosts`).to.be.within(hosts, 2 * hosts)
    }
  })
})

/** A random action: a request, a machine failure, the loss of all hosts, an outage of the store, or the passage of time. */
type Action =
  | { readonly type: 'ask', readonly host: number, readonly body: string }
  | { readonly type: 'machine fails', readonly target: number }
  | { readonly type: 'all hosts are lost' }
  | { readonly type: 'store is away', readonly forMs: number }
  | { readonly type: 'time passes', readonly ms: number }

const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constant('ask' as const), host: fc.nat(3), body: fc.constant(CRASHING_BODY) }) },
  { weight: 6, arbitrary: fc.record({ type: fc.constant('ask' as const), host: fc.nat(3), body: fc.constantFrom('popular', 'seldom') }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('machine fails' as const), target: fc.nat(7) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('all hosts are lost' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('store is away' as const), forMs: fc.integer({ min: 200, max: 4000 }) }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('time passes' as const), ms: fc.integer({ min: 10, max: 5000 }) }) }
)

describe('requests that crash targets, through random actions', function () {
  this.timeout(60_000)

  it('reach targets at most three more times once undisturbed hosts know of the third crash, and no other request is held indefinitely', async () => {
    await fc.assert(fc.asyncProperty(fc.array(action, { minLength: 10, maxLength: 60 }), async (actions) => {
      const fleet = new Fleet(4, 8, { attempts: 3 }, FAST_READ_INTERVAL_MS)
      for (const next of actions) await fleet.perform(next)
      await fleet.clock.advance(8000)
      expect(fleet.laterSends).to.be.at.most(MAX_LATER_SENDS)
      for (const body of ['popular', 'seldom']) {
        // A request whose trials all coincided with crashes caused by the other waits for its next trial.
        if (await fleet.ask(0, body) === 'requestHeld') fleet.clock.freeze(MAX_HELD_MS)
        expect(await fleet.ask(0, body), body).to.equal('answered')
      }
    }), { numRuns: 60, seed: 5 })
  })
})
