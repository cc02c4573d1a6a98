/**
 * Finds out which hosts live: probes one other host a period, asks others to probe in its stead
 * when no answer comes, and passes on what it learns. Cost per host does not grow with the number
 * of hosts. Probes also carry the fold's offset and the pressure of shards.
 */

import type { HostId, Place, ShardKey } from '../../../base/common/ids.ts'
import type { Disposable, Event } from '../../../base/common/lifecycle.ts'
import { Emitter, toDisposable } from '../../../base/common/lifecycle.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import type { Member, MemberUpdate } from '../../../core/common/membership/memberTable.ts'
import { MemberTable } from '../../../core/common/membership/memberTable.ts'
import type { StatusChange } from '../../../core/common/membership/statusLines.ts'
import { summarizeStatusChanges } from '../../../core/common/membership/statusLines.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { PeerHandlers, Peers, ProbeMessage } from '../../../ports/common/peers.ts'
import type { TaskSystem } from '../task.ts'
import { Task } from '../task.ts'

export interface MembershipOptions {
  readonly seeds: readonly string[]
  readonly probePeriodMs: number
  readonly probeTimeoutMs: number
  readonly indirect: number
  readonly suspicionMs: number
  readonly forgetMs: number
  readonly fullExchangeMs: number
}

/** What other parts know of the hosts. */
export interface MembershipView {
  readonly self: MemberUpdate
  members (): Member[]
  /** Hosts that may be homes. */
  available (): Member[]
  /** Fires when a member's status changed. */
  readonly onChange: Event<void>
  /** Says that a host did not answer something else; it is probed at once. */
  doubt (host: HostId): void
  /** Last heard pressure of a shard, with the monotonic time of hearing it. */
  pressureOf (shard: ShardKey): number | undefined
  /** Last heard load of a host, 0 to 1. */
  loadOf (host: HostId): number | undefined
}

export interface MembershipServices {
  readonly system: TaskSystem
  readonly peers: Peers
  readonly handlers: PeerHandlers
  readonly clock: Clock
  readonly chance: Chance
  readonly hash: Hash
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

/** What this host tells with its probes. */
export interface ProbePayload {
  offset (): number
  load (): number
  reachesStore (): boolean
  pressures (): Record<string, number>
}

type Message =
  | { readonly type: 'probe' }
  | { readonly type: 'probed', readonly member: Member | undefined, readonly answer: Result<ProbeMessage> }
  | { readonly type: 'unanswered', readonly member: Member }
  | { readonly type: 'doubt', readonly host: HostId }
  | { readonly type: 'seeds', readonly addresses: readonly string[] }

/** Probes to seeds and to the dead, as one in so many. */
const SEED_PROBE_EVERY = 8
/** Hosts that a leaving host tells itself, at most: all of a small deployment, and enough of a large one for their probes to tell the others within two seconds. */
const LEAVE_TOLD = 24
/** Part of this host's own age that passes between two exchanges of the whole table while it is young: hosts that start together know few of the others, and updates that travel with probes are some at a time. */
const EXCHANGE_AGE_SHARE = 0.3
/** How long hosts that become known or alive are gathered for one line, in milliseconds: a few probe periods, in which a host that starts hears of most others. */
const GATHER_MS = 1000

export class Membership extends Task<Message> implements MembershipView {
  private readonly table: MemberTable
  private readonly changes = new Emitter<void>()
  private readonly pressures = new Map<ShardKey, number>()
  private readonly loads = new Map<HostId, number>()
  private readonly storeReachers = new Set<HostId>()
  private readonly doubted = new Set<HostId>()
  /** Hosts that became known or alive and that no line has told of. */
  private readonly news = new Map<HostId, StatusChange>()
  private gathering: Disposable | undefined
  private round: Member[] = []
  private probes = 0
  private lastFull = Number.NEGATIVE_INFINITY
  private readonly startedAt: number
  private tablesDiffer = true
  private listed: readonly string[] = []
  private payload: ProbePayload = { offset: () => 0, load: () => 0, reachesStore: () => true, pressures: () => ({}) }
  readonly onChange = this.changes.event

  constructor (private readonly services: MembershipServices, private readonly options: MembershipOptions, self: Omit<MemberUpdate, 'status' | 'incarnation'>) {
    super(services.system, 'membership', services.metrics)
    this.startedAt = services.clock.monotonic()
    this.table = new MemberTable(self, options, services.clock.monotonic())
    services.handlers.handle('membership.probe', async (message) => this.answerProbe(message))
    services.handlers.handle('membership.probe-for', async ({ address }) => ({ reached: (await this.send(address, false)).ok }))
    this.disposables.add(services.clock.every(options.probePeriodMs, () => { this.tell({ type: 'probe' }) }))
    this.disposables.add(this.changes)
    this.disposables.add(toDisposable(() => { this.gathering?.dispose() }))
    this.tell({ type: 'probe' })
  }

