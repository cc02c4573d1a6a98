/**
 * Reconciles the engines of this host's shards with the configuration: reads each engine's report,
 * orders what differs, and reads the report again. It neither assumes that an order took effect nor that
 * nothing else changed an engine: weight swaps fail partway, orders arrive late or twice, and engines that
 * do not check the fencing token may obey a former holder. Any difference shows in the next report.
 */

import type { ShardKey, TargetName } from '../../../base/common/ids.ts'
import { asTargetName } from '../../../base/common/ids.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import type { ConfiguredObject } from '../../../core/common/fold/configuration.ts'
import { findObject } from '../../../core/common/fold/configuration.ts'
import type { Engine, EngineReport, HostList, ListedHost } from '../../../ports/common/targets.ts'
import type { MembershipView } from '../membership/membership.ts'
import type { HomeResolver } from '../routing/homeResolver.ts'
import type { TaskSystem } from '../task.ts'
import { Task } from '../task.ts'
import type { LeaseServices } from './leaseHolder.ts'
import { LeaseHolder } from './leaseHolder.ts'
import type { TargetDirectory } from './targetDirectory.ts'

export interface EngineReconcilerSettings {
  readonly leaseMs: number
  readonly maxInFlightMs: number
  readonly reconcileMs: number
  readonly parallel: number
  readonly hostListMs: number
}

export interface EngineReconcilerServices extends LeaseServices {
  readonly system: TaskSystem
  readonly directory: TargetDirectory
  readonly homes: HomeResolver
  readonly membership: MembershipView
  readonly engine: Engine
  readonly hostList: HostList | undefined
  /** Receives the hosts of each platform host list. */
  readonly onListed: (hosts: readonly ListedHost[]) => void
}

type Message =
  | { readonly type: 'reconcile' }
  | { readonly type: 'reported', readonly shard: ShardKey, readonly target: TargetName, readonly report: Result<EngineReport> }
  | { readonly type: 'ordered', readonly target: TargetName, readonly version: number, readonly outcome: Result<void> }
  | { readonly type: 'listed', readonly hosts: Result<readonly ListedHost[]> }

interface LastOrder {
  readonly version: number
  readonly at: number
}

export class EngineReconciler extends Task<Message> {
  private readonly leases = new Map<ShardKey, LeaseHolder>()
  private readonly asked = new Set<TargetName>()
  private readonly inFlightOrders = new Map<TargetName, ShardKey>()
  private readonly last = new Map<TargetName, LastOrder>()
  private listing = false
  private observedRevision = 0

  constructor (private readonly services: EngineReconcilerServices, private readonly settings: EngineReconcilerSettings) {
    super(services.system, 'order-keeper', services.metrics)
    this.disposables.add(services.clock.every(settings.reconcileMs, () => { this.tell({ type: 'reconcile' }) }))
    this.disposables.add(services.fold.onChange(() => { this.onConfigurationChange() }))
    if (services.hostList !== undefined) this.disposables.add(services.clock.every(settings.hostListMs, () => { this.requestHostList() }))
    this.requestHostList()
  }

  /** Releases all leases of this host; resolves once the log has accepted the releases or has not done so in time. */
  async releaseLeases (): Promise<void> {
    await Promise.all([...this.leases.values()].map(async (lease) => { await lease.release() }))
  }

  get inFlightOrderCount (): number {
    return this.inFlightOrders.size
  }

  protected override receive (message: Message): void {
    switch (message.type) {
      case 'reconcile': this.reconcile(); break
      case 'reported': this.onReport(message.shard, message.target, message.report); break
      case 'ordered': this.onOrderOutcome(message.target, message.version, message.outcome); break
      case 'listed': this.onHostList(message.hosts); break
      default: unreachable(message)
    }
  }

  /** Reconciles at once, so that new weights need not wait for the next interval. */
  private onConfigurationChange (): void {
    const { configurationRevision } = this.services.fold.state
    if (configurationRevision === this.observedRevision) return
    this.observedRevision = configurationRevision
    this.tell({ type: 'reconcile' })
  }

  private reconcile (): void {
    for (const shard of this.services.directory.shards()) {
      this.leaseOf(shard).observe()
      if (!this.services.homes.isSelf(this.services.homes.homeOfShard(shard))) {
        this.releaseUnusedLease(shard)
        continue
      }
      for (const target of this.services.directory.configuredTargets(shard)) this.requestReport(shard, target)
      const outdated = this.services.directory.configuredTargets(shard).filter((target) => this.wantedVersion(target) !== undefined)
      if (outdated.length === 0) this.releaseUnusedLease(shard)
      else this.orderTargets(shard, outdated)
    }
  }

