/** Provides the rows of `show` statements: shared rows come from the fold, local rows from data that only this host holds. */

import { asSubscriptionName, asTargetName } from '../../../base/common/ids.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { ObjectKind } from '../../../core/common/fold/command.ts'
import type { Row } from '../../../core/common/language/rows.ts'
import type { ShowStatement, ViewName } from '../../../core/common/language/statement.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { MembershipView } from '../membership/membership.ts'
import type { HomeResolver } from '../routing/homeResolver.ts'
import type { ShardAdmissionServer } from '../routing/shardAdmissionServer.ts'
import type { TargetDirectory } from '../targets/targetDirectory.ts'
import { shardOf } from '../targets/targetDirectory.ts'

/** Figures of a host in `show status`. */
export interface HostStatus {
  readonly requests: number
  readonly rollouts: number
  readonly backlog: number
  readonly memoryMegabytes: number
}

export interface ViewsServices {
  readonly fold: FoldView
  readonly membership: MembershipView
  readonly directory: TargetDirectory
  readonly homes: HomeResolver
  readonly admissionServer: ShardAdmissionServer
  readonly clock: Clock
  readonly status: () => HostStatus
}

export class Views {
  constructor (private readonly services: ViewsServices) {}

  /** Returns the rows of a view that are the same on every host, or `undefined` if the hosts have to be queried. */
  sharedRows (statement: ShowStatement): Row[] | undefined {
    switch (statement.view) {
      case 'pools': return this.objectRows('pool')
      case 'lanes': return this.objectRows('lane')
      case 'subscriptions': return this.subscriptionRows()
      case 'leases': return this.leaseRows()
      case 'samples': return this.sampleRows(statement.subscription ?? '')
      case 'audit': return this.auditRows(statement.sinceMs)
      case 'targets':
      case 'hosts':
      case 'status':
        return undefined
      default: return unreachable(statement.view)
    }
  }

  /** Returns the rows that this host contributes to a view. */
  localRows (view: string): Row[] {
    switch (view) {
      case 'targets': return this.targetRows()
      case 'hosts': return [this.hostRow()]
      case 'status': return [{ host: this.services.membership.self.host, ...this.services.status() }]
      default: return []
    }
  }

  /** Merges the rows of all hosts. The row of a target comes from a host that knows its weights, which is its home; otherwise from any host. */
  mergeRows (view: ViewName, rows: readonly Row[]): Row[] {
    if (view !== 'targets') return [...rows]
    const byName = new Map<string, Row>()
    for (const row of rows) {
      const name = String(row.name)
      const known = byName.get(name)
      if (known === undefined || (known.weights === null && row.weights !== null)) byName.set(name, row)
    }
    return [...byName.values()]
  }

  private objectRows (kind: ObjectKind): Row[] {
    return Object.values(this.services.fold.state.configuration[kind]).map(({ name, revision, by, properties }) => ({ name, ...properties, revision, by }))
  }

  private targetRows (): Row[] {
    const { fold, directory, admissionServer, homes } = this.services
    return Object.values(fold.state.configuration.target).map((target) => {
      const shard = shardOf(target)
      const home = homes.isSelf(homes.homeOfShard(shard))
      const report = home ? directory.report(asTargetName(target.name)) : undefined
      return {
        name: target.name,
        pool: target.properties.pool,
        place: target.properties.place,
        type: target.properties.type,
        address: target.properties.address,
        state: target.properties.state,
        available: home ? directory.available(target) : null,
        weights: report?.version ?? null,
        slots: target.properties.slots,
        granted: home ? admissionServer.runningOn(shard, asTargetName(target.name)) : null,
        running: report?.running ?? null,
        revision: target.revision
      }
    })
  }

  private hostRow (): Row {
    const { membership, fold } = this.services
    const { host, place, address, status, incarnation } = membership.self
    return { host, place, address, status, incarnation, offset: fold.state.offset, revision: fold.state.configurationRevision, fresh: fold.fresh }
  }

  private subscriptionRows (): Row[] {
    const { state } = this.services.fold
    return Object.values(state.configuration.subscription).map(({ name, revision, properties }) => {
      const found = state.subscriptions[name]
      return {
        name,
        ...properties,
        home: this.services.homes.homeOfSubscription(asSubscriptionName(name))?.host ?? null,
        groups: Object.keys(found?.groups ?? {}).length,
        ready: found?.ready.length ?? 0,
        cursor: found?.acknowledged ?? 0,
        delivered: found?.delivered ?? 0,
        rejected: found?.rejected ?? 0,
        duplicates: found?.duplicates ?? 0,
        revision
      }
    })
  }

  private sampleRows (subscription: string): Row[] {
    const found = this.services.fold.state.subscriptions[subscription]
    return Object.entries(found?.groups ?? {}).flatMap(([group, { step, slots }]) => slots.map((sample, index) => ({
      group,
      step,
      index,
      state: sample === null ? 'open' : found?.handover?.groups.includes(group) === true ? 'handed-over' : 'recorded',
      oldest: sample === null ? null : Math.min(...sample.segments.map(({ version }) => version)),
      segments: sample === null ? null : sample.segments.map(({ version, from, to }) => `${version}:${from}-${to}`).join(' '),
      score: sample?.score ?? null
    })))
  }

  private leaseRows (): Row[] {
    return Object.entries(this.services.fold.state.leases).map(([shard, lease]) => ({ shard, holder: lease.holder ?? null, fence: lease.fence, epoch: lease.epoch }))
  }

  private auditRows (sinceMs: number | undefined): Row[] {
    const after = sinceMs === undefined ? 0 : this.services.clock.wall() - sinceMs
    return this.services.fold.state.audit.filter((entry) => entry.at >= after).map((entry) => ({
      at: entry.at, by: entry.by, command: JSON.stringify(entry.command), verdict: entry.verdict, revision: entry.revision, offset: entry.offset
    }))
  }
}
