/**
 * Holder side of admission: requests slots from the homes of shards, renews the slots in use and
 * releases them.
 *
 * A home can die or stop answering while a request waits in its queue. The request must not wait there
 * until its deadline, so it is sent to the new home as soon as the membership of this host names one.
 */

import type { HostId, FailureDomain, PoolName, ShardKey, TargetName } from '../../../base/common/ids.ts'
import { parseShardKey } from '../../../base/common/ids.ts'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import { DisposableStore, toDisposable } from '../../../base/common/lifecycle.ts'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { AcquireRequest, Grant } from '../../../core/common/routing/admissionMessages.ts'
import { orderShards } from '../../../core/common/routing/shardChoice.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { AcquireResponse, PeerHandlers, Peers } from '../../../ports/common/peers.ts'
import type { MembershipView } from '../membership/membership.ts'
import type { TargetDirectory } from '../targets/targetDirectory.ts'
import type { HomeResolver } from './homeResolver.ts'
import type { ShardAdmissionServer } from './shardAdmissionServer.ts'

/** Request for a slot in any shard of a pool. */
export interface SlotRequest extends Omit<AcquireRequest, 'grant' | 'holder' | 'maximumWaitMs'> {
  readonly pool: PoolName
  /** Monotonic time after which a slot is of no use. */
  readonly deadline: number
  /** Cancels the request, which then fails. */
  readonly signal?: AbortSignal
}

/** A granted slot. */
export interface HeldGrant {
  readonly target: TargetName
  readonly address: string
  /** Monotonic time after which no work may be started with the slot. */
  readonly useBefore: number
  /** Aborted when the home revokes the slot. */
  readonly revoked: AbortSignal
  release (): void
}

export interface GrantClientServices {
  readonly membership: MembershipView
  readonly directory: TargetDirectory
  readonly homes: HomeResolver
  /** Home side of admission on this host. */
  readonly localAdmission: ShardAdmissionServer
  readonly peers: Peers
  readonly handlers: PeerHandlers
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
}

interface ActiveGrant {
  readonly shard: ShardKey
  readonly grant: Grant
  readonly abortController: AbortController
}

const RENEWAL_INTERVAL_MS = 4000
const RPC_TIMEOUT_MARGIN_MS = 500
const RELEASE_TIMEOUT_MS = 1000
/** Longest wait for a new home before a request is sent again. */
const MAX_HOME_CHANGE_WAIT_MS = 50

export class GrantClient implements Disposable {
  private readonly active = new Map<string, ActiveGrant>()
  private readonly pendingGrantIds = new Set<string>()
  /** Grants that were revoked before the answer that grants them was read. */
  private readonly revokedBeforeGranted = new Set<string>()
  private readonly receivedPressures = new Map<ShardKey, number>()
  private readonly disposables = new DisposableStore()
  private readonly host: HostId
  private readonly place: FailureDomain

  constructor (private readonly services: GrantClientServices, private readonly maxStartDelayMs: number) {
    this.host = services.membership.self.host
    this.place = services.membership.self.place
    services.handlers.handle('admission.revoke', async ({ grant }) => { this.revoke(grant); return null })
    this.disposables.add(services.clock.every(RENEWAL_INTERVAL_MS, () => { this.renewAll() }))
    this.disposables.add(services.membership.onChange(() => { this.renewAll() }))
  }

  get inUseCount (): number {
    return this.active.size
  }

  /**
   * Requests a slot from the shards of a pool: first from each of them a slot that is free now, then a
   * position in a queue. Otherwise a request would queue at the first shard while another shard has
   * free slots.
   */
  async acquire (slotRequest: SlotRequest): Promise<Result<HeldGrant>> {
    const shards = this.orderedShards(slotRequest.pool)
    if (shards.length > 1) {
      const freeSlot = await this.acquireFromFirst(shards, slotRequest, true)
      if (freeSlot.ok) return freeSlot
    }
    return await this.acquireFromFirst(this.orderedShards(slotRequest.pool), slotRequest, false)
  }

