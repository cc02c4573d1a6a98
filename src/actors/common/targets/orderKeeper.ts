/**
 * Brings the engines of this host's shards to what is configured: reads what each engine reports,
 * orders the difference, reads again. It does not trust that an order took hold, nor that nothing
 * else changed an engine: swaps fail partway, orders arrive late or twice, and engines that do not
 * check the fencing number may follow a former holder. What is wrong shows in the next report.
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

export interface OrderSettings {
  readonly leaseMs: number
  readonly flightMs: number
  readonly reconcileMs: number
  readonly parallel: number
  readonly hostListMs: number
}

export interface OrderServices extends LeaseServices {
  readonly system: TaskSystem
  readonly directory: TargetDirectory
  readonly homes: HomeResolver
  readonly membership: MembershipView
  readonly engine: Engine
  readonly hostList: HostList | undefined
  /** Receives the addresses of listed hosts. */
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

export class OrderKeeper extends Task<Message> {
  private readonly leases = new Map<ShardKey, LeaseHolder>()
  private readonly asked = new Set<TargetName>()
  private readonly underway = new Map<TargetName, ShardKey>()
  private readonly last = new Map<TargetName, LastOrder>()
  private listing = false
  private seenRevision = 0

  constructor (private readonly services: OrderServices, private readonly settings: OrderSettings) {
    super(services.system, 'order-keeper', services.metrics)
    this.disposables.add(services.clock.every(settings.reconcileMs, () => { this.tell({ type: 'reconcile' }) }))
    this.disposables.add(services.fold.onChange(() => { this.noteRevision() }))
    if (services.hostList !== undefined) this.disposables.add(services.clock.every(settings.hostListMs, () => { this.list() }))
    this.list()
  }

  /** Ends all leases of this host; resolves when the log has taken it or will not in time. */
  async endLeases (): Promise<void> {
    await Promise.all([...this.leases.values()].map(async (lease) => { await lease.end() }))
  }

  get ordersUnderway (): number {
    return this.underway.size
  }

  protected override receive (message: Message): void {
    switch (message.type) {
      case 'reconcile': this.reconcile(); break
      case 'reported': this.takeReport(message.shard, message.target, message.report); break
      case 'ordered': this.takeOutcome(message.target, message.version, message.outcome); break
      case 'listed': this.takeList(message.hosts); break
      default: unreachable(message)
    }
  }

  /** New weights are not left to wait for the next look. */
  private noteRevision (): void {
    const { configurationRevision } = this.services.fold.state
    if (configurationRevision === this.seenRevision) return
    this.seenRevision = configurationRevision
    this.tell({ type: 'reconcile' })
  }

  private reconcile (): void {
    for (const shard of this.services.directory.shards()) {
      this.lease(shard).observe()
      if (!this.services.homes.isSelf(this.services.homes.homeOfShard(shard))) {
        this.endUnused(shard)
        continue
      }
      for (const target of this.services.directory.configured(shard)) this.ask(shard, target)
      const behind = this.services.directory.configured(shard).filter((target) => this.wantedVersion(target) !== undefined)
      if (behind.length === 0) this.endUnused(shard)
      else this.order(shard, behind)
    }
  }

  private endUnused (shard: ShardKey): void {
    if (this.services.fold.state.leases[shard]?.holder !== this.services.membership.self.host) return
    if ([...this.underway.values()].includes(shard)) return
    this.lease(shard).end().catch(() => undefined)
  }

  private lease (shard: ShardKey): LeaseHolder {
    const existing = this.leases.get(shard)
    if (existing !== undefined) return existing
    const settings = { durationMs: this.settings.leaseMs, flightMs: this.settings.flightMs }
    const lease = new LeaseHolder(this.services, settings, this.services.membership.self.host, shard)
    this.leases.set(shard, lease)
    return lease
  }

