/**
 * Replays requests of many hosts to a few targets in simulated time, without network: each host decides by the
 * product's own code from what its own requests have told it. Targets work on a limited number of requests,
 * queue some and refuse the rest, and slow down for a while now and then.
 */

import { RouteCalls } from '../../src/actors/common/routes/routeCalls.ts'
import { TargetPlacement } from '../../src/actors/common/routes/targetPlacement.ts'
import { TargetTable } from '../../src/actors/common/routes/targetTable.ts'
import { createHash } from '../../src/adapters/node/xxHash.ts'
import type { Disposable } from '../../src/base/common/lifecycle.ts'
import { toDisposable } from '../../src/base/common/lifecycle.ts'
import type { Result } from '../../src/base/common/resultCode.ts'
import { failure, success } from '../../src/base/common/resultCode.ts'
import type { Mechanisms } from '../../src/core/common/mechanisms.ts'
import { allMechanisms } from '../../src/core/common/mechanisms.ts'
import type { Route } from '../../src/core/common/routes/routeConfiguration.ts'
import type { Clock, RandomSource } from '../../src/ports/common/clock.ts'
import type { Hash } from '../../src/ports/common/hash.ts'
import type { IdleConnections, Listening, TargetClient, TargetRequest, TargetResponse, TargetStream } from '../../src/ports/common/targetClient.ts'
import { targetProtocol } from '../../platform/index.ts'
import { noopMetrics, noopStateLog } from './fakeHost.ts'
import { newSeededChance } from './manualClock.ts'
import { newRoute, newTargetDefinition } from './routes.ts'
import { newCrashGuards } from './targetEnds.ts'

/** Time that a message takes in one direction, and to open a connection, in milliseconds. */
const LATENCY_MS = 1
/** Microtask turns within which a call reacts to one event. */
const TURNS_PER_EVENT = 12
const MILLISECONDS_PER_SECOND = 1000
/** Factor that makes the seeds of hosts differ in all bits: the first numbers of generators with similar seeds are alike. */
const SEED_SPREAD = 0x9E3779B1

/** Calls of one kind. */
export interface ReplayedCalls {
  readonly route: Route
  readonly workMs: number
  readonly perSecond: number
  /** Hosts that receive the calls; all if absent. */
  readonly hosts?: number
  readonly background?: boolean
}

export interface PlacementReplayOptions {
  readonly hosts: number
  /** Usual speed of each target: time per unit of work relative to the first target's. */
  readonly targetPaces: readonly number[]
  readonly slots: number
  readonly queue: number
  /** Whether targets report their slowdowns. Without it, everything is as it was before they did. */
  readonly reportsSlowdown: boolean
  /** Figure that a target reports instead of its slowdown; by index of the target. */
  readonly falseSlowdowns?: Readonly<Record<number, number>>
  readonly noise: { readonly fraction: number, readonly factor: number, readonly periodMs: number }
  readonly calls: readonly ReplayedCalls[]
  /** Time after which results count, and the time in which calls arrive from then on. */
  readonly warmUpMs: number
  readonly durationMs: number
  /** Interval at which each host hears of each target besides the answers to its requests; by answers only if absent. */
  readonly reportIntervalMs?: number
  /** How long a target keeps an idle connection, as it announces. */
  readonly keepAliveMs: number
  readonly seed: number
  readonly mechanisms?: Mechanisms
}

export interface ReplayedCallResult {
  readonly route: string
  readonly answered: boolean
  readonly tookMs: number
}

export interface PlacementReplayResult {
  readonly results: readonly ReplayedCallResult[]
  /** Sends that reached a target, and connections that were opened, after the warm-up. */
  readonly sends: number
  readonly connections: number
  /** Requests that each target has taken after the warm-up. */
  readonly taken: readonly number[]
  readonly refused: number
}

/** A clock whose events run in order of time. */
class ReplayClock implements Clock {
  now = 0
  private sequence = 0
  private readonly heap: { due: number, sequence: number, task: () => void, isCancelled: boolean }[] = []

  monotonic (): number {
    return this.now
  }

  wall (): number {
    return this.now
  }

