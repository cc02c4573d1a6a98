/**
 * Elects and tracks the holder of a duty, a role that one host at a time may have, by records in the steps' topic: a claim
 * starts a term, renewals show that the holder is alive, and a release ends the term. The order of the records in the topic
 * decides who the holder is. The holder's own clocks decide whether it may still act exclusively.
 *
 * Without the lease and the takeover delay, a holder that was frozen or partitioned could send an order after another host has
 * taken over, and a target would follow both. A holder therefore acts exclusively only within a lease that runs from the time
 * at which it sent its newest renewal that it has read back. The lease is measured on two clocks, one of which stops while the
 * machine is suspended. A new holder on another machine waits until the lease of the former holder has certainly expired and
 * its last order has been executed.
 */

import type { Event, Disposable } from '../../../base/common/lifecycle.ts'
import { DisposableStore, Emitter } from '../../../base/common/lifecycle.ts'
import type { HostRanking } from '../../../core/common/duties/dutyOrder.ts'
import { claimDelayMs, isCandidate, machineOf } from '../../../core/common/duties/dutyOrder.ts'
import type { FoldedDuty } from '../../../core/common/steps/stepFold.ts'
import { tombstone } from '../../../core/common/keyedRecords.ts'
import { claimRecord, releaseRecord, renewalRecord } from '../../../core/common/steps/stepRecords.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import { pause } from '../../../ports/common/clock.ts'
import type { KeyedLog } from '../../../ports/common/keyedLog.ts'
import type { StateLog } from '../../../ports/common/observation.ts'

/** The part of the steps' topic that contains the records of duties. */
export interface DutyTopic {
  duty (name: string): FoldedDuty | undefined
  outdatedClaims (name: string): string[]
  readonly onDuty: Event<FoldedDuty>
  /** Reads the topic to its end; returns false if that failed. */
  catchUp (): Promise<boolean>
  readonly isLost: boolean
  readonly regainedAt: number
  readonly loaded: boolean
}

export interface DutyLeaseServices {
  readonly source: DutyTopic
  readonly log: KeyedLog
  readonly clock: Clock
  readonly chance: RandomSource
  readonly stateLog: StateLog
  /** Requests a liveness probe of a host. */
  readonly doubt: (holder: string) => void
  /** Returns whether a host is known not to respond or to have restarted. */
  readonly isLost: (holder: string) => boolean
  /** Returns the current rank of this host among the hosts that may have the duty. */
  readonly candidacy: () => HostRanking
}

export interface DutyLeaseSettings {
  readonly duty: string
  /** Machine of this host. A restart on the same machine needs no takeover delay. */
  readonly machine: string
  /** Id of this incarnation of the host. */
  readonly holder: string
  readonly renewIntervalMs: number
  readonly leaseDurationMs: number
  /** Time that a new holder waits after the end of the former holder's lease before it acts exclusively. */
  readonly takeoverDelayMs: number
  /** Time without a record of the holder after which it is probed. */
  readonly probeAfterMs: number
}

/** A fraction of the renewal interval. */
const CHECK_INTERVAL_MS = 125
/** Number of recent renewals that may still be read back and whose send times are therefore kept. */
const MAX_TRACKED_RENEWALS = 64

export class DutyLeaseManager implements Disposable {
  private readonly disposables = new DisposableStore()
  private readonly changes = new Emitter<void>()
  private readonly claims = new Emitter<void>()
  readonly onChange = this.changes.event
  /** Fires when this host claims the duty, so that data needed by the holder can be read in the meantime. */
  readonly onClaim = this.claims.event
  private readonly renewalSentAt = new Map<number, { readonly monotonic: number, readonly wall: number }>()
  private leaseValidUntil = { monotonic: Number.NEGATIVE_INFINITY, wall: Number.NEGATIVE_INFINITY }
  private takeoverDelayUntil = Number.NEGATIVE_INFINITY
  private lastActivityAt = Number.NEGATIVE_INFINITY
  /** Time at which this host had first loaded the topic. Missing records before that time say nothing about the holder. */
  private loadedAt = Number.NEGATIVE_INFINITY
  private renewalCount = 0
  private lastRenewalAt = Number.NEGATIVE_INFINITY
  private isClaiming = false
  private isStopping = false
  private held = false
  private lastSeenHolder = ''
  private isRenewing = false
  private claimJitter: number

  constructor (private readonly services: DutyLeaseServices, private readonly settings: DutyLeaseSettings) {
    this.claimJitter = services.chance.next()
    this.disposables.add(services.source.onDuty((duty) => { this.handleRecord(duty) }))
    this.disposables.add(services.clock.every(CHECK_INTERVAL_MS, () => { this.check() }))
    this.disposables.add(this.changes)
    this.disposables.add(this.claims)
  }

  /** Whether this host holds the duty according to the records read so far. */
  get holds (): boolean {
    const duty = this.services.source.duty(this.settings.duty)
    return duty !== undefined && duty.holder === this.settings.holder && !duty.released
  }

  /** Whether no other host can act as holder now, so that actions are safe that only one host may perform. */
  get alone (): boolean {
    const { clock } = this.services
    const now = clock.monotonic()
    return this.holds && now >= this.takeoverDelayUntil && now < this.leaseValidUntil.monotonic && clock.wall() < this.leaseValidUntil.wall
  }

  get term (): number {
    return this.services.source.duty(this.settings.duty)?.term ?? 0
  }

  /** Releases the duty, which another host then claims immediately. */
  async release (): Promise<void> {
    this.isStopping = true
    if (!this.holds) return
    const { duty, holder } = this.settings
    await this.services.log.append([releaseRecord({ duty, holder, term: this.term })])
    this.services.stateLog.changed('duty released', { duty, term: this.term })
  }

