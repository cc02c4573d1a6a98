/** Test harness of hosts that call targets on loopback through forwarders whose connections a test can silence. */

import { RouteCalls } from '../../src/actors/common/routes/routeCalls.ts'
import { allMechanisms } from '../../src/core/common/mechanisms.ts'
import type { RoutedRequest } from '../../src/actors/common/routes/routedRequest.ts'
import { StreamCalls } from '../../src/actors/common/routes/streamCalls.ts'
import { TargetPlacement } from '../../src/actors/common/routes/targetPlacement.ts'
import { TargetTable } from '../../src/actors/common/routes/targetTable.ts'
import { ConnectionPools } from '../../src/adapters/node/connectionPools.ts'
import { KeepAliveConnections } from '../../src/adapters/node/keepAliveConnections.ts'
import { HttpTargetClient } from '../../src/adapters/node/httpTargetClient.ts'
import { NodeClock } from '../../src/adapters/node/nodeClock.ts'
import { createHash } from '../../src/adapters/node/xxHash.ts'
import type { CounterName } from '../../src/base/common/metricNames.ts'
import type { Route } from '../../src/core/common/routes/routeConfiguration.ts'
import type { Hash } from '../../src/ports/common/hash.ts'
import type { StandIn } from '../../standins/httpStandIn.ts'
import { pause, startStandIn } from '../../standins/httpStandIn.ts'
import { targetProtocol } from '../../platform/index.ts'
import type { FaultyForwarder } from './faultyForwarder.ts'
import { startFaultyForwarder } from './faultyForwarder.ts'
import { noopStateLog, noopMetrics } from './fakeHost.ts'
import { newSeededChance } from './manualClock.ts'
import { ProcessorWaits } from './processorWaits.ts'
import { newRoute, newTargetDefinition } from './routes.ts'
import { newCrashGuards } from './targetEnds.ts'

/** Short calls of interactive callers, and calls that score samples. The times are those of typical site configurations. */
export const lookUpRoute = newRoute({ name: 'look-up', timeoutMs: 2000, objectiveMs: 156, attempts: 2 })
export const scoringRoute = newRoute({ name: 'scoring', timeoutMs: 3000, objectiveMs: 514, attempts: 3 })
/** A route of resumable streams. */
export const streamingRoute = newRoute({ name: 'streaming', kind: 'streaming', timeoutMs: 12_000, objectiveMs: 400, attempts: 2, resumable: true })
const WORK_TIME_MS: Readonly<Record<string, number>> = { '/look-up/': 27, '/scoring/': 114 }

/** Result of one call. */
export interface CallResult {
  readonly beganAt: number
  /** Duration without the time in which the process waited for the processor, in milliseconds. */
  readonly tookMs: number
  readonly answered: boolean
}

export interface HarnessHost {
  readonly calls: RouteCalls
  readonly streams: StreamCalls
  readonly client: HttpTargetClient
  readonly table: TargetTable
}

export class SilentConnectionHarness {
  readonly hosts: HarnessHost[] = []
  readonly forwarders: FaultyForwarder[] = []
  /** Number of times each request arrived at a target, by request id. */
  readonly arrivalCounts = new Map<string, number>()
  hedgeCount = 0
  /** Factor by which the first target is slower than usual. */
  slowness = 1
  /** Current and maximum number of calls without an answer. */
  waiting = 0
  maxWaiting = 0
  private readonly targets: StandIn[] = []
  private readonly connections: (ConnectionPools | KeepAliveConnections)[] = []
  private readonly processorWaits = new ProcessorWaits()
  private requests = 0
  private hash: Hash = { digest: () => '', number: () => 0 }

  /** @param reportsSlowdown whether targets report how slowly they work, so that hosts keep connections to them while idle */
  constructor (private readonly reportsSlowdown: boolean) {}

  static async start (hosts: number, targets: number, reportsSlowdown: boolean = false): Promise<SilentConnectionHarness> {
    const harness = new SilentConnectionHarness(reportsSlowdown)
    harness.hash = await createHash()
    for (let index = 0; index < targets; index++) await harness.addTarget(index)
    for (let index = 0; index < hosts; index++) harness.addHost(index)
    return harness
  }

  private async addTarget (number: number): Promise<void> {
    const target = await startStandIn(async ({ path, headers, response }) => {
      const id = String(headers['bulrushvalve-request-id'])
      this.arrivalCounts.set(id, (this.arrivalCounts.get(id) ?? 0) + 1)
      const slowness = number === 0 ? this.slowness : 1
      await pause((WORK_TIME_MS[path] ?? 0) * slowness)
      response.writeHead(200, { 'bulrushvalve-request-id': id, 'bulrushvalve-response-seal': 's', ...(this.reportsSlowdown ? { 'bulrushvalve-server-load': `0,0,6,${slowness * 100}` } : {}) })
      response.end(path === '/streaming/' ? 'id: 0\ndata: done\n\n' : 'done')
    })
    this.targets.push(target)
    this.forwarders.push(await startFaultyForwarder(() => target.address))
  }

