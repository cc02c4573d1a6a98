/**
 * The home side of admission: holds a `ShardAdmission` for each shard that hosts ask this one for,
 * and carries out what it decides. Serves whoever asks: a host that sees other members may name
 * this one as home, and refusing would only cost a round.
 */

import type { HostId, ShardKey, TargetName } from '../../../base/common/ids.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { AcquireRequest, AdmissionDecision, Grant } from '../../../core/common/routing/admissionMessages.ts'
import { ShardAdmission } from '../../../core/common/routing/shardAdmission.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { AcquireAnswer, PeerHandlers, Peers } from '../../../ports/common/peers.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { MembershipView } from '../membership/membership.ts'
import type { TaskSystem } from '../task.ts'
import { Task } from '../task.ts'
import type { TargetDirectory } from '../targets/targetDirectory.ts'

type Reply = (answer: AcquireAnswer) => void

type Message =
  | { readonly type: 'acquire', readonly shard: ShardKey, readonly request: AcquireRequest, readonly reply: Reply }
  | { readonly type: 'release', readonly shard: ShardKey, readonly grant: string }
  | { readonly type: 'renew', readonly shard: ShardKey, readonly grants: readonly Grant[] }
  | { readonly type: 'targets-changed' }
  | { readonly type: 'members-changed' }
  | { readonly type: 'tick' }

export interface ShardHomesServices {
  readonly system: TaskSystem
  readonly fold: FoldView
  readonly directory: TargetDirectory
  readonly membership: MembershipView
  readonly peers: Peers
  readonly handlers: PeerHandlers
  readonly clock: Clock
  readonly metrics: Metrics
  /** Tells a holder on this host to give a grant back. */
  readonly revokeHere: (grant: string) => void
}

const TICK_MS = 50
const REVOKE_TIMEOUT_MS = 1000

export class ShardHomes extends Task<Message> {
  private readonly shards = new Map<ShardKey, ShardAdmission>()
  private readonly replies = new Map<string, Reply>()
  private deadHolders = new Set<HostId>()

  constructor (private readonly services: ShardHomesServices) {
    super(services.system, 'shard-homes', services.metrics)
    const { handlers } = services
    handlers.handle('admission.acquire', async ({ shard, request }) => await this.acquire(shard, request))
    handlers.handle('admission.release', async ({ shard, grant }) => { this.tell({ type: 'release', shard, grant }); return null })
    handlers.handle('admission.renew', async ({ shard, grants }) => { this.tell({ type: 'renew', shard, grants }); return null })
    this.disposables.add(services.clock.every(TICK_MS, () => { this.tell({ type: 'tick' }) }))
    this.disposables.add(services.fold.onChange(() => { this.tell({ type: 'targets-changed' }) }))
    this.disposables.add(services.directory.onChange(() => { this.tell({ type: 'targets-changed' }) }))
    this.disposables.add(services.membership.onChange(() => { this.tell({ type: 'members-changed' }) }))
  }

  /** Asks for a slot of a shard that this host is home of. */
  async acquire (shard: ShardKey, request: AcquireRequest): Promise<AcquireAnswer> {
    return await new Promise((resolve) => { this.tell({ type: 'acquire', shard, request, reply: resolve }) })
  }

  release (shard: ShardKey, grant: string): void {
    this.tell({ type: 'release', shard, grant })
  }

  renew (shard: ShardKey, grants: readonly Grant[]): void {
    this.tell({ type: 'renew', shard, grants })
  }

  /** Pressure of each shard that is asked for here. */
  pressures (): Record<string, number> {
    const pressures: Record<string, number> = {}
    for (const [shard, admission] of this.shards) {
      if (Number.isFinite(admission.pressure)) pressures[shard] = Math.round(admission.pressure * 1000) / 1000
    }
    return pressures
  }

  /** Grants out on a target, as this host counts them. */
  runningOn (shard: ShardKey, target: TargetName): number {
    return this.shards.get(shard)?.runningOn(target) ?? 0
  }

  protected override receive (message: Message): void {
    const now = this.services.clock.monotonic()
    switch (message.type) {
      case 'acquire': this.startAcquire(message.shard, message.request, message.reply, now); break
      case 'release':
        this.replies.delete(message.grant)
        this.carryOut(message.shard, this.shards.get(message.shard)?.release(message.grant, now) ?? [])
        break
      case 'renew': this.admission(message.shard, now).renew(message.grants, now); break
      case 'targets-changed': this.refreshTargets(now); break
      case 'members-changed': this.dropDead(now); break
      case 'tick': this.expire(now); break
      default: unreachable(message)
    }
  }

  private startAcquire (shard: ShardKey, request: AcquireRequest, reply: Reply, now: number): void {
    const admission = this.admission(shard, now)
    this.replies.set(request.grant, reply)
    this.carryOut(shard, admission.acquire(request, now))
  }

  private admission (shard: ShardKey, now: number): ShardAdmission {
    const existing = this.shards.get(shard)
    if (existing !== undefined) return existing
    const admission = new ShardAdmission()
    admission.setTargets(this.services.directory.targets(shard), now)
    this.shards.set(shard, admission)
    return admission
  }

  private refreshTargets (now: number): void {
    for (const [shard, admission] of this.shards) {
      this.carryOut(shard, admission.setTargets(this.services.directory.targets(shard), now))
    }
  }

  private dropDead (now: number): void {
    const dead = new Set(this.services.membership.members().filter((member) => member.status === 'dead').map((member) => member.host))
    const fresh = [...dead].filter((host) => !this.deadHolders.has(host))
    this.deadHolders = dead
    for (const host of fresh) {
      for (const [shard, admission] of this.shards) this.carryOut(shard, admission.removeHolder(host, now))
    }
  }

  private expire (now: number): void {
    for (const [shard, admission] of this.shards) {
      this.carryOut(shard, admission.expire(now))
      const unused = admission.queueLength === 0 && admission.runningCount === 0
      if (unused && this.services.directory.configured(shard).length === 0) this.shards.delete(shard)
    }
  }

  private carryOut (shard: ShardKey, decisions: readonly AdmissionDecision[]): void {
    const pressure = this.shards.get(shard)?.pressure ?? 0
    for (const decision of decisions) {
      switch (decision.type) {
        case 'granted':
          this.services.metrics.count('admission.granted')
          this.answer(decision.grant.grant, { type: 'granted', grant: decision.grant, address: decision.address, pressure })
          break
        case 'refused':
          this.services.metrics.count('admission.refused')
          this.answer(decision.grant, { type: 'refused', reason: decision.reason, pressure: Number.isFinite(pressure) ? pressure : 1000 })
          break
        case 'revoke': this.revoke(decision.grant); break
        default: unreachable(decision)
      }
    }
  }

  private answer (grant: string, answer: AcquireAnswer): void {
    this.replies.get(grant)?.(answer)
    this.replies.delete(grant)
  }

  private revoke (grant: Grant): void {
    this.services.metrics.count('admission.revoked')
    const { membership, peers } = this.services
    if (grant.holder === membership.self.host) {
      this.services.revokeHere(grant.grant)
      return
    }
    const holder = membership.members().find((member) => member.host === grant.holder)
    if (holder !== undefined) peers.call(holder.address, 'admission.revoke', { grant: grant.grant }, REVOKE_TIMEOUT_MS).catch(() => undefined)
  }
}
