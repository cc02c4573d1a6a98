/** Hosts that call targets on loopback through forwarders whose connections a test makes silent. */

import { RouteCalls } from '../../src/actors/common/routes/routeCalls.ts'
import { allMechanisms } from '../../src/core/common/mechanisms.ts'
import type { RoutedRequest } from '../../src/actors/common/routes/routedRequest.ts'
import { StreamCalls } from '../../src/actors/common/routes/streamCalls.ts'
import { TargetTable } from '../../src/actors/common/routes/targetTable.ts'
import { Connections } from '../../src/adapters/node/connections.ts'
import { HttpTargetClient } from '../../src/adapters/node/httpTargetClient.ts'
import { NodeClock } from '../../src/adapters/node/nodeClock.ts'
import type { CounterName } from '../../src/base/common/metricNames.ts'
import type { Route } from '../../src/core/common/routes/routeConfiguration.ts'
import type { StandIn } from '../../standins/httpStandIn.ts'
import { pause, startStandIn } from '../../standins/httpStandIn.ts'
import { targetProtocol } from '../../platform/index.ts'
import type { Cutter } from './cutter.ts'
import { startCutter } from './cutter.ts'
import { quietLog, quietMetrics } from './fakeHost.ts'
import { seededChance } from './manualClock.ts'
import { ProcessorWaits } from './processorWaits.ts'
import { route, targetDefinition } from './routes.ts'
import { guards } from './targetEnds.ts'

/** Short look-ups of callers, and calls that score samples; times are those that sites name. */
export const lookUp = route({ name: 'look-up', timeoutMs: 2000, objectiveMs: 156, attempts: 2 })
export const scoring = route({ name: 'scoring', timeoutMs: 3000, objectiveMs: 514, attempts: 3 })
/** Streams that may be resumed. */
export const streaming = route({ name: 'streaming', kind: 'streaming', timeoutMs: 12_000, objectiveMs: 400, attempts: 2, resumable: true })
const WORK_MS: Readonly<Record<string, number>> = { '/look-up/': 27, '/scoring/': 114 }

/** What one call came to. */
export interface CallEnd {
  readonly beganAt: number
  /** Without the time in which the process waited for the processor, in milliseconds. */
  readonly tookMs: number
  readonly answered: boolean
}

export interface SceneHost {
  readonly calls: RouteCalls
  readonly streams: StreamCalls
  readonly client: HttpTargetClient
  readonly table: TargetTable
}

export class SilentScene {
  readonly hosts: SceneHost[] = []
  readonly cutters: Cutter[] = []
  /** How often targets got each request. */
  readonly arrivals = new Map<string, number>()
  secondSends = 0
  /** How many times as long as usual the first target works. */
  slowness = 1
  /** Calls without an answer yet, now and at most. */
  waiting = 0
  mostWaiting = 0
  private readonly targets: StandIn[] = []
  private readonly connections: Connections[] = []
  private readonly waits = new ProcessorWaits()
  private requests = 0

  static async start (hosts: number, targets: number): Promise<SilentScene> {
    const scene = new SilentScene()
    for (let index = 0; index < targets; index++) await scene.addTarget(index)
    for (let index = 0; index < hosts; index++) scene.addHost(index)
    return scene
  }

  private async addTarget (number: number): Promise<void> {
    const target = await startStandIn(async ({ path, headers, response }) => {
      const id = String(headers['bulrushvalve-request-id'])
      this.arrivals.set(id, (this.arrivals.get(id) ?? 0) + 1)
      await pause((WORK_MS[path] ?? 0) * (number === 0 ? this.slowness : 1))
      response.writeHead(200, { 'bulrushvalve-request-id': id, 'bulrushvalve-response-seal': 's' })
      response.end(path === '/streaming/' ? 'id: 0\ndata: done\n\n' : 'done')
    })
    this.targets.push(target)
    this.cutters.push(await startCutter(() => target.address))
  }