  after (delayMs: number, task: () => void): Disposable {
    const event = { due: this.now + Math.max(0, delayMs), sequence: this.sequence++, task, isCancelled: false }
    this.push(event)
    return toDisposable(() => { event.isCancelled = true })
  }

  every (): Disposable {
    throw new Error('not used by calls')
  }

  async runUntil (end: number): Promise<void> {
    for (let next = this.heap[0]; next !== undefined && next.due <= end; next = this.heap[0]) {
      this.pop()
      if (next.isCancelled) continue
      this.now = next.due
      next.task()
      for (let turn = 0; turn < TURNS_PER_EVENT; turn++) await Promise.resolve()
    }
    this.now = end
  }

  private isBefore (a: number, b: number): boolean {
    const [first, second] = [this.heap[a], this.heap[b]]
    if (first === undefined || second === undefined) return false
    return first.due < second.due || (first.due === second.due && first.sequence < second.sequence)
  }

  private swap (a: number, b: number): void {
    const [first, second] = [this.heap[a], this.heap[b]]
    if (first === undefined || second === undefined) return
    this.heap[a] = second
    this.heap[b] = first
  }

  private push (event: ReplayClock['heap'][number]): void {
    this.heap.push(event)
    for (let child = this.heap.length - 1, parent = (child - 1) >> 1; child > 0 && this.isBefore(child, parent); child = parent, parent = (child - 1) >> 1) this.swap(child, parent)
  }

  private pop (): void {
    this.swap(0, this.heap.length - 1)
    this.heap.pop()
    for (let parent = 0; ;) {
      const left = 2 * parent + 1
      const smaller = this.isBefore(left + 1, left) ? left + 1 : left
      if (!this.isBefore(smaller, parent)) return
      this.swap(parent, smaller)
      parent = smaller
    }
  }
}

interface Work {
  readonly workMs: number
  readonly done: (report: string) => void
  isCancelled: boolean
}

class ReplayTarget {
  private running = 0
  private queue: Work[] = []
  private slowdown = 1
  taken = 0

  constructor (private readonly clock: ReplayClock, private readonly options: PlacementReplayOptions, private readonly index: number, random: RandomSource) {
    const { fraction, factor, periodMs } = options.noise
    const redraw = (): void => {
      this.slowdown = random.next() < fraction ? factor : 1
      clock.after(periodMs, redraw)
    }
    redraw()
  }

  get report (): string {
    const figures = [this.running, this.queue.length, this.options.slots]
    return [...figures, ...(this.options.reportsSlowdown ? [Math.round((this.options.falseSlowdowns?.[this.index] ?? this.slowdown) * 100)] : [])].join(',')
  }

  /** Takes work, or refuses it. */
  offer (work: Work): boolean {
    this.queue = this.queue.filter(({ isCancelled }) => !isCancelled)
    if (this.running >= this.options.slots && this.queue.length >= this.options.queue) return false
    this.taken++
    this.queue.push(work)
    this.startNext()
    return true
  }

  private startNext (): void {
    while (this.running < this.options.slots) {
      const work = this.queue.shift()
      if (work === undefined) return
      if (work.isCancelled) continue
      this.running++
      const pace = this.options.targetPaces[this.index] ?? 1
      this.clock.after(work.workMs * pace * this.slowdown, () => {
        this.running--
        work.done(this.report)
        this.startNext()
      })
    }
  }
}

interface ReplayConnection {
  readonly openedAt: number
  isBusy: boolean
  answeredAt: number
  idleUntil: number
}

/** Connections of one host, opened and kept as by the adapters of the product. */
class ReplayClient implements TargetClient, IdleConnections {
  private readonly connections = new Map<string, ReplayConnection[]>()
  opened = 0
  sends = 0
  refused = 0

  constructor (private readonly clock: ReplayClock, private readonly targets: ReadonlyMap<string, ReplayTarget>, private readonly options: PlacementReplayOptions) {}

  hasIdleConnection (address: string): boolean {
    return this.idleAt(address).length > 0
  }