  get self (): MemberUpdate {
    return this.table.selfUpdate
  }

  members (): Member[] {
    return this.table.allMembers()
  }

  available (): Member[] {
    return this.table.availableMembers()
  }

  pressureOf (shard: ShardKey): number | undefined {
    return this.pressures.get(shard)
  }

  loadOf (host: HostId): number | undefined {
    return host === this.self.host ? this.payload.load() : this.loads.get(host)
  }

  /** Addresses of hosts that may answer, in random order; seeds where none is known. */
  peerAddresses (): string[] {
    const known = this.table.reachableMembers().map((member) => member.address)
    return shuffle(known.length > 0 ? known : this.seeds(), this.services.chance)
  }

  /** Addresses of live hosts that said lately that they reach the store, in random order. */
  storeReacherAddresses (): string[] {
    return shuffle(this.table.availableMembers().filter(({ host }) => host !== this.self.host && this.storeReachers.has(host)).map(({ address }) => address), this.services.chance)
  }

  /** Whether all hosts of some other place are out of reach. */
  placeLost (): boolean {
    const reached = new Set<Place>()
    const places = new Set<Place>()
    for (const member of this.table.allMembers()) {
      places.add(member.place)
      if (member.status === 'alive' || member.status === 'leaving') reached.add(member.place)
    }
    return [...places].some((place) => !reached.has(place))
  }

  doubt (host: HostId): void {
    this.tell({ type: 'doubt', host })
  }

  /** What probes tell of this host. */
  tellWithProbes (payload: ProbePayload): void {
    this.payload = payload
  }

  /** Addresses from the platform's list of hosts, which lags and is only a way in. */
  setListed (addresses: readonly string[]): void {
    this.tell({ type: 'seeds', addresses })
  }

  /** Announces that this host is about to exit; those that it tells pass it on. */
  leave (): void {
    this.table.leave(this.services.clock.monotonic())
    this.changes.fire()
    for (const member of shuffle(this.table.reachableMembers(), this.services.chance).slice(0, LEAVE_TOLD)) this.send(member.address, false)
  }

  protected override receive (message: Message): void {
    switch (message.type) {
      case 'probe': this.probeNext(); break
      case 'probed': this.takeAnswer(message.member, message.answer); break
      case 'unanswered': this.suspect(message.member); break
      case 'doubt': this.probeDoubted(message.host); break
      case 'seeds': this.listed = message.addresses; break
      default: unreachable(message)
    }
  }

  private seeds (): string[] {
    const own = this.self.address
    return [...new Set([...this.options.seeds, ...this.listed])].filter((address) => address !== own)
  }

  private probeNext (): void {
    this.expire()
    const member = this.nextMember()
    if (member !== undefined) this.probe(member)
    if (member === undefined || this.probes++ % SEED_PROBE_EVERY === 0) this.probeLost()
  }

  private expire (): void {
    const died = this.table.expire(this.services.clock.monotonic())
    for (const member of died) this.services.stateLog.changed('host is dead', { member: member.host })
    if (died.length === 0) return
    this.services.metrics.count('membership.died', died.length)
    for (const { host } of died) {
      this.loads.delete(host)
      this.storeReachers.delete(host)
    }
    this.changes.fire()
  }

  /** Each member once a round, in a new random order each round. */
  private nextMember (): Member | undefined {
    if (this.round.length === 0) this.round = shuffle(this.table.reachableMembers(), this.services.chance)
    const next = this.round.pop()
    if (next === undefined) return undefined
    const current = this.table.get(next.host)
    return current === undefined || current.status === 'dead' ? this.nextMember() : current
  }

  /** Seeds and the dead are asked now and then: the two sides of a healed cut find each other so. */
  private async probeLost (): Promise<void> {
    const known = new Set(this.table.reachableMembers().map((member) => member.address))
    const dead = this.table.allMembers().filter((member) => member.status === 'dead').map((member) => member.address)
    const [address] = shuffle([...new Set([...this.seeds(), ...dead])].filter((candidate) => !known.has(candidate)), this.services.chance)
    if (address === undefined) return
    this.tell({ type: 'probed', member: undefined, answer: await this.send(address, true) })
  }

  private probeDoubted (host: HostId): void {
    const member = this.table.get(host)
    if (member === undefined || this.doubted.has(host) || member.status === 'dead') return
    this.doubted.add(host)
    this.probe(member).finally(() => { this.doubted.delete(host) }).catch(() => undefined)
  }

