/**
 * Combines what is known of the targets: their configuration from the fold, the platform's list of leaving
 * hosts, and their own reports. A target is available for new work only while none of the three states
 * that it is leaving, and while it answers.
 */

import type { PoolName, ShardKey, TargetName } from '../../../base/common/ids.ts'
import { asFailureDomain, asPoolName, asTargetName, shardKey } from '../../../base/common/ids.ts'
import type { Event } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import type { ConfiguredObject } from '../../../core/common/fold/configuration.ts'
import { targetsOfPool } from '../../../core/common/fold/configuration.ts'
import type { ShardTarget } from '../../../core/common/routing/admissionMessages.ts'
import type { EngineReport, ListedHost } from '../../../ports/common/targets.ts'
import type { FoldView } from '../log/controlLog.ts'

/** Number of consecutive failed reports after which a target is considered gone. */
const MAX_CONSECUTIVE_FAILURES = 3

interface Observation {
  report?: EngineReport
  failures: number
}

export class TargetDirectory {
  private readonly observations = new Map<TargetName, Observation>()
  private leaving = new Set<string>()
  private readonly changes = new Emitter<void>()
  /** Fires when the availability or version of a target changes for a reason other than the fold. */
  readonly onChange: Event<void> = this.changes.event

  constructor (private readonly fold: FoldView) {}

  /** Shards of a pool that have targets. */
  shardsOf (pool: PoolName): ShardKey[] {
    return [...new Set(targetsOfPool(this.fold.state.configuration, pool).map((target) => shardOf(target)))]
  }

  shards (): ShardKey[] {
    return [...new Set(Object.values(this.fold.state.configuration.target).map((target) => shardOf(target)))]
  }

  configuredTargets (shard: ShardKey): ConfiguredObject<'target'>[] {
    return Object.values(this.fold.state.configuration.target).filter((target) => shardOf(target) === shard)
  }

  /** Targets of a shard, in the form used by admission. */
  targets (shard: ShardKey): ShardTarget[] {
    return this.configuredTargets(shard).map((target) => {
      const version = this.report(asTargetName(target.name))?.version
      return {
        name: asTargetName(target.name),
        address: target.properties.address,
        slots: target.properties.slots,
        available: this.available(target),
        ...(version === undefined ? {} : { version })
      }
    })
  }

  available (target: ConfiguredObject<'target'>): boolean {
    if (target.properties.state !== 'active' || this.leaving.has(target.properties.address)) return false
    const observation = this.observations.get(asTargetName(target.name))
    return observation === undefined || (observation.failures < MAX_CONSECUTIVE_FAILURES && observation.report?.leaving !== true)
  }

  report (target: TargetName): EngineReport | undefined {
    return this.observations.get(target)?.report
  }

  /** Records a target's report; `undefined` means that the target did not answer. */
  recordReport (target: TargetName, report: EngineReport | undefined): void {
    const before = this.observations.get(target) ?? { failures: 0 }
    const after = report === undefined
      ? { ...before, failures: before.failures + 1 }
      : { report, failures: 0 }
    this.observations.set(target, after)
    const isGone = (observation: Observation): boolean => observation.failures >= MAX_CONSECUTIVE_FAILURES || observation.report?.leaving === true
    if (isGone(before) !== isGone(after) || before.report?.version !== after.report?.version) this.changes.fire()
  }

  /** Records the platform's list of hosts. */
  setHostList (hosts: readonly ListedHost[]): void {
    const leaving = new Set(hosts.filter((host) => host.state === 'leaving').map((host) => host.address))
    const changed = leaving.size !== this.leaving.size || [...leaving].some((address) => !this.leaving.has(address))
    this.leaving = leaving
    if (changed) this.changes.fire()
  }
}

export function shardOf (target: ConfiguredObject<'target'>): ShardKey {
  return shardKey(asPoolName(target.properties.pool), asFailureDomain(target.properties.place))
}
