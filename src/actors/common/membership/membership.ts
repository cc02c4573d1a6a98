/**
 * Detects which hosts are alive: probes one of a few other hosts per period, asks further hosts to probe it
 * indirectly if it does not answer, and disseminates status updates with the probes. The cost per
 * host does not grow with the number of hosts. Probes also carry the offset of the fold and the
 * pressure of shards.
 */

import type { HostId, FailureDomain, ShardKey } from '../../../base/common/ids.ts'
import type { Disposable, Event } from '../../../base/common/lifecycle.ts'
import { Emitter, toDisposable } from '../../../base/common/lifecycle.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import { HostLoads } from '../../../core/common/membership/hostLoads.ts'
import type { Member, MemberUpdate } from '../../../core/common/membership/memberTable.ts'
import { MemberTable } from '../../../core/common/membership/memberTable.ts'
import { MAX_PROBED_HOSTS, probeNeighbours } from '../../../core/common/membership/probeTargets.ts'
import type { StatusChange } from '../../../core/common/membership/statusLines.ts'
import { summarizeStatusChanges } from '../../../core/common/membership/statusLines.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
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
  readonly fullExchangeIntervalMs: number
}

/** View of the hosts for other components. */
export interface MembershipView {
  readonly self: MemberUpdate
  members (): Member[]
  /** Returns the hosts that may be homes. */
  available (): Member[]
  /** Fires when the status of a member has changed. */
  readonly onChange: Event<void>
  /** Probes a host at once, because it did not answer another call. */
  probeNow (host: HostId): void
  /** Makes a host suspect without a probe, because its address refused a connection: its process has ended. */
  reportProcessEnded (host: HostId): void
  /** Returns the last received pressure of a shard. */
  pressureOf (shard: ShardKey): number | undefined
  /** Returns the last received load of a host, from 0 to 1. */
  loadOf (host: HostId): number | undefined
}

export interface MembershipServices {
  readonly system: TaskSystem
  readonly peers: Peers
  readonly handlers: PeerHandlers
  readonly clock: Clock
  readonly chance: RandomSource
  readonly hash: Hash
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

/** Supplies the data that this host sends with its probes. */
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

/** One in this many probes is followed by a probe of a seed or a dead host. */
const UNREACHABLE_PROBE_EVERY = 8
/** Maximum number of hosts that a leaving host notifies itself: all hosts of a small deployment, and enough of a large one that their probes notify the others within two seconds. */
const MAX_LEAVE_NOTIFICATIONS = 24
/** Interval between two exchanges of the full table, as a fraction of the age of this host while it is young: hosts that start together know few of the others, and probes carry only a few updates at a time. */
const FULL_EXCHANGE_AGE_FACTOR = 0.3
/** Time for which hosts that become known or alive are collected for one log line: a few probe periods, in which a starting host learns of most others. */
const STATUS_LOG_DELAY_MS = 1000

export class Membership extends Task<Message> implements MembershipView {
  private readonly table: MemberTable
  private readonly changeEmitter = new Emitter<void>()
  private readonly pressures = new Map<ShardKey, number>()
  private readonly loads = new HostLoads()
  private readonly hostsReachingStore = new Set<HostId>()
  private readonly hostsBeingProbed = new Set<HostId>()
  /** Hosts that became known or alive and have not been logged yet. */
  private readonly unloggedStatuses = new Map<HostId, StatusChange>()
  private logTimer: Disposable | undefined
  private probeRound: Member[] = []
  private probeCount = 0
  private lastFullExchangeAt = Number.NEGATIVE_INFINITY
  private readonly startedAt: number
  private tablesDiffer = true
  private listed: readonly string[] = []
  private payload: ProbePayload = { offset: () => 0, load: () => 0, reachesStore: () => true, pressures: () => ({}) }
  readonly onChange = this.changeEmitter.event

