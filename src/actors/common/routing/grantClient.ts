/**
 * The holder side of admission: asks the home of a shard for a slot, keeps the slots in use renewed
 * and gives them back.
 *
 * A home can die or go silent while a request waits in its queue. The request then must not wait out
 * its deadline there: as soon as this host's members say that the home is another, it asks that one.
 */

import type { HostId, Place, PoolName, ShardKey, TargetName } from '../../../base/common/ids.ts'
import { shardParts } from '../../../base/common/ids.ts'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import { DisposableStore, toDisposable } from '../../../base/common/lifecycle.ts'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { AcquireRequest, Grant } from '../../../core/common/routing/admissionMessages.ts'
import { orderShards } from '../../../core/common/routing/shardChoice.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import { pause } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { AcquireAnswer, PeerHandlers, Peers } from '../../../ports/common/peers.ts'
import type { MembershipView } from '../membership/membership.ts'
import type { TargetDirectory } from '../targets/targetDirectory.ts'
import type { Homes } from './homes.ts'
import type { ShardHomes } from './shardHomes.ts'

/** What a slot is wanted for. */
export interface GrantWish extends Omit<AcquireRequest, 'grant' | 'holder' | 'maximumWaitMs'> {
  readonly pool: PoolName
  /** Monotonic time by which a slot is of use. */
  readonly until: number
  /** Ends the wait; the result is then a failure. */
  readonly signal?: AbortSignal
}

/** A slot in use. */
export interface HeldGrant {
  readonly target: TargetName
  readonly address: string
  /** Monotonic time after which it must not be used to start something. */
  readonly useBefore: number
  /** Aborted when the home wants the slot back. */
  readonly revoked: AbortSignal
  release (): void
}

export interface GrantClientServices {
  readonly membership: MembershipView
  readonly directory: TargetDirectory
  readonly homes: Homes
  /** Home side on this host. */
  readonly local: ShardHomes
  readonly peers: Peers
  readonly handlers: PeerHandlers
  readonly clock: Clock
  readonly chance: Chance
  readonly metrics: Metrics
}

interface Active {
  readonly shard: ShardKey
  readonly grant: Grant
  readonly abort: AbortController
}

const RENEW_MS = 4000
const RPC_MARGIN_MS = 500
const RELEASE_TIMEOUT_MS = 1000
const HOME_MOVED_PAUSE_MS = 50

export class GrantClient implements Disposable {
  private readonly active = new Map<string, Active>()
  private readonly asking = new Set<string>()
  /** Slots asked back before the answer that grants them was read. */
  private readonly revokedEarly = new Set<string>()
  private readonly heard = new Map<ShardKey, number>()
  private readonly disposables = new DisposableStore()
  private readonly host: HostId
  private readonly place: Place

  constructor (private readonly services: GrantClientServices, private readonly grantUseMs: number) {
    this.host = services.membership.self.host
    this.place = services.membership.self.place
    services.handlers.handle('admission.revoke', async ({ grant }) => { this.revoke(grant); return null })
    this.disposables.add(services.clock.every(RENEW_MS, () => { this.renewAll() }))
    this.disposables.add(services.membership.onChange(() => { this.renewAll() }))
  }

  get inUse (): number {
    return this.active.size
  }

  /**
   * Asks the shards of a pool for a slot: first all of them for one that is free now, then for a
   * place in a queue. Who queues at the first shard at once waits there while another has free slots.
   */
  async acquire (wish: GrantWish): Promise<Result<HeldGrant>> {
    const shards = this.orderedShards(wish.pool)
    if (shards.length > 1) {
      const free = await this.firstThatGrants(shards, wish, true)
      if (free.ok) return free
    }
    return await this.firstThatGrants(this.orderedShards(wish.pool), wish, false)
  }

  private orderedShards (pool: PoolName): ShardKey[] {
    const shards = this.services.directory.shardsOf(pool)
    const views = shards.map((shard) => ({ shard, place: shardParts(shard).place, pressure: this.pressureOf(shard) }))
    return orderShards(views, this.place, this.services.chance).map(({ shard }) => shard)
  }

  private async firstThatGrants (shards: readonly ShardKey[], wish: GrantWish, onlyFree: boolean): Promise<Result<HeldGrant>> {
    let refused: Failure = failure('noTarget', `pool ${wish.pool} has no targets`, { retryAfterMs: 1000 })
    for (const shard of shards) {
      const answer = await this.acquireFrom(shard, wish, onlyFree)
      if (answer.ok) return answer
      refused = worse(refused, answer)
      if (wish.signal?.aborted === true || this.services.clock.monotonic() >= wish.until) break
    }
    return refused
  }

  /**
   * Gives a grant of this host back because its home wants it for something more urgent. The home's
   * wish can overtake its own answer on another connection, so one that is not known yet is kept.
   */
  revoke (grant: string): void {
    const active = this.active.get(grant)
    if (active !== undefined) {
      active.abort.abort()
    } else if (this.asking.has(grant)) {
      this.revokedEarly.add(grant)
    }
  }

  dispose (): void {
    this.disposables.dispose()
  }

  private pressureOf (shard: ShardKey): number {
    return this.services.membership.pressureOf(shard) ?? this.heard.get(shard) ?? 0
  }