  private ask (shard: ShardKey, target: ConfiguredObject<'target'>): void {
    const name = asTargetName(target.name)
    if (this.asked.has(name)) return
    this.asked.add(name)
    this.services.engine.report(target.properties.address).then((report) => { this.tell({ type: 'reported', shard, target: name, report }) }, () => { this.asked.delete(name) })
  }

  private takeReport (shard: ShardKey, name: TargetName, report: Result<EngineReport>): void {
    this.asked.delete(name)
    const before = this.services.directory.report(name)
    this.services.directory.observe(name, report.ok ? report.value : undefined)
    if (!report.ok) {
      this.services.metrics.count('targets.silent')
      return
    }
    if (before !== undefined && before.version !== report.value.version) {
      this.services.metrics.count('weights.changed')
      this.services.stateLog.changed('target weights', { target: name, from: before.version, to: report.value.version })
    }
    const target = findObject(this.services.fold.state.configuration, 'target', name)
    const behind = target !== undefined && this.wantedVersion(target) !== undefined
    if (behind && this.services.homes.isSelf(this.services.homes.homeOfShard(shard))) this.order(shard, [target])
  }

  /** Version that an engine should be brought to; undefined where nothing is to be ordered. */
  private wantedVersion (target: ConfiguredObject<'target'>): number | undefined {
    if (target.properties.type !== 'engine') return undefined
    const wanted = findObject(this.services.fold.state.configuration, 'pool', target.properties.pool)?.properties.weights ?? 0
    const report = this.services.directory.report(asTargetName(target.name))
    return wanted === 0 || report === undefined || report.version === wanted ? undefined : wanted
  }

  private order (shard: ShardKey, targets: readonly ConfiguredObject<'target'>[]): void {
    const lease = this.lease(shard)
    lease.keep().then(() => { this.send(shard, lease, targets) }, () => undefined)
  }

  private send (shard: ShardKey, lease: LeaseHolder, targets: readonly ConfiguredObject<'target'>[]): void {
    for (const target of targets) {
      const name = asTargetName(target.name)
      const version = this.wantedVersion(target)
      const fence = lease.fenceNow()
      if (version === undefined || fence === undefined || !this.mayOrder(shard, name, version)) continue
      this.underway.set(name, shard)
      this.last.set(name, { version, at: this.services.clock.monotonic() })
      this.services.metrics.count('orders.sent')
      this.services.engine.order(target.properties.address, { type: 'load-weights', version }, fence)
        .then((outcome) => { this.tell({ type: 'ordered', target: name, version, outcome }) }, () => { this.underway.delete(name) })
    }
  }

  /** An order is not repeated while the former one may still be taking hold. */
  private mayOrder (shard: ShardKey, target: TargetName, version: number): boolean {
    if (this.underway.has(target)) return false
    if ([...this.underway.values()].filter((other) => other === shard).length >= this.settings.parallel) return false
    const last = this.last.get(target)
    return last === undefined || last.version !== version || this.services.clock.monotonic() - last.at >= this.settings.flightMs
  }

  private takeOutcome (target: TargetName, version: number, outcome: Result<void>): void {
    this.underway.delete(target)
    if (outcome.ok) return
    this.services.metrics.count(`orders.failed.${outcome.code}`)
    if (outcome.code === 'targetRefused') this.last.delete(target)
    if (outcome.code === 'revisionConflict') this.services.stateLog.alarm('order refused as fenced', { target, version })
  }

  private list (): void {
    if (this.services.hostList === undefined || this.listing) return
    this.listing = true
    this.services.hostList.list().then((hosts) => { this.tell({ type: 'listed', hosts }) }, () => { this.listing = false })
  }

  private takeList (hosts: Result<readonly ListedHost[]>): void {
    this.listing = false
    if (!hosts.ok) {
      this.services.metrics.count('host_list.silent')
      return
    }
    this.services.directory.setListed(hosts.value)
    this.services.onListed(hosts.value)
  }
}