  constructor (private readonly services: MembershipServices, private readonly options: MembershipOptions, self: Omit<MemberUpdate, 'status' | 'incarnation'>) {
    super(services.system, 'membership', services.metrics)
    this.startedAt = services.clock.monotonic()
    this.table = new MemberTable(self, options, services.clock.monotonic())
    services.handlers.handle('membership.probe', async (message) => this.answerProbe(message))
    services.handlers.handle('membership.probe-for', async ({ address }) => ({ reached: (await this.sendProbe(address, false)).ok }))
    this.disposables.add(services.clock.every(options.probePeriodMs, () => { this.tell({ type: 'probe' }) }))
    this.disposables.add(this.changeEmitter)
    this.disposables.add(toDisposable(() => { this.logTimer?.dispose() }))
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
    return host === this.self.host ? this.payload.load() : this.loads.loadOf(host)
  }

  /** Returns the addresses of hosts that may answer, in random order; the seeds if no host is known. */
  peerAddresses (): string[] {
    const known = this.table.reachableMembers().map((member) => member.address)
    return shuffle(known.length > 0 ? known : this.seeds(), this.services.chance)
  }

  /** Returns the addresses of live hosts that last reported that they reach the store, in random order. */
  addressesReachingStore (): string[] {
    return shuffle(this.table.availableMembers().filter(({ host }) => host !== this.self.host && this.hostsReachingStore.has(host)).map(({ address }) => address), this.services.chance)
  }

  /** Returns whether all hosts of some other failure domain are unreachable. */
  isAnyFailureDomainLost (): boolean {
    const reachableDomains = new Set<FailureDomain>()
    const failureDomains = new Set<FailureDomain>()
    for (const member of this.table.allMembers()) {
      failureDomains.add(member.place)
      if (member.status === 'alive' || member.status === 'leaving') reachableDomains.add(member.place)
    }
    return [...failureDomains].some((place) => !reachableDomains.has(place))
  }

  probeNow (host: HostId): void {
    this.tell({ type: 'doubt', host })
  }

  reportProcessEnded (host: HostId): void {
    const member = this.table.get(host)
    if (member !== undefined) this.tell({ type: 'unanswered', member })
  }

  /** Sets the source of the data that this host sends with its probes. */
  setProbePayload (payload: ProbePayload): void {
    this.payload = payload
  }

  /** Sets the addresses from the platform's list of hosts. The list lags behind and is only used like seeds. */
  setListedAddresses (addresses: readonly string[]): void {
    this.tell({ type: 'seeds', addresses })
  }

  /** Announces that this host is about to exit. The notified hosts disseminate the announcement. */
  leave (): void {
    this.table.leave(this.services.clock.monotonic())
    this.changeEmitter.fire()
    for (const member of shuffle(this.table.reachableMembers(), this.services.chance).slice(0, MAX_LEAVE_NOTIFICATIONS)) this.sendProbe(member.address, false)
  }

  protected override receive (message: Message): void {
    switch (message.type) {
      case 'probe': this.probeNext(); break
      case 'probed': this.handleAnswer(message.member, message.answer); break
      case 'unanswered': this.suspect(message.member); break
      case 'doubt': this.probeHostNow(message.host); break
      case 'seeds': this.listed = message.addresses; break
      default: unreachable(message)
    }
  }

  private seeds (): string[] {
    const own = this.self.address
    return [...new Set([...this.options.seeds, ...this.listed])].filter((address) => address !== own)
  }

  private probeNext (): void {
    this.expireSuspects()
    const member = this.nextMember()
    if (member !== undefined) this.probe(member)
    if (member === undefined || this.probeCount++ % UNREACHABLE_PROBE_EVERY === 0) this.probeUnreachable()
  }

  private expireSuspects (): void {
    const died = this.table.expire(this.services.clock.monotonic())
    for (const member of died) this.services.stateLog.changed('host is dead', { member: member.host })
    if (died.length === 0) return
    this.services.metrics.count('membership.died', died.length)
    for (const { host } of died) {
      this.loads.delete(host)
      this.hostsReachingStore.delete(host)
    }
    this.changeEmitter.fire()
  }