  private async probe (member: Member): Promise<void> {
    const now = this.services.clock.monotonic()
    const full = this.tablesDiffer && now - this.lastFull >= Math.min(this.options.fullExchangeMs, (now - this.startedAt) * EXCHANGE_AGE_SHARE)
    if (full) this.lastFull = now
    const answer = await this.send(member.address, full)
    const ended = !answer.ok && answer.code === 'targetUnreachable'
    if (answer.ok || (!ended && await this.reachedOtherwise(member))) {
      if (answer.ok) this.tell({ type: 'probed', member, answer })
      return
    }
    this.tell({ type: 'unanswered', member })
  }

  /**
   * The connection may have gone silent while the host lives, so it is tried anew first (the peers'
   * adapter has put the old connection aside), and through other hosts.
   */
  private async reachedOtherwise (member: Member): Promise<boolean> {
    const again = await this.send(member.address, false)
    if (again.ok) {
      this.services.metrics.count('membership.silent_connection')
      this.tell({ type: 'probed', member, answer: again })
      return true
    }
    const helpers = shuffle(this.table.reachableMembers().filter((other) => other.host !== member.host && other.status === 'alive'), this.services.chance)
    const asked = helpers.slice(0, this.options.indirect).map(async (helper) => {
      const answer = await this.services.peers.call(helper.address, 'membership.probe-for', { address: member.address }, this.options.probeTimeoutMs * 3)
      return answer.ok && answer.value.reached
    })
    return (await Promise.all(asked)).some((reached) => reached)
  }

  private suspect (member: Member): void {
    if (!this.table.suspect(member.host, this.services.clock.monotonic())) return
    this.services.metrics.count('membership.suspected')
    if (this.news.has(member.host)) this.tellNews()
    this.services.stateLog.changed('host is suspect', { member: member.host })
    this.changes.fire()
  }

  private async send (address: string, full: boolean): Promise<Result<ProbeMessage>> {
    return await this.services.peers.call(address, 'membership.probe', this.message(full, full), this.options.probeTimeoutMs)
  }

  private message (askFull: boolean, giveFull: boolean): ProbeMessage {
    return {
      from: this.self,
      updates: giveFull ? this.table.fullTable() : this.table.takeUpdates(),
      offset: this.payload.offset(),
      load: this.payload.load(),
      reachesStore: this.payload.reachesStore(),
      pressures: this.payload.pressures(),
      digest: this.services.hash.digest(this.table.summary()),
      full: askFull
    }
  }

  /** Writes what a host became; what comes with a start or with the end of a cut is gathered, as it comes for all hosts. */
  private note (change: StatusChange): void {
    const gathered = this.news.get(change.host)
    if (gathered === undefined && change.was !== 'unknown' && change.status !== 'alive') {
      return this.services.stateLog.changed('host status', { member: change.host, status: change.status, was: change.was })
    }
    this.news.set(change.host, { ...change, was: gathered?.was ?? change.was })
    this.gathering ??= this.services.clock.after(GATHER_MS, () => { this.tellNews() })
  }

  private tellNews (): void {
    this.gathering?.dispose()
    this.gathering = undefined
    const line = summarizeStatusChanges([...this.news.values()], this.table.allMembers().length)
    this.news.clear()
    if (line !== undefined) this.services.stateLog.changed(line.what, line.details)
  }

  private answerProbe (message: ProbeMessage): ProbeMessage {
    this.learn(message)
    return this.message(false, message.full)
  }

  private takeAnswer (member: Member | undefined, answer: Result<ProbeMessage>): void {
    if (!answer.ok) return
    this.learn(answer.value)
    const replaced = member !== undefined && answer.value.from.host !== member.host
    if (replaced) this.suspect(member)
  }

  private learn (message: ProbeMessage): void {
    const now = this.services.clock.monotonic()
    let changed = false
    for (const update of [message.from, ...message.updates]) {
      const before = this.table.get(update.host)?.status
      if (!this.table.merge(update, now)) continue
      if (before === this.table.get(update.host)?.status) continue
      changed = true
      this.note({ host: update.host, status: update.status, was: before ?? 'unknown' })
    }
    this.tablesDiffer = message.digest !== this.services.hash.digest(this.table.summary())
    this.loads.set(message.from.host, message.load)
    if (message.reachesStore) this.storeReachers.add(message.from.host)
    else this.storeReachers.delete(message.from.host)
    for (const [shard, pressure] of Object.entries(message.pressures)) this.pressures.set(shard as ShardKey, pressure)
    if (changed) this.changes.fire()
  }
}

function shuffle<T> (items: readonly T[], chance: Chance): T[] {
  const result = [...items]
  for (let index = result.length - 1; index > 0; index--) {
    const other = Math.floor(chance.next() * (index + 1))
    const kept = result[index] as T
    result[index] = result[other] as T
    result[other] = kept
  }
  return result
}