  private releaseUnusedLease (shard: ShardKey): void {
    if (this.services.fold.state.leases[shard]?.holder !== this.services.membership.self.host) return
    if ([...this.inFlightOrders.values()].includes(shard)) return
    this.leaseOf(shard).release().catch(() => undefined)
  }

  private leaseOf (shard: ShardKey): LeaseHolder {
    const existing = this.leases.get(shard)
    if (existing !== undefined) return existing
    const settings = { durationMs: this.settings.leaseMs, maxInFlightMs: this.settings.maxInFlightMs }
    const lease = new LeaseHolder(this.services, settings, this.services.membership.self.host, shard)
    this.leases.set(shard, lease)
    return lease
  }

  private requestReport (shard: ShardKey, target: ConfiguredObject<'target'>): void {
    const name = asTargetName(target.name)
    if (this.asked.has(name)) return
    this.asked.add(name)
    this.services.engine.report(target.properties.address).then((report) => { this.tell({ type: 'reported', shard, target: name, report }) }, () => { this.asked.delete(name) })
  }

  private onReport (shard: ShardKey, name: TargetName, report: Result<EngineReport>): void {
    this.asked.delete(name)
    const before = this.services.directory.report(name)
    this.services.directory.recordReport(name, report.ok ? report.value : undefined)
    if (!report.ok) {
      this.services.metrics.count('targets.silent')
      return
    }
    if (before !== undefined && before.version !== report.value.version) {
      this.services.metrics.count('weights.changed')
      this.services.stateLog.changed('target weights', { target: name, from: before.version, to: report.value.version })
    }
    const target = findObject(this.services.fold.state.configuration, 'target', name)
    const outdated = target !== undefined && this.wantedVersion(target) !== undefined
    if (outdated && this.services.homes.isSelf(this.services.homes.homeOfShard(shard))) this.orderTargets(shard, [target])
  }

  /** Returns the weight version that an engine should load; `undefined` if nothing is to be ordered. */
  private wantedVersion (target: ConfiguredObject<'target'>): number | undefined {
    if (target.properties.type !== 'engine') return undefined
    const wanted = findObject(this.services.fold.state.configuration, 'pool', target.properties.pool)?.properties.weights ?? 0
    const report = this.services.directory.report(asTargetName(target.name))
    return wanted === 0 || report === undefined || report.version === wanted ? undefined : wanted
  }

  private orderTargets (shard: ShardKey, targets: readonly ConfiguredObject<'target'>[]): void {
    const lease = this.leaseOf(shard)
    lease.acquireOrRenew().then(() => { this.sendOrders(shard, lease, targets) }, () => undefined)
  }

  private sendOrders (shard: ShardKey, lease: LeaseHolder, targets: readonly ConfiguredObject<'target'>[]): void {
    for (const target of targets) {
      const name = asTargetName(target.name)
      const version = this.wantedVersion(target)
      const fence = lease.currentFence()
      if (version === undefined || fence === undefined || !this.canOrder(shard, name, version)) continue
      this.inFlightOrders.set(name, shard)
      this.last.set(name, { version, at: this.services.clock.monotonic() })
      this.services.metrics.count('orders.sent')
      this.services.engine.order(target.properties.address, { type: 'load-weights', version }, fence)
        .then((outcome) => { this.tell({ type: 'ordered', target: name, version, outcome }) }, () => { this.inFlightOrders.delete(name) })
    }
  }

  /** Whether an order may be sent; it is not repeated while the previous one may still be taking effect. */
  private canOrder (shard: ShardKey, target: TargetName, version: number): boolean {
    if (this.inFlightOrders.has(target)) return false
    if ([...this.inFlightOrders.values()].filter((other) => other === shard).length >= this.settings.parallel) return false
    const last = this.last.get(target)
    return last === undefined || last.version !== version || this.services.clock.monotonic() - last.at >= this.settings.maxInFlightMs
  }

  private onOrderOutcome (target: TargetName, version: number, outcome: Result<void>): void {
    this.inFlightOrders.delete(target)
    if (outcome.ok) return
    this.services.metrics.count(`orders.failed.${outcome.code}`)
    if (outcome.code === 'targetRefused') this.last.delete(target)
    if (outcome.code === 'revisionConflict') this.services.stateLog.alarm('order refused as fenced', { target, version })
  }

  private requestHostList (): void {
    if (this.services.hostList === undefined || this.listing) return
    this.listing = true
    this.services.hostList.list().then((hosts) => { this.tell({ type: 'listed', hosts }) }, () => { this.listing = false })
  }

  private onHostList (hosts: Result<readonly ListedHost[]>): void {
    this.listing = false
    if (!hosts.ok) {
      this.services.metrics.count('host_list.silent')
      return
    }
    this.services.directory.setHostList(hosts.value)
    this.services.onListed(hosts.value)
  }
}
