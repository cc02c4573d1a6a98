/**
 * Home side of admission: holds a `ShardAdmission` for each shard that is requested from this host,
 * and applies its decisions. It serves every request: a host with a different view of the members may
 * take this host for the home, and a refusal would only cost another round trip.
 */

import type { HostId, ShardKey, TargetName } from '../../../base/common/ids.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { AcquireRequest, AdmissionDecision, Grant } from '../../../core/common/routing/admissionMessages.ts'
import { ShardAdmission } from '../../../core/common/routing/shardAdmission.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { AcquireResponse, PeerHandlers, Peers } from '../../../ports/common/peers.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { MembershipView } from '../membership/membership.ts'
import type { TaskSystem } from '../task.ts'
import { Task } from '../task.ts'
import type { TargetDirectory } from '../targets/targetDirectory.ts'

type Reply = (answer: AcquireResponse) => void

type Message =
  | { readonly type: 'acquire', readonly shard: ShardKey, readonly request: AcquireRequest, readonly reply: Reply }
  | { readonly type: 'release', readonly shard: ShardKey, readonly grant: string }
  | { readonly type: 'renew', readonly shard: ShardKey, readonly grants: readonly Grant[] }
  | { readonly type: 'targets-changed' }
  | { readonly type: 'members-changed' }
  | { readonly type: 'tick' }

export interface ShardAdmissionServerServices {
  readonly system: TaskSystem
  readonly fold: FoldView
  readonly directory: TargetDirectory
  readonly membership: MembershipView
  readonly peers: Peers
  readonly handlers: PeerHandlers
  readonly clock: Clock
  readonly metrics: Metrics
  /** Revokes a grant whose holder is this host. */
  readonly revokeLocally: (grant: string) => void
}

const EXPIRY_INTERVAL_MS = 50
const REVOKE_TIMEOUT_MS = 1000

export class ShardAdmissionServer extends Task<Message> {
  private readonly admissions = new Map<ShardKey, ShardAdmission>()
  private readonly pendingReplies = new Map<string, Reply>()
  private knownDeadHosts = new Set<HostId>()

  constructor (private readonly services: ShardAdmissionServerServices) {
    super(services.system, 'shard-homes', services.metrics)
    const { handlers } = services
    handlers.handle('admission.acquire', async ({ shard, request }) => await this.acquire(shard, request))
    handlers.handle('admission.release', async ({ shard, grant }) => { this.tell({ type: 'release', shard, grant }); return null })
    handlers.handle('admission.renew', async ({ shard, grants }) => { this.tell({ type: 'renew', shard, grants }); return null })
    this.disposables.add(services.clock.every(EXPIRY_INTERVAL_MS, () => { this.tell({ type: 'tick' }) }))
    this.disposables.add(services.fold.onChange(() => { this.tell({ type: 'targets-changed' }) }))
    this.disposables.add(services.directory.onChange(() => { this.tell({ type: 'targets-changed' }) }))
    this.disposables.add(services.membership.onChange(() => { this.tell({ type: 'members-changed' }) }))
  }

  /** Requests a slot of a shard whose home is this host. */
  async acquire (shard: ShardKey, request: AcquireRequest): Promise<AcquireResponse> {
    return await new Promise((resolve) => { this.tell({ type: 'acquire', shard, request, reply: resolve }) })
  }

  release (shard: ShardKey, grant: string): void {
    this.tell({ type: 'release', shard, grant })
  }

  renew (shard: ShardKey, grants: readonly Grant[]): void {
    this.tell({ type: 'renew', shard, grants })
  }

  /** Returns the finite pressures of the shards that are served here. */
  pressures (): Record<string, number> {
    const pressures: Record<string, number> = {}
    for (const [shard, admission] of this.admissions) {
      if (Number.isFinite(admission.pressure)) pressures[shard] = Math.round(admission.pressure * 1000) / 1000
    }
    return pressures
  }

  /** Returns the number of grants on a target according to this host. */
  runningOn (shard: ShardKey, target: TargetName): number {
    return this.admissions.get(shard)?.runningOn(target) ?? 0
  }

  protected override receive (message: Message): void {
    const now = this.services.clock.monotonic()
    switch (message.type) {
      case 'acquire': this.handleAcquire(message.shard, message.request, message.reply, now); break
      case 'release':
        this.pendingReplies.delete(message.grant)
        this.applyDecisions(message.shard, this.admissions.get(message.shard)?.release(message.grant, now) ?? [])
        break
      case 'renew': this.admission(message.shard, now).renew(message.grants, now); break
      case 'targets-changed': this.refreshTargets(now); break
      case 'members-changed': this.dropDeadHolders(now); break
      case 'tick': this.expire(now); break
      default: unreachable(message)
    }
  }

  private handleAcquire (shard: ShardKey, request: AcquireRequest, reply: Reply, now: number): void {
    const admission = this.admission(shard, now)
    this.pendingReplies.set(request.grant, reply)
    this.applyDecisions(shard, admission.acquire(request, now))
  }

  private admission (shard: ShardKey, now: number): ShardAdmission {
    const existing = this.admissions.get(shard)
    if (existing !== undefined) return existing
    const admission = new ShardAdmission()
    admission.setTargets(this.services.directory.targets(shard), now)
    this.admissions.set(shard, admission)
    return admission
  }

  private refreshTargets (now: number): void {
    for (const [shard, admission] of this.admissions) {
      this.applyDecisions(shard, admission.setTargets(this.services.directory.targets(shard), now))
    }
  }

  private dropDeadHolders (now: number): void {
    const dead = new Set(this.services.membership.members().filter((member) => member.status === 'dead').map((member) => member.host))
    const newlyDead = [...dead].filter((host) => !this.knownDeadHosts.has(host))
    this.knownDeadHosts = dead
    for (const host of newlyDead) {
      for (const [shard, admission] of this.admissions) this.applyDecisions(shard, admission.removeHolder(host, now))
    }
  }

  private expire (now: number): void {
    for (const [shard, admission] of this.admissions) {
      this.applyDecisions(shard, admission.expire(now))
      const isUnused = admission.queueLength === 0 && admission.runningCount === 0
      if (isUnused && this.services.directory.configuredTargets(shard).length === 0) this.admissions.delete(shard)
    }
  }

  private applyDecisions (shard: ShardKey, decisions: readonly AdmissionDecision[]): void {
    const pressure = this.admissions.get(shard)?.pressure ?? 0
    for (const decision of decisions) {
      switch (decision.type) {
        case 'granted':
          this.services.metrics.count('admission.granted')
          this.sendReply(decision.grant.grant, { type: 'granted', grant: decision.grant, address: decision.address, pressure })
          break
        case 'refused':
          this.services.metrics.count('admission.refused')
          this.sendReply(decision.grant, { type: 'refused', reason: decision.reason, pressure: Number.isFinite(pressure) ? pressure : 1000 })
          break
        case 'revoke': this.revoke(decision.grant); break
        default: unreachable(decision)
      }
    }
  }

  private sendReply (grant: string, answer: AcquireResponse): void {
    this.pendingReplies.get(grant)?.(answer)
    this.pendingReplies.delete(grant)
  }

  private revoke (grant: Grant): void {
    this.services.metrics.count('admission.revoked')
    const { membership, peers } = this.services
    if (grant.holder === membership.self.host) {
      this.services.revokeLocally(grant.grant)
      return
    }
    const holder = membership.members().find((member) => member.host === grant.holder)
    if (holder !== undefined) peers.call(holder.address, 'admission.revoke', { grant: grant.grant }, REVOKE_TIMEOUT_MS).catch(() => undefined)
  }
}
