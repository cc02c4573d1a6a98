/** The context shared by all parts of a host that serves routes and steps: settings, identity, clock, metrics, log and disposables. */

import { start } from 'nact'
import { randomUUID } from 'node:crypto'
import type { TaskSystem } from '../../../actors/common/task.ts'
import { GarbageCollector } from '../../../adapters/node/garbageCollector.ts'
import { NodeRandomSource, NodeClock } from '../../../adapters/node/nodeClock.ts'
import { PrometheusMetrics } from '../../../adapters/node/prometheusMetrics.ts'
import { StandardOutput } from '../../../adapters/node/standardOutput.ts'
import { StatsdMetrics } from '../../../adapters/node/statsdMetrics.ts'
import { StructuredLog } from '../../../adapters/node/structuredLog.ts'
import { createHash } from '../../../adapters/node/xxHash.ts'
import type { HostId } from '../../../base/common/ids.ts'
import { asHostId } from '../../../base/common/ids.ts'
import { DisposableStore } from '../../../base/common/lifecycle.ts'
import { disabledMechanisms } from '../../../core/common/mechanisms.ts'
import type { ConnectionShares } from '../../../core/common/overload/connectionShares.ts'
import { connectionShares } from '../../../core/common/overload/connectionShares.ts'
import { memoryShares } from '../../../core/common/overload/memoryShares.ts'
import { ClientMemory } from '../../../entry/node/clientMemory.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { RoutedSettings } from '../../../settings/common/routedSettings.ts'

/** Services that most parts of the host use. */
export interface HostServices {
  readonly system: TaskSystem
  readonly clock: Clock
  readonly chance: RandomSource
  readonly hash: Hash
  readonly metrics: PrometheusMetrics
  readonly stateLog: StructuredLog
}

export interface HostContext {
  readonly settings: RoutedSettings
  /** Identifies this incarnation of the host, as `machine/incarnation`. */
  readonly host: HostId
  readonly machine: string
  /** Processor capacity that this host may use, in standard cores. */
  readonly processor: number
  /** Maximum number of connections at each address. */
  readonly connectionShares: ConnectionShares
  /** Memory that clients occupy at all addresses. */
  readonly clientMemory: ClientMemory
  /** Address at which other hosts connect to this host. */
  readonly ownAddress: string
  readonly output: StandardOutput
  readonly services: HostServices
  readonly disposables: DisposableStore
}

/** @param runningItemCount returns the number of items that this host runs; the limit on log lines grows with it */
export async function createHostContext (settings: RoutedSettings, runningItemCount: () => number): Promise<HostContext> {
  const disposables = new DisposableStore()
  const { name: machine, place, processor_share: share, processor_speed: speed, log_level: level } = settings.host
  const host = asHostId(`${machine}/${randomUUID().slice(0, 8)}`)
  const metrics = new PrometheusMetrics(machine, disposables.add(new StatsdMetrics(settings.metrics?.collector, host)))
  const output = new StandardOutput()
  const stateLog = new StructuredLog(host, level, output, runningItemCount)
  for (const mechanism of disabledMechanisms(settings.mechanisms)) stateLog.changed('mechanism left out', { mechanism })
  const clock = new NodeClock()
  const { clientBytes, collectAboveBytes } = memoryShares(settings.limits.held_bytes, settings.host.memory_mb)
  const garbageCollector = new GarbageCollector({ clock, metrics }, collectAboveBytes)
  stateLog.changed('start', { place, callers: settings.listen.callers, store: settings.store.address })
  return {
    settings,
    host,
    machine,
    processor: share * speed,
    connectionShares: connectionShares(settings.limits.connections, settings.host.descriptors),
    clientMemory: new ClientMemory(clock, clientBytes, () => { garbageCollector.collectIfNeeded() }),
    ownAddress: `http://${settings.listen.peers}`,
    output,
    services: { system: start(), clock, chance: new NodeRandomSource(), hash: await createHash(), metrics, stateLog },
    disposables
  }
}