  private async acquireFrom (shard: ShardKey, wish: GrantWish, onlyFree: boolean): Promise<Result<HeldGrant>> {
    for (;;) {
      const remaining = wish.until - this.services.clock.monotonic()
      if (remaining <= 0 || wish.signal?.aborted === true) return failure('deadlineExceeded', 'no slot came free before the deadline', { retryAfterMs: 500 })
      const home = this.services.homes.ofShard(shard)
      if (home === undefined) return failure('noTarget', 'no host is home of the shard', { retryAfterMs: 1000 })
      const request = this.requestFor(wish, onlyFree ? 0 : remaining)
      this.asking.add(request.grant)
      const answer = await this.ask(shard, home.host, home.address, request, wish.signal)
      this.asking.delete(request.grant)
      const revoked = this.revokedEarly.delete(request.grant)
      if (answer === 'home-moved') {
        if (onlyFree) return failure('noTarget', 'the home of the shard does not answer', { retryAfterMs: 500 })
        await pause(this.services.clock, HOME_MOVED_PAUSE_MS)
        continue
      }
      return this.take(shard, request, answer, revoked)
    }
  }

  private requestFor (wish: GrantWish, maximumWaitMs: number): AcquireRequest {
    const { pool: _pool, until: _until, signal: _signal, ...wanted } = wish
    return { ...wanted, grant: this.services.chance.id(), holder: this.host, maximumWaitMs }
  }

  private async ask (shard: ShardKey, home: HostId, address: string, request: AcquireRequest, signal: AbortSignal | undefined): Promise<AcquireAnswer | 'home-moved'> {
    const answered = home === this.host
      ? this.services.local.acquire(shard, request)
      : this.askPeer(shard, home, address, request)
    const moved = new DisposableStore()
    const left = new Promise<'home-moved'>((resolve) => {
      const check = (): void => { if (this.services.homes.ofShard(shard)?.host !== home) resolve('home-moved') }
      moved.add(this.services.membership.onChange(check))
      if (signal !== undefined) moved.add(onAbort(signal, () => { resolve('home-moved') }))
      check()
    })
    const answer = await Promise.race([answered, left])
    moved.dispose()
    if (answer === 'home-moved') {
      answered.then((late) => { if (late !== 'home-moved' && late.type === 'granted') this.giveBack(shard, request.grant) }, () => undefined)
      this.giveBack(shard, request.grant, address)
    }
    return answer
  }

  private async askPeer (shard: ShardKey, home: HostId, address: string, request: AcquireRequest): Promise<AcquireAnswer | 'home-moved'> {
    const answer = await this.services.peers.call(address, 'admission.acquire', { shard, request }, request.maximumWaitMs + RPC_MARGIN_MS)
    if (answer.ok) return answer.value
    this.services.metrics.count('admission.home_silent')
    this.services.membership.doubt(home)
    return 'home-moved'
  }

  private take (shard: ShardKey, request: AcquireRequest, answer: AcquireAnswer, revoked: boolean): Result<HeldGrant> {
    this.heard.set(shard, answer.pressure)
    if (answer.type === 'refused') return answer.reason
    const abort = new AbortController()
    if (revoked) abort.abort()
    this.active.set(request.grant, { shard, grant: answer.grant, abort })
    let released = false
    return success({
      target: answer.grant.target,
      address: answer.address,
      useBefore: this.services.clock.monotonic() + this.grantUseMs,
      revoked: abort.signal,
      release: () => {
        if (released) return
        released = true
        this.active.delete(request.grant)
        this.giveBack(shard, request.grant)
      }
    })
  }

  private giveBack (shard: ShardKey, grant: string, address?: string): void {
    const home = this.services.homes.ofShard(shard)
    if (address === undefined && home?.host === this.host) {
      this.services.local.release(shard, grant)
      return
    }
    const to = address ?? home?.address
    if (to === undefined) return
    const send = async (): Promise<boolean> => (await this.services.peers.call(to, 'admission.release', { shard, grant }, RELEASE_TIMEOUT_MS)).ok
    send().then(async (done) => { if (!done) await send() }).catch(() => undefined)
  }

  /** Tells the homes, also new ones, which of their slots are in use here. */
  private renewAll (): void {
    const byShard = new Map<ShardKey, Grant[]>()
    for (const { shard, grant } of this.active.values()) byShard.set(shard, [...byShard.get(shard) ?? [], grant])
    for (const [shard, grants] of byShard) {
      const home = this.services.homes.ofShard(shard)
      if (home === undefined) continue
      if (home.host === this.host) this.services.local.renew(shard, grants)
      else this.services.peers.call(home.address, 'admission.renew', { shard, grants }, RELEASE_TIMEOUT_MS).catch(() => undefined)
    }
  }
}

function onAbort (signal: AbortSignal, listener: () => void): Disposable {
  signal.addEventListener('abort', listener, { once: true })
  return toDisposable(() => { signal.removeEventListener('abort', listener) })
}

/** Of two refusals the one that tells the caller more: a full shard before an empty one. */
function worse (first: Failure, second: Failure): Failure {
  if (first.code !== 'noTarget') return (second.retryAfterMs ?? Infinity) < (first.retryAfterMs ?? Infinity) && second.code !== 'noTarget' ? second : first
  return second
}