  /** Returns the next member to probe: each neighbour and one other host once per round, in a new random order each round. */
  private nextMember (): Member | undefined {
    if (this.probeRound.length === 0) this.probeRound = this.newProbeRound()
    const next = this.probeRound.pop()
    if (next === undefined) return undefined
    const current = this.table.get(next.host)
    return current === undefined || current.status === 'dead' ? this.nextMember() : current
  }

  private newProbeRound (): Member[] {
    const { hash, chance } = this.services
    const reachable = this.table.reachableMembers()
    const neighbours = probeNeighbours(hash, this.self.host, reachable)
    const [other] = shuffle(reachable.filter((member) => !neighbours.includes(member)), chance)
    return shuffle(other === undefined ? neighbours : [...neighbours, other], chance)
  }

  /** Probes a seed or a dead host, so that the two sides of a healed network partition find each other. */
  private async probeUnreachable (): Promise<void> {
    const known = new Set(this.table.reachableMembers().map((member) => member.address))
    const dead = this.table.allMembers().filter((member) => member.status === 'dead').map((member) => member.address)
    const [address] = shuffle([...new Set([...this.seeds(), ...dead])].filter((candidate) => !known.has(candidate)), this.services.chance)
    if (address === undefined) return
    this.tell({ type: 'probed', member: undefined, answer: await this.sendProbe(address, true) })
  }

  private probeHostNow (host: HostId): void {
    const member = this.table.get(host)
    if (member === undefined || this.hostsBeingProbed.has(host) || member.status === 'dead') return
    this.hostsBeingProbed.add(host)
    this.probe(member).finally(() => { this.hostsBeingProbed.delete(host) }).catch(() => undefined)
  }

  private async probe (member: Member): Promise<void> {
    const now = this.services.clock.monotonic()
    const full = this.tablesDiffer && now - this.lastFullExchangeAt >= Math.min(this.options.fullExchangeIntervalMs, (now - this.startedAt) * FULL_EXCHANGE_AGE_FACTOR)
    if (full) this.lastFullExchangeAt = now
    const answer = await this.sendProbe(member.address, full)
    if (answer.ok || (!isConnectionRefused(answer) && await this.isReachableOtherwise(member))) {
      if (answer.ok) this.tell({ type: 'probed', member, answer })
      return
    }
    this.tell({ type: 'unanswered', member })
  }

  /**
   * Probes a host again directly and then through other hosts. Its connection may have become silent while
   * the host is alive; the second direct probe uses a new connection, as the peers adapter has discarded the old one.
   */
  private async isReachableOtherwise (member: Member): Promise<boolean> {
    const secondAnswer = await this.sendProbe(member.address, false)
    if (secondAnswer.ok) {
      this.services.metrics.count('membership.silent_connection')
      this.tell({ type: 'probed', member, answer: secondAnswer })
      return true
    }
    if (isConnectionRefused(secondAnswer)) return false
    const helpers = shuffle(this.table.reachableMembers().filter((other) => other.host !== member.host && other.status === 'alive'), this.services.chance)
    const indirectAnswers = helpers.slice(0, this.options.indirect).map(async (helper) => {
      const answer = await this.services.peers.call(helper.address, 'membership.probe-for', { address: member.address }, this.options.probeTimeoutMs * 3)
      return answer.ok && answer.value.reached
    })
    return (await Promise.all(indirectAnswers)).some((reached) => reached)
  }

  private suspect (member: Member): void {
    if (!this.table.suspect(member.host, this.services.clock.monotonic())) return
    this.services.metrics.count('membership.suspected')
    if (this.unloggedStatuses.has(member.host)) this.flushStatusLog()
    this.services.stateLog.changed('host is suspect', { member: member.host })
    this.changeEmitter.fire()
  }

  private async sendProbe (address: string, full: boolean): Promise<Result<ProbeMessage>> {
    return await this.services.peers.call(address, 'membership.probe', this.message(full, full), this.options.probeTimeoutMs)
  }

