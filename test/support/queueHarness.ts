/** Hosts with call queues over targets with slots and bounded queues, on a clock that the test advances. */

import { CallQueues } from '../../src/actors/common/calls/callQueues.ts'
import { RouteCalls } from '../../src/actors/common/routes/routeCalls.ts'
import type { RoutedAnswer, RoutedRequest } from '../../src/actors/common/routes/routedRequest.ts'
import { TargetTable } from '../../src/actors/common/routes/targetTable.ts'
import { Emitter } from '../../src/base/common/lifecycle.ts'
import type { Result } from '../../src/base/common/resultCode.ts'
import type { CallQueueLimits } from '../../src/core/common/calls/callQueue.ts'
import { allMechanisms } from '../../src/core/common/mechanisms.ts'
import type { Route } from '../../src/core/common/routes/routeConfiguration.ts'
import { RouteTable } from '../../src/core/common/routes/routeConfiguration.ts'
import type { Metrics } from '../../src/ports/common/observation.ts'
import { targetProtocol } from '../../platform/index.ts'
import { newSeededChance } from './manualClock.ts'
import { QueueingTargets } from './queueingTargets.ts'
import type { QueueingTargetOptions } from './queueingTargets.ts'
import { ReplayClock } from './replayClock.ts'
import { RecordedLog } from './recordedLog.ts'
import { newRoute, newTargetDefinition } from './routes.ts'
import { newCrashGuards } from './targetEnds.ts'

/** The configuration in force, which a test replaces. */
export class FakeOperator {
  routes: RouteTable | undefined
  private readonly changes = new Emitter<void>()
  readonly onChange = this.changes.event

  apply (version: number, routes: readonly Route[]): void {
    this.routes = new RouteTable({ version, routes, services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    this.changes.fire()
  }
}

export interface QueueHost {
  readonly table: TargetTable
  readonly calls: RouteCalls
  readonly queues: CallQueues | undefined
  readonly operator: FakeOperator
  readonly log: RecordedLog
  readonly counts: Map<string, number>
}

export interface CallOutcome {
  readonly id: string
  readonly result: Result<RoutedAnswer>
  readonly beganAt: number
  readonly tookMs: number
}

export class QueueHarness {
  readonly clock = new ReplayClock()
  readonly client: QueueingTargets
  readonly hosts: QueueHost[] = []
  private calls = 0

  constructor (private readonly targets: Readonly<Record<string, QueueingTargetOptions>>, hosts: number, { queued, limits = { calls: 256, bytes: 8_388_608 } }: { readonly queued: boolean, readonly limits?: CallQueueLimits }) {
    this.client = new QueueingTargets(this.clock, targets)
    for (let index = 0; index < hosts; index++) this.hosts.push(this.newHost(index, queued, limits))
  }

  host (index = 0): QueueHost {
    const host = this.hosts[index]
    if (host === undefined) throw new Error(`no host ${index}`)
    return host
  }

  async call (host: QueueHost, route: Route, details: Partial<RoutedRequest> = {}): Promise<CallOutcome> {
    const id = `q${this.calls++}`
    const beganAt = this.clock.now
    const result = await host.calls.call({
      route,
      requestId: id,
      method: 'POST',
      path: route.pathPrefix,
      headers: (options) => ['bulrushvalve-request-id', id, ...targetProtocol.forwardHeaders([], options, { type: 'open' })],
      body: undefined,
      waitMs: route.timeoutMs,
      configuration: 1,
      background: false,
      gone: new AbortController().signal,
      ...details
    })
    return { id, result, beganAt, tookMs: this.clock.now - beganAt }
  }

  private newHost (index: number, queued: boolean, limits: CallQueueLimits): QueueHost {
    const { clock, client } = this
    const log = new RecordedLog()
    const counts = new Map<string, number>()
    const metrics: Metrics = { count: (name, by = 1) => { counts.set(name, (counts.get(name) ?? 0) + by) }, gauge: () => undefined, timing: () => undefined }
    const table = new TargetTable({ clock, stateLog: log })
    for (const [id, { slots }] of Object.entries(this.targets)) table.set(newTargetDefinition({ id, address: id, slots }))
    const operator = new FakeOperator()
    operator.apply(1, [newRoute()])
    const services = { clock, chance: newSeededChance(index + 1), metrics, stateLog: log, targets: table }
    const queues = queued ? new CallQueues({ ...services, operator }, limits) : undefined
    const calls = new RouteCalls({ ...services, client, ...newCrashGuards(table, client, clock), protocol: targetProtocol, queues, place: 'here', mechanisms: allMechanisms })
    return { table, calls, queues, operator, log, counts }
  }
}