  async exchange (request: TargetRequest): Promise<Result<TargetResponse>> {
    const { address, ownConnection, keepsIdle = false, signal } = request
    const target = this.targets.get(address)
    if (target === undefined) return failure('targetUnreachable', 'no such target')
    const reused = ownConnection ? undefined : this.idleAt(address).sort((a, b) => b.answeredAt - a.answeredAt)[0]
    const connection = reused ?? this.openConnection(address)
    connection.isBusy = true
    return await new Promise((resolve) => {
      const work: Work = { workMs: Number(request.path.slice(1)), isCancelled: false, done: (report) => { this.clock.after(LATENCY_MS, () => { finish(200, report) }) } }
      const finish = (status: number, report: string): void => {
        if (work.isCancelled) return
        connection.isBusy = false
        connection.answeredAt = this.clock.now
        // Pools close idle connections two seconds before the announced time, and those of single requests at once.
        connection.idleUntil = ownConnection && !keepsIdle ? Number.NEGATIVE_INFINITY : this.clock.now + this.options.keepAliveMs - (keepsIdle ? 1000 : 2000)
        const headers = { 'bulrushvalve-request-id': 'r', 'bulrushvalve-response-seal': 's', 'bulrushvalve-server-load': report, ...(status === 503 ? { 'bulrushvalve-not-run': '1' } : {}) }
        resolve(success({ status, headers, body: new Uint8Array() }))
      }
      signal.addEventListener('abort', () => {
        work.isCancelled = true
        this.close(address, connection)
        // Pools open another connection in place of that of an aborted request.
        if (!ownConnection && !keepsIdle) Object.assign(this.openConnection(address), { answeredAt: this.clock.now, idleUntil: this.clock.now + 4000 })
        resolve(failure('unknownOutcome', 'aborted'))
      }, { once: true })
      this.clock.after(LATENCY_MS * (reused === undefined ? 2 : 1), () => {
        if (work.isCancelled) return
        this.sends++
        if (target.offer(work)) return
        this.refused++
        this.clock.after(LATENCY_MS, () => { finish(503, target.report) })
      })
    })
  }

  async open (): Promise<Result<TargetStream>> {
    return failure('targetUnreachable', 'not used by calls')
  }

  retireConnections (address: string, minAgeMs: number = 0, answeredWithinMs: number = 0): void {
    const now = this.clock.now
    // The time of an answer spares only connections that are kept; a pool is retired as a whole.
    const isKept = this.options.reportsSlowdown && this.options.mechanisms?.target_subset !== false
    const isSpared = ({ openedAt, answeredAt }: ReplayConnection): boolean => now - openedAt < minAgeMs || (isKept && now - answeredAt < answeredWithinMs)
    this.connections.set(address, (this.connections.get(address) ?? []).filter(isSpared))
  }

  async listens (): Promise<Listening> {
    return 'yes'
  }

  private idleAt (address: string): ReplayConnection[] {
    const usable = (this.connections.get(address) ?? []).filter(({ isBusy, idleUntil }) => isBusy || idleUntil > this.clock.now)
    this.connections.set(address, usable)
    return usable.filter(({ isBusy }) => !isBusy)
  }

  private openConnection (address: string): ReplayConnection {
    this.opened++
    const connection = { openedAt: this.clock.now, isBusy: false, answeredAt: Number.NEGATIVE_INFINITY, idleUntil: Number.POSITIVE_INFINITY }
    this.connections.set(address, [...this.connections.get(address) ?? [], connection])
    return connection
  }

  private close (address: string, connection: ReplayConnection): void {
    this.connections.set(address, (this.connections.get(address) ?? []).filter((other) => other !== connection))
  }
}

interface ReplayHost {
  readonly client: ReplayClient
  readonly calls: RouteCalls
}

function newHost (clock: ReplayClock, targets: ReadonlyMap<string, ReplayTarget>, options: PlacementReplayOptions, index: number, hash: Hash): ReplayHost {
  const mechanisms = options.mechanisms ?? allMechanisms
  const table = new TargetTable({ clock, stateLog: noopStateLog, mechanisms })
  for (const id of targets.keys()) table.set(newTargetDefinition({ id, address: id, slots: options.slots }))
  const client = new ReplayClient(clock, targets, options)
  const placement = new TargetPlacement({ hash, client, machine: `h${index}`, liveHosts: () => options.hosts })
  const services = { targets: table, client, ...newCrashGuards(table, client, clock), placement, protocol: targetProtocol, clock, chance: newSeededChance(Math.imul(options.seed * 1000 + index, SEED_SPREAD)), metrics: noopMetrics, stateLog: noopStateLog, place: 'here', mechanisms }
  if (options.reportIntervalMs !== undefined) hearReports(clock, table, targets, options.reportIntervalMs, services.chance)
  return { client, calls: new RouteCalls(services) }
}