  private orderedShards (pool: PoolName): ShardKey[] {
    const shards = this.services.directory.shardsOf(pool)
    const views = shards.map((shard) => ({ shard, place: parseShardKey(shard).place, pressure: this.pressureOf(shard) }))
    return orderShards(views, this.place, this.services.chance).map(({ shard }) => shard)
  }

  private async acquireFromFirst (shards: readonly ShardKey[], slotRequest: SlotRequest, onlyIfFree: boolean): Promise<Result<HeldGrant>> {
    let lastRefusal: Failure = failure('noTarget', `pool ${slotRequest.pool} has no targets`, { retryAfterMs: 1000 })
    for (const shard of shards) {
      const answer = await this.acquireFrom(shard, slotRequest, onlyIfFree)
      if (answer.ok) return answer
      lastRefusal = moreInformative(lastRefusal, answer)
      if (slotRequest.signal?.aborted === true || this.services.clock.monotonic() >= slotRequest.deadline) break
    }
    return lastRefusal
  }

  /**
   * Revokes a grant of this host, whose slot the home needs for more urgent work. The revocation can
   * overtake the answer that grants the slot on another connection, so it is kept while that answer is pending.
   */
  revoke (grant: string): void {
    const active = this.active.get(grant)
    if (active !== undefined) {
      active.abortController.abort()
    } else if (this.pendingGrantIds.has(grant)) {
      this.revokedBeforeGranted.add(grant)
    }
  }

  dispose (): void {
    this.disposables.dispose()
  }

  private pressureOf (shard: ShardKey): number {
    return this.services.membership.pressureOf(shard) ?? this.receivedPressures.get(shard) ?? 0
  }

  private async acquireFrom (shard: ShardKey, slotRequest: SlotRequest, onlyIfFree: boolean): Promise<Result<HeldGrant>> {
    for (;;) {
      const remainingMs = slotRequest.deadline - this.services.clock.monotonic()
      if (remainingMs <= 0 || slotRequest.signal?.aborted === true) return failure('deadlineExceeded', 'no slot became free before the deadline', { retryAfterMs: 500 })
      const home = this.services.homes.homeOfShard(shard)
      if (home === undefined) return failure('noTarget', `no host is available as home of shard ${shard}`, { retryAfterMs: 1000 })
      const request = this.toAcquireRequest(slotRequest, onlyIfFree ? 0 : remainingMs)
      this.pendingGrantIds.add(request.grant)
      const answer = await this.sendAcquire(shard, home.host, home.address, request, slotRequest.signal)
      this.pendingGrantIds.delete(request.grant)
      const wasRevoked = this.revokedBeforeGranted.delete(request.grant)
      if (answer === 'home-moved') {
        if (onlyIfFree) return failure('noTarget', `the home of shard ${shard} does not answer`, { retryAfterMs: 500 })
        await this.waitForOtherHome(shard, home.host)
        continue
      }
      return this.handleAnswer(shard, request, answer, wasRevoked)
    }
  }

  private toAcquireRequest (slotRequest: SlotRequest, maximumWaitMs: number): AcquireRequest {
    const { pool: _pool, deadline: _deadline, signal: _signal, ...wireFields } = slotRequest
    return { ...wireFields, grant: this.services.chance.id(), holder: this.host, maximumWaitMs }
  }

  /** Sends a request to the home of a shard. Resolves to `home-moved` if the home changes or does not answer, or if the request is cancelled. */
  private async sendAcquire (shard: ShardKey, home: HostId, address: string, request: AcquireRequest, signal: AbortSignal | undefined): Promise<AcquireResponse | 'home-moved'> {
    const pendingAnswer = home === this.host
      ? this.services.localAdmission.acquire(shard, request)
      : this.acquireFromPeer(shard, home, address, request)
    const subscriptions = new DisposableStore()
    const homeMoved = new Promise<'home-moved'>((resolve) => {
      subscriptions.add(this.onOtherHome(shard, home, () => { resolve('home-moved') }))
      if (signal !== undefined) subscriptions.add(onAbort(signal, () => { resolve('home-moved') }))
    })
    const answer = await Promise.race([pendingAnswer, homeMoved])
    subscriptions.dispose()
    if (answer === 'home-moved') {
      pendingAnswer.then((lateAnswer) => { if (lateAnswer !== 'home-moved' && lateAnswer.type === 'granted') this.releaseGrant(shard, request.grant) }, () => undefined)
      this.releaseGrant(shard, request.grant, address)
    }
    return answer
  }