  private message (askFull: boolean, giveFull: boolean): ProbeMessage {
    return {
      from: this.self,
      updates: giveFull ? this.table.fullTable() : this.table.takeUpdates(),
      offset: this.payload.offset(),
      load: this.payload.load(),
      otherLoads: this.table.reachableMembers().length > MAX_PROBED_HOSTS ? this.loads.take(this.services.clock.monotonic(), giveFull) : undefined,
      reachesStore: this.payload.reachesStore(),
      pressures: this.payload.pressures(),
      digest: this.services.hash.digest(this.table.summary()),
      full: askFull
    }
  }

  /** Logs a status change. Hosts that become known or alive are collected for one line, as a start or the end of a partition affects all hosts. */
  private logStatus (change: StatusChange): void {
    const pendingStatus = this.unloggedStatuses.get(change.host)
    if (pendingStatus === undefined && change.was !== 'unknown' && change.status !== 'alive') {
      return this.services.stateLog.changed('host status', { member: change.host, status: change.status, was: change.was })
    }
    this.unloggedStatuses.set(change.host, { ...change, was: pendingStatus?.was ?? change.was })
    this.logTimer ??= this.services.clock.after(STATUS_LOG_DELAY_MS, () => { this.flushStatusLog() })
  }

  private flushStatusLog (): void {
    this.logTimer?.dispose()
    this.logTimer = undefined
    const line = summarizeStatusChanges([...this.unloggedStatuses.values()], this.table.allMembers().length)
    this.unloggedStatuses.clear()
    if (line !== undefined) this.services.stateLog.changed(line.what, line.details)
  }

  private answerProbe (message: ProbeMessage): ProbeMessage {
    this.mergeProbe(message)
    return this.message(false, message.full)
  }

  private handleAnswer (member: Member | undefined, answer: Result<ProbeMessage>): void {
    if (!answer.ok) return
    this.mergeProbe(answer.value)
    const isOtherHost = member !== undefined && answer.value.from.host !== member.host
    if (isOtherHost) this.suspect(member)
  }

  /** Records the sender's load, and those that it passes on of members that are not known to be dead. */
  private recordLoads ({ from, load, otherLoads = [] }: ProbeMessage, nowMs: number): void {
    this.loads.record({ host: from.host, load, ageMs: 0 }, nowMs)
    for (const other of otherLoads) {
      const status = this.table.get(other.host)?.status
      if (status !== undefined && status !== 'dead') this.loads.record(other, nowMs)
    }
  }

  private mergeProbe (message: ProbeMessage): void {
    const now = this.services.clock.monotonic()
    let changed = false
    for (const update of [message.from, ...message.updates]) {
      const formerStatus = this.table.get(update.host)?.status
      if (!this.table.merge(update, now)) continue
      if (formerStatus === this.table.get(update.host)?.status) continue
      changed = true
      this.logStatus({ host: update.host, status: update.status, was: formerStatus ?? 'unknown' })
    }
    this.tablesDiffer = message.digest !== this.services.hash.digest(this.table.summary())
    this.recordLoads(message, now)
    if (message.reachesStore) this.hostsReachingStore.add(message.from.host)
    else this.hostsReachingStore.delete(message.from.host)
    for (const [shard, pressure] of Object.entries(message.pressures)) this.pressures.set(shard as ShardKey, pressure)
    if (changed) this.changeEmitter.fire()
  }
}

/** Returns whether an answer shows that no process listens at the address. */
function isConnectionRefused (answer: Result<unknown>): boolean {
  return !answer.ok && answer.code === 'targetUnreachable'
}

function shuffle<T> (items: readonly T[], chance: RandomSource): T[] {
  const result = [...items]
  for (let index = result.length - 1; index > 0; index--) {
    const other = Math.floor(chance.next() * (index + 1))
    const swapped = result[index] as T
    result[index] = result[other] as T
    result[other] = swapped
  }
  return result
}
