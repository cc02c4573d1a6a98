/**
 * The member table of the SWIM protocol, without its messages. Each host probes one other host per
 * period, so the cost per host does not grow with the number of hosts. Updates are piggybacked on the
 * probes. A member refutes a suspicion about itself by raising its incarnation number.
 *
 * Unlike in the original protocol, `dead` can be refuted: network partitions between regions can last
 * for minutes, and both sides have to rejoin afterwards without a restart.
 */

import type { HostId, FailureDomain } from '../../../base/common/ids.ts'

export type MemberStatus = 'alive' | 'leaving' | 'suspect' | 'dead'

/** Status of a member as sent between hosts. */
export interface MemberUpdate {
  readonly host: HostId
  /** Base address, used by both callers and peers. */
  readonly address: string
  readonly place: FailureDomain
  /** Number of standard processor cores that the host may use; absent if the host does not report it. */
  readonly processor?: number | undefined
  readonly status: MemberStatus
  readonly incarnation: number
}

/** A member as known to this host. */
export interface Member extends MemberUpdate {
  /** Monotonic time of the last change of status. */
  readonly since: number
}

export interface MembershipSettings {
  /** How long a suspect may refute the suspicion before it is declared dead, in milliseconds. */
  readonly suspicionMs: number
  /** How long dead members are kept in the table, in milliseconds. */
  readonly forgetMs: number
}

/** Maximum number of updates in a message, which bounds its size. */
const MAX_UPDATES_PER_MESSAGE = 12
/** An update is sent this many times the binary logarithm of the number of members. */
const RETRANSMIT_FACTOR = 3
const statusRank: Readonly<Record<MemberStatus, number>> = { alive: 0, leaving: 1, suspect: 2, dead: 3 }

export class MemberTable {
  private readonly members = new Map<HostId, Member>()
  private readonly pendingTransmissions = new Map<HostId, number>()
  private self: MemberUpdate
  /** Cached until the next change, as every probe carries the digest of the summary. */
  private cachedSummary: string | undefined

  constructor (self: Omit<MemberUpdate, 'status' | 'incarnation'>, private readonly settings: MembershipSettings, now: number) {
    this.self = { ...self, status: 'alive', incarnation: 1 }
    this.setMember(this.self, now)
  }

  get selfUpdate (): MemberUpdate {
    return this.self
  }

  allMembers (): Member[] {
    return [...this.members.values()]
  }

  get (host: HostId): Member | undefined {
    return this.members.get(host)
  }

  /** Returns the members that accept new work, including this host unless it is leaving. */
  availableMembers (): Member[] {
    return this.allMembers().filter((member) => member.status === 'alive')
  }

  /** Returns the other members that are not known to be dead. */
  reachableMembers (): Member[] {
    return this.allMembers().filter((member) => member.host !== this.self.host && member.status !== 'dead')
  }

  /** Announces that this host is about to exit. */
  leave (now: number): void {
    this.self = { ...this.self, status: 'leaving', incarnation: this.self.incarnation + 1 }
    this.setMember(this.self, now)
  }

  /** Merges an update and returns whether it changed the table. */
  merge (update: MemberUpdate, now: number): boolean {
    if (update.host === this.self.host) return this.refute(update, now)
    const current = this.members.get(update.host)
    if (current !== undefined && !supersedes(update, current)) return false
    this.setMember(update, now)
    return true
  }

  /** Marks a member that did not answer as suspect; returns whether its status changed. */
  suspect (host: HostId, now: number): boolean {
    const current = this.members.get(host)
    if (current === undefined || current.status === 'suspect' || current.status === 'dead') return false
    this.setMember({ ...toUpdate(current), status: 'suspect' }, now)
    return true
  }

  /** Declares suspects dead whose suspicion timed out, and removes members that have been dead for long. */
  expire (now: number): Member[] {
    const newlyDead: Member[] = []
    for (const member of this.allMembers()) {
      if (member.status === 'suspect' && now - member.since >= this.settings.suspicionMs) {
        this.setMember({ ...toUpdate(member), status: 'dead' }, now)
        newlyDead.push(member)
      } else if (member.status === 'dead' && now - member.since >= this.settings.forgetMs) {
        this.members.delete(member.host)
        this.pendingTransmissions.delete(member.host)
      }
    }
    return newlyDead
  }

  /** Returns the updates to send with the next message: first those of hosts that must get no more work. Each update is sent a bounded number of times. */
  takeUpdates (): MemberUpdate[] {
    const limit = RETRANSMIT_FACTOR * Math.ceil(Math.log2(this.members.size + 1))
    const order = (host: HostId): number => this.members.get(host)?.status === 'alive' ? 1 : 0
    const leastSent = [...this.pendingTransmissions.entries()].sort((a, b) => order(a[0]) - order(b[0]) || a[1] - b[1]).slice(0, MAX_UPDATES_PER_MESSAGE)
    const updates: MemberUpdate[] = []
    for (const [host, sent] of leastSent) {
      const member = this.members.get(host)
      if (member !== undefined) updates.push(toUpdate(member))
      if (sent + 1 >= limit) this.pendingTransmissions.delete(host)
      else this.pendingTransmissions.set(host, sent + 1)
    }
    return updates
  }

  /** Returns a text that is equal for hosts with the same view. Dead members are left out, as hosts remove them at different times. */
  summary (): string {
    this.cachedSummary ??= this.allMembers().filter(({ status }) => status !== 'dead').map(({ host, status, incarnation }) => `${host} ${status} ${incarnation}`).sort().join('\n')
    return this.cachedSummary
  }

  /** Returns the complete table, for a joining host and for the periodic full exchange. */
  fullTable (): MemberUpdate[] {
    return this.allMembers().map(toUpdate)
  }

  private refute (update: MemberUpdate, now: number): boolean {
    const needsRefutation = update.status === 'suspect' || update.status === 'dead'
    if (!needsRefutation || update.incarnation < this.self.incarnation) return false
    this.self = { ...this.self, incarnation: update.incarnation + 1 }
    this.setMember(this.self, now)
    return true
  }

  private setMember (update: MemberUpdate, now: number): void {
    this.members.set(update.host, { ...update, since: now })
    this.cachedSummary = undefined
    this.pendingTransmissions.set(update.host, 0)
  }
}

function supersedes (update: MemberUpdate, current: MemberUpdate): boolean {
  if (update.incarnation !== current.incarnation) return update.incarnation > current.incarnation
  return statusRank[update.status] > statusRank[current.status]
}

function toUpdate (member: Member): MemberUpdate {
  const { since: _since, ...update } = member
  return update
}