/** Lets a host hear of the targets at an interval, of each at another time. */
function hearReports (clock: ReplayClock, table: TargetTable, targets: ReadonlyMap<string, ReplayTarget>, intervalMs: number, chance: RandomSource): void {
  for (const [id, target] of targets) {
    const hear = (): void => {
      table.get(id)?.recordHead(targetProtocol.responseHead(200, { 'bulrushvalve-server-load': target.report }))
      clock.after(intervalMs, hear)
    }
    clock.after(chance.next() * intervalMs, hear)
  }
}

export async function replayPlacement (options: PlacementReplayOptions): Promise<PlacementReplayResult> {
  const clock = new ReplayClock()
  const random = newSeededChance(options.seed)
  const targets = new Map(options.targetPaces.map((_, index) => [`t${index}`, new ReplayTarget(clock, options, index, newSeededChance(options.seed + 100 + index))]))
  const hash = await createHash()
  const hosts = Array.from({ length: options.hosts }, (_, index) => newHost(clock, targets, options, index, hash))
  const results: ReplayedCallResult[] = []
  const end = options.warmUpMs + options.durationMs
  for (const calls of options.calls) {
    const arrive = (): void => {
      if (clock.now >= end) return
      const host = hosts[Math.floor(random.next() * (calls.hosts ?? hosts.length))]
      if (host !== undefined) startCall(clock, host, calls, (result) => { if (clock.now - result.tookMs >= options.warmUpMs) results.push(result) })
      clock.after(-Math.log(1 - random.next()) * MILLISECONDS_PER_SECOND / calls.perSecond, arrive)
    }
    clock.after(random.next() * MILLISECONDS_PER_SECOND / calls.perSecond, arrive)
  }
  const sum = (value: (client: ReplayClient) => number): number => hosts.reduce((total, { client }) => total + value(client), 0)
  const totals = (): { sends: number, connections: number, refused: number, taken: number[] } => ({ sends: sum(({ sends }) => sends), connections: sum(({ opened }) => opened), refused: sum(({ refused }) => refused), taken: [...targets.values()].map(({ taken }) => taken) })
  await clock.runUntil(options.warmUpMs)
  const before = totals()
  await clock.runUntil(end)
  const after = totals()
  await clock.runUntil(end + 2000)
  return { results, sends: after.sends - before.sends, connections: after.connections - before.connections, refused: after.refused - before.refused, taken: after.taken.map((taken, index) => taken - (before.taken[index] ?? 0)) }
}

function startCall (clock: ReplayClock, { calls }: ReplayHost, { route, workMs, background = false }: ReplayedCalls, onEnd: (result: ReplayedCallResult) => void): void {
  const beganAt = clock.now
  calls.call({ route, requestId: 'r', method: 'POST', path: `/${workMs}`, headers: () => [], body: undefined, waitMs: route.timeoutMs, configuration: 1, background, gone: new AbortController().signal }).then((result) => {
    onEnd({ route: route.name, answered: result.ok && result.value.answer.status === 200, tookMs: clock.now - beganAt })
  }).catch((error: unknown) => { throw error })
}

/** Returns the fraction of calls of a route that were answered within a time. */
export function fractionInTime (results: readonly ReplayedCallResult[], { name, objectiveMs }: Pick<Route, 'name' | 'objectiveMs'>): number {
  const ofRoute = results.filter(({ route }) => route === name)
  return ofRoute.filter(({ answered, tookMs }) => answered && tookMs <= objectiveMs).length / Math.max(1, ofRoute.length)
}

export const lookUp = newRoute({ name: 'look-up', objectiveMs: 184, timeoutMs: 1500, attempts: 2 })
export const score = newRoute({ name: 'score', objectiveMs: 193, timeoutMs: 1500, attempts: 2 })