  private addHost (index: number): void {
    const clock = new NodeClock()
    const table = new TargetTable({ clock, stateLog: noopStateLog })
    for (const [number, cutter] of this.forwarders.entries()) table.set(newTargetDefinition({ id: `t${number}`, address: new URL(cutter.address).host }))
    // Pooled connections are not used any more once a report has been received.
    if (this.reportsSlowdown) table.get('t0')?.recordLoad({ running: 0, waiting: 0, slots: 6, slowdown: 1 })
    const settings = { connections: 64, connectTimeoutMs: 400, inactivityTimeoutMs: 30_000, maximumAnswerBytes: 100_000 }
    const [pools, keepAlive] = [new ConnectionPools(settings), new KeepAliveConnections(settings)]
    this.connections.push(pools, keepAlive)
    const client = new HttpTargetClient(pools, settings, keepAlive)
    const placement = new TargetPlacement({ hash: this.hash, client, machine: `h${index}`, liveHosts: () => this.hosts.length })
    const metrics = { ...noopMetrics, count: (name: CounterName) => { if (name === 'calls.second_target') this.hedgeCount++ } }
    const services = { targets: table, client, ...newCrashGuards(table, client, clock), placement, protocol: targetProtocol, clock, chance: newSeededChance(index + 1), metrics, stateLog: noopStateLog, place: 'here', mechanisms: allMechanisms }
    this.hosts.push({ client, table, calls: new RouteCalls(services), streams: new StreamCalls(services, 10_000) })
  }

  /** Sends one call from one host. */
  async call (host: number, called: Route, background = false): Promise<CallResult> {
    const id = `q${this.requests++}`
    const beganAt = performance.now()
    this.waiting++
    this.maxWaiting = Math.max(this.maxWaiting, this.waiting)
    const answer = await this.hosts[host % this.hosts.length]?.calls.call({
      ...newRequestDetails(called, id),
      background
    })
    this.waiting--
    return { beganAt, tookMs: this.elapsedSince(beganAt), answered: answer?.ok === true }
  }

  /** Opens one stream from one host. It counts as answered if it arrives whole. */
  async stream (host: number): Promise<CallResult> {
    const beganAt = performance.now()
    let whole = false
    await this.hosts[host]?.streams.call({ ...newRequestDetails(streamingRoute, `q${this.requests++}`), background: false, resumeAfter: undefined }, {
      writeHead: () => undefined,
      write: () => undefined,
      end: () => { whole = true },
      abort: () => undefined
    })
    return { beganAt, tookMs: this.elapsedSince(beganAt), answered: whole }
  }

  /** Opens several connections from each host to each target. Hosts take turns, so that no call is late and closes a connection. */
  async openConnections (): Promise<void> {
    for (let host = 0; host < this.hosts.length; host++) await Promise.all(Array.from({ length: 8 }, async () => await this.call(host, lookUpRoute)))
  }

  /** Sends calls at a constant rate, hosts taking turns. Resolves when the last call has ended. */
  async callAtConstantRate (called: Route, periodMs: number, durationMs: number): Promise<CallResult[]> {
    const results: Promise<CallResult>[] = []
    const until = performance.now() + durationMs
    for (let host = 0; performance.now() < until; host++) {
      results.push(this.call(host, called))
      await pause(periodMs)
    }
    return await Promise.all(results)
  }

  /** Sends background calls from one host with several sequential workers, while the host has free slots. */
  async runBackgroundCalls (host: number, concurrency: number, durationMs: number): Promise<CallResult[]> {
    const until = performance.now() + durationMs
    const runWorker = async (): Promise<CallResult[]> => {
      const results: CallResult[] = []
      while (performance.now() < until) {
        if (this.hosts[host]?.calls.hasBackgroundCapacity(scoringRoute) === true) results.push(await this.call(host, scoringRoute, true))
        else await pause(20)
      }
      return results
    }
    return (await Promise.all(Array.from({ length: concurrency }, runWorker))).flat()
  }

  /** Number of requests that hosts count as in flight to targets. */
  get inFlightCount (): number {
    return this.hosts.flatMap(({ table }) => table.available('s')).reduce((sum, { inFlight }) => sum + inFlight, 0)
  }

  get connectionCount (): number {
    return this.forwarders.reduce((sum, { connectionCount: made }) => sum + made, 0)
  }

  private elapsedSince (beganAt: number): number {
    const now = performance.now()
    return now - beganAt - this.processorWaits.waitedMsBetween(beganAt, now)
  }

  async close (): Promise<void> {
    this.processorWaits.dispose()
    for (const connections of this.connections) connections.dispose()
    for (const cutter of this.forwarders) await cutter.close()
    for (const target of this.targets) await target.close()
  }
}

function newRequestDetails (called: Route, id: string): Omit<RoutedRequest, 'background'> {
  return {
    route: called,
    requestId: id,
    method: 'POST',
    path: `/${called.name}/`,
    headers: (options) => ['bulrushvalve-request-id', id, ...targetProtocol.forwardHeaders([], options, { type: 'open' })],
    body: undefined,
    waitMs: called.timeoutMs,
    configuration: 1,
    gone: new AbortController().signal
  }
}

/** Returns the fraction of calls that were answered within a time limit. */
export function fractionAnsweredWithin (results: readonly CallResult[], milliseconds: number): number {
  return results.filter(({ answered, tookMs }) => answered && tookMs <= milliseconds).length / Math.max(1, results.length)
}
