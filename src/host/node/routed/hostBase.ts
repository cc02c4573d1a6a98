/** What every part of a host of routes and steps is given: its settings, its name, clocks, counters and log, and what ends with it. */

import { start } from 'nact'
import { randomUUID } from 'node:crypto'
import type { TaskSystem } from '../../../actors/common/task.ts'
import { NodeChance, NodeClock } from '../../../adapters/node/nodeClock.ts'
import { ScrapedMetrics } from '../../../adapters/node/scrapedMetrics.ts'
import { StandardOutput } from '../../../adapters/node/standardOutput.ts'
import { StatsdMetrics } from '../../../adapters/node/statsdMetrics.ts'
import { StructuredLog } from '../../../adapters/node/structuredLog.ts'
import { createHash } from '../../../adapters/node/xxHash.ts'
import type { HostId } from '../../../base/common/ids.ts'
import { asHostId } from '../../../base/common/ids.ts'
import { DisposableStore } from '../../../base/common/lifecycle.ts'
import { disabledMechanisms } from '../../../core/common/mechanisms.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { RoutedSettings } from '../../../settings/common/routedSettings.ts'

/** Services that most parts use. */
export interface BaseServices {
  readonly system: TaskSystem
  readonly clock: Clock
  readonly chance: Chance
  readonly hash: Hash
  readonly metrics: ScrapedMetrics
  readonly stateLog: StructuredLog
}

export interface HostBase {
  readonly settings: RoutedSettings
  /** Name of this life of the host: `machine/life`. */
  readonly host: HostId
  readonly machine: string
  /** Usual cores that this host may use. */
  readonly processor: number
  /** Where other hosts connect. */
  readonly ownAddress: string
  readonly output: StandardOutput
  readonly services: BaseServices
  readonly disposables: DisposableStore
}

/** @param itemsUnderway items that this host runs now: it may write more lines while it has more */
export async function createBase (settings: RoutedSettings, itemsUnderway: () => number): Promise<HostBase> {
  const disposables = new DisposableStore()
  const { name: machine, place, processor_share: share, processor_speed: speed, log_level: level } = settings.host
  const host = asHostId(`${machine}/${randomUUID().slice(0, 8)}`)
  const metrics = new ScrapedMetrics(machine, disposables.add(new StatsdMetrics(settings.metrics?.collector, host)))
  const output = new StandardOutput()
  const stateLog = new StructuredLog(host, level, output, itemsUnderway)
  for (const mechanism of disabledMechanisms(settings.mechanisms)) stateLog.changed('mechanism left out', { mechanism })
  stateLog.changed('start', { place, callers: settings.listen.callers, store: settings.store.address })
  return {
    settings,
    host,
    machine,
    processor: share * speed,
    ownAddress: `http://${settings.listen.peers}`,
    output,
    services: { system: start(), clock: new NodeClock(), chance: new NodeChance(), hash: await createHash(), metrics, stateLog },
    disposables
  }
}