  private async acquireFromPeer (shard: ShardKey, home: HostId, address: string, request: AcquireRequest): Promise<AcquireResponse | 'home-moved'> {
    const answer = await this.services.peers.call(address, 'admission.acquire', { shard, request }, request.maximumWaitMs + RPC_TIMEOUT_MARGIN_MS)
    if (answer.ok) return answer.value
    this.services.metrics.count('admission.home_silent')
    if (answer.code === 'targetUnreachable') this.services.membership.reportProcessEnded(home)
    else this.services.membership.probeNow(home)
    return 'home-moved'
  }

  /** Calls the listener once this host knows another home of the shard, at once if it already does. */
  private onOtherHome (shard: ShardKey, home: HostId, listener: () => void): Disposable {
    const check = (): void => { if (this.services.homes.homeOfShard(shard)?.host !== home) listener() }
    const subscription = this.services.membership.onChange(check)
    check()
    return subscription
  }

  private async waitForOtherHome (shard: ShardKey, home: HostId): Promise<void> {
    const subscriptions = new DisposableStore()
    await new Promise<void>((resolve) => {
      subscriptions.add(this.onOtherHome(shard, home, resolve))
      subscriptions.add(this.services.clock.after(MAX_HOME_CHANGE_WAIT_MS, resolve))
    })
    subscriptions.dispose()
  }

  private handleAnswer (shard: ShardKey, request: AcquireRequest, answer: AcquireResponse, revoked: boolean): Result<HeldGrant> {
    this.receivedPressures.set(shard, answer.pressure)
    if (answer.type === 'refused') return answer.reason
    const abortController = new AbortController()
    if (revoked) abortController.abort()
    this.active.set(request.grant, { shard, grant: answer.grant, abortController })
    let released = false
    return success({
      target: answer.grant.target,
      address: answer.address,
      useBefore: this.services.clock.monotonic() + this.maxStartDelayMs,
      revoked: abortController.signal,
      release: () => {
        if (released) return
        released = true
        this.active.delete(request.grant)
        this.releaseGrant(shard, request.grant)
      }
    })
  }

  private releaseGrant (shard: ShardKey, grant: string, address?: string): void {
    const home = this.services.homes.homeOfShard(shard)
    if (address === undefined && home?.host === this.host) {
      this.services.localAdmission.release(shard, grant)
      return
    }
    const homeAddress = address ?? home?.address
    if (homeAddress === undefined) return
    const send = async (): Promise<boolean> => (await this.services.peers.call(homeAddress, 'admission.release', { shard, grant }, RELEASE_TIMEOUT_MS)).ok
    send().then(async (isDelivered) => { if (!isDelivered) await send() }).catch(() => undefined)
  }

  /** Reports the slots in use on this host to their homes, including new homes. */
  private renewAll (): void {
    const byShard = new Map<ShardKey, Grant[]>()
    for (const { shard, grant } of this.active.values()) byShard.set(shard, [...byShard.get(shard) ?? [], grant])
    for (const [shard, grants] of byShard) {
      const home = this.services.homes.homeOfShard(shard)
      if (home === undefined) continue
      if (home.host === this.host) this.services.localAdmission.renew(shard, grants)
      else this.services.peers.call(home.address, 'admission.renew', { shard, grants }, RELEASE_TIMEOUT_MS).catch(() => undefined)
    }
  }
}

function onAbort (signal: AbortSignal, listener: () => void): Disposable {
  signal.addEventListener('abort', listener, { once: true })
  return toDisposable(() => { signal.removeEventListener('abort', listener) })
}

/** Returns the refusal that is more useful to the caller: one of a full shard rather than `noTarget`, and the one with the shorter retry delay. */
function moreInformative (first: Failure, second: Failure): Failure {
  if (first.code !== 'noTarget') return (second.retryAfterMs ?? Infinity) < (first.retryAfterMs ?? Infinity) && second.code !== 'noTarget' ? second : first
  return second
}