  dispose (): void {
    this.disposables.dispose()
  }

  /** After a restart of all hosts, the machine that held the duty claims it without delay, as no other can have acted since. */
  private claimDelayMs (former: FoldedDuty | undefined): number {
    return former !== undefined && machineOf(former.holder) === this.settings.machine ? 0 : claimDelayMs(this.services.candidacy(), this.claimJitter)
  }

  private handleRecord (duty: FoldedDuty): void {
    const { clock, stateLog } = this.services
    const now = clock.monotonic()
    if (duty.duty !== this.settings.duty) return
    this.lastActivityAt = now
    if (duty.holder === this.settings.holder) this.extendLease(duty)
    if (duty.holder !== this.lastSeenHolder) this.claimJitter = this.services.chance.next()
    this.lastSeenHolder = duty.holder
    if (this.holds === this.held) return
    this.held = this.holds
    stateLog.changed(this.held ? 'duty held' : 'duty lost', { duty: duty.duty, term: duty.term, holder: duty.holder })
    if (this.held) this.deleteOutdatedClaims()
    this.changes.fire()
  }

  /** Extends the lease after a claim or renewal of this host was read back. The lease runs from the time at which the record was sent. */
  private extendLease ({ newestRenewalCount: renewed }: FoldedDuty): void {
    const sentAt = this.renewalSentAt.get(renewed)
    if (sentAt === undefined) return
    const { leaseDurationMs } = this.settings
    this.leaseValidUntil = { monotonic: Math.max(this.leaseValidUntil.monotonic, sentAt.monotonic + leaseDurationMs), wall: sentAt.wall + leaseDurationMs }
    for (const count of [...this.renewalSentAt.keys()].slice(0, -MAX_TRACKED_RENEWALS)) this.renewalSentAt.delete(count)
  }

  private check (): void {
    const { source, clock } = this.services
    if (!source.loaded || this.isStopping) return
    const now = clock.monotonic()
    if (this.loadedAt === Number.NEGATIVE_INFINITY) this.loadedAt = now
    if (this.holds) {
      if (!this.isRenewing && now - this.lastRenewalAt >= this.settings.renewIntervalMs) this.renew(now)
      return
    }
    if (this.isClaiming || source.isLost) return
    const duty = source.duty(this.settings.duty)
    const quietMs = now - Math.max(this.lastActivityAt, source.regainedAt, this.loadedAt)
    const dueInMs = this.silenceLimitMs(duty, quietMs) + this.claimDelayMs(duty) - quietMs
    // Hosts that started together check at the same times, so claims are scheduled between checks to avoid simultaneous claims.
    if (dueInMs < CHECK_INTERVAL_MS) this.claim(dueInMs).catch((error: unknown) => { this.services.stateLog.alarm('claim failed', { error: String(error) }) })
  }

  /** Returns how long the holder may be silent before the duty is claimed: the full lease, or a part of it if other hosts know that the holder is gone. */
  private silenceLimitMs (duty: FoldedDuty | undefined, quietMs: number): number {
    if (duty === undefined || duty.released || machineOf(duty.holder) === this.settings.machine) return 0
    if (quietMs < this.settings.probeAfterMs || !isCandidate(this.services.candidacy())) return this.settings.leaseDurationMs
    this.services.doubt(duty.holder)
    return this.services.isLost(duty.holder) ? this.settings.probeAfterMs : this.settings.leaseDurationMs
  }

  private renew (now: number): void {
    const { duty, holder } = this.settings
    this.lastRenewalAt = now
    this.renewalCount++
    this.renewalSentAt.set(this.renewalCount, { monotonic: now, wall: this.services.clock.wall() })
    // One renewal at a time, as a slow store would otherwise be busy with renewals alone. Failures are ignored because only renewals that are read back count.
    this.isRenewing = true
    this.services.log.append([renewalRecord({ duty, holder, term: this.term }, this.renewalCount)]).finally(() => { this.isRenewing = false }).catch(() => undefined)
  }

  private async claim (delayMs: number): Promise<void> {
    const { source, log, clock, chance, stateLog } = this.services
    const { duty, holder, machine, takeoverDelayMs, leaseDurationMs } = this.settings
    this.isClaiming = true
    try {
      const signs = source.duty(duty)?.heartbeats
      if (delayMs > 0) await pause(clock, delayMs)
      if (this.isStopping || source.isLost || source.duty(duty)?.heartbeats !== signs) return
      // A host that was suspended or fell behind would claim although the holder is alive, so it reads the topic to its end first.
      if (!await source.catchUp() || source.duty(duty)?.heartbeats !== signs) return
      const former = source.duty(duty)
      const claim = { duty, holder, term: (former?.term ?? 0) + 1 }
      const mayBeActive = former !== undefined && machineOf(former.holder) !== machine
      this.takeoverDelayUntil = mayBeActive ? Math.max(this.lastActivityAt, clock.monotonic() - leaseDurationMs) + leaseDurationMs + takeoverDelayMs : clock.monotonic()
      stateLog.decided('duty claimed', { duty, term: claim.term, former: former?.holder ?? '', quietMs: Math.round(clock.monotonic() - this.lastActivityAt) })
      this.claims.fire()
      await log.append([claimRecord(claim, chance.id().slice(0, 8))])
      // Regular reads are made at intervals. Without this read, the steps would stand still for one interval.
      await source.catchUp()
    } finally {
      this.isClaiming = false
      this.lastActivityAt = clock.monotonic()
    }
  }

  /** Claims of former terms would otherwise be retained forever. */
  private deleteOutdatedClaims (): void {
    const keys = this.services.source.outdatedClaims(this.settings.duty)
    if (keys.length > 0) this.services.log.append(keys.map(tombstone)).catch(() => undefined)
  }
}