  private addHost (index: number): void {
    const clock = new NodeClock()
    const table = new TargetTable({ clock, stateLog: quietLog })
    for (const [number, cutter] of this.cutters.entries()) table.set(targetDefinition({ id: `t${number}`, address: new URL(cutter.address).host }))
    const connections = new Connections({ connections: 64, connectTimeoutMs: 400, silenceMs: 30_000, maximumAnswerBytes: 100_000 })
    this.connections.push(connections)
    const client = new HttpTargetClient(connections, { connectTimeoutMs: 400, maximumAnswerBytes: 100_000 })
    const metrics = { ...quietMetrics, count: (name: CounterName) => { if (name === 'calls.second_target') this.secondSends++ } }
    const services = { targets: table, client, ...guards(table, client, clock), protocol: targetProtocol, clock, chance: seededChance(index + 1), metrics, stateLog: quietLog, place: 'here', mechanisms: allMechanisms }
    this.hosts.push({ client, table, calls: new RouteCalls(services), streams: new StreamCalls(services, 10_000) })
  }

  /** One call by one host. */
  async call (host: number, called: Route, background = false): Promise<CallEnd> {
    const id = `q${this.requests++}`
    const beganAt = performance.now()
    this.waiting++
    this.mostWaiting = Math.max(this.mostWaiting, this.waiting)
    const answer = await this.hosts[host % this.hosts.length]?.calls.call({
      ...details(called, id),
      background
    })
    this.waiting--
    return { beganAt, tookMs: this.since(beganAt), answered: answer?.ok === true }
  }

  /** One stream by one host; answered if it came whole. */
  async stream (host: number): Promise<CallEnd> {
    const beganAt = performance.now()
    let whole = false
    await this.hosts[host]?.streams.call({ ...details(streaming, `q${this.requests++}`), background: false, resumeAfter: undefined }, {
      writeHead: () => undefined,
      write: () => undefined,
      end: () => { whole = true },
      abort: () => undefined
    })
    return { beganAt, tookMs: this.since(beganAt), answered: whole }
  }

  /** Opens several connections of each host to each target; hosts in turn, so that no call is late and ends one. */
  async warm (): Promise<void> {
    for (let host = 0; host < this.hosts.length; host++) await Promise.all(Array.from({ length: 8 }, async () => await this.call(host, lookUp)))
  }

  /** Calls in a steady rate, hosts in turn; ends when the last one has ended. */
  async steady (called: Route, periodMs: number, durationMs: number): Promise<CallEnd[]> {
    const ends: Promise<CallEnd>[] = []
    const until = performance.now() + durationMs
    for (let host = 0; performance.now() < until; host++) {
      ends.push(this.call(host, called))
      await pause(periodMs)
    }
    return await Promise.all(ends)
  }

  /** Background calls of one host one after the other in several lines, as its free slots allow. */
  async background (host: number, lines: number, durationMs: number): Promise<CallEnd[]> {
    const until = performance.now() + durationMs
    const line = async (): Promise<CallEnd[]> => {
      const ends: CallEnd[] = []
      while (performance.now() < until) {
        if (this.hosts[host]?.calls.hasBackgroundCapacity(scoring) === true) ends.push(await this.call(host, scoring, true))
        else await pause(20)
      }
      return ends
    }
    return (await Promise.all(Array.from({ length: lines }, line))).flat()
  }

  /** Requests that hosts count as being at targets. */
  get slotsHeld (): number {
    return this.hosts.flatMap(({ table }) => table.available('s')).reduce((sum, { inFlight }) => sum + inFlight, 0)
  }

  get connectionsMade (): number {
    return this.cutters.reduce((sum, { made }) => sum + made, 0)
  }

  private since (beganAt: number): number {
    const now = performance.now()
    return now - beganAt - this.waits.between(beganAt, now)
  }

  async close (): Promise<void> {
    this.waits.dispose()
    for (const connections of this.connections) connections.dispose()
    for (const cutter of this.cutters) await cutter.close()
    for (const target of this.targets) await target.close()
  }
}

function details (called: Route, id: string): Omit<RoutedRequest, 'background'> {
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

/** Share of calls that were answered within a time. */
export function shareWithin (ends: readonly CallEnd[], milliseconds: number): number {
  return ends.filter(({ answered, tookMs }) => answered && tookMs <= milliseconds).length / Math.max(1, ends.length)
}
