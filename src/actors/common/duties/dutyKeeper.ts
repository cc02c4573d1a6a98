/**
 * Holds a duty that one host at a time may have, by records in the steps' topic: a claim makes a
 * holder, renewals show that it lives, a release ends its term. The order of the topic decides who
 * holds it; a holder's own clock decides whether it may still act alone.
 *
 * What goes wrong without the waiting: a holder that was frozen or cut off gives an order after
 * another host has taken over, and a target follows both. So a holder acts alone only within a lease
 * counted from the moment at which it sent its newest renewal that it has read back, on two clocks (one
 * of them stands still while the machine is suspended); and a new holder of another machine rests
 * until the lease of the former has surely ended and its last order has been carried out.
 */

import type { Event, Disposable } from '../../../base/common/lifecycle.ts'
import { DisposableStore, Emitter } from '../../../base/common/lifecycle.ts'
import type { HostRanking } from '../../../core/common/duties/dutyOrder.ts'
import { claimDelayMs, isCandidate, machineOf } from '../../../core/common/duties/dutyOrder.ts'
import type { FoldedDuty } from '../../../core/common/steps/stepFold.ts'
import { tombstone } from '../../../core/common/keyedRecords.ts'
import { claimRecord, releaseRecord, renewalRecord } from '../../../core/common/steps/stepRecords.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import { pause } from '../../../ports/common/clock.ts'
import type { KeyedLog } from '../../../ports/common/keyedLog.ts'
import type { StateLog } from '../../../ports/common/observation.ts'

/** What a keeper reads of the steps' topic. */
export interface DutySource {
  duty (name: string): FoldedDuty | undefined
  outdatedClaims (name: string): string[]
  readonly onDuty: Event<FoldedDuty>
  /** Reads to the end; false if that failed. */
  catchUp (): Promise<boolean>
  readonly isLost: boolean
  readonly regainedAt: number
  readonly loaded: boolean
}

export interface DutyServices {
  readonly source: DutySource
  readonly log: KeyedLog
  readonly clock: Clock
  readonly chance: Chance
  readonly stateLog: StateLog
  /** Has a host asked whether it lives. */
  readonly doubt: (holder: string) => void
  /** Whether a host is known not to answer, or to have started anew. */
  readonly isLost: (holder: string) => boolean
  /** What this host is among those that may have the duty, as of now. */
  readonly standing: () => HostRanking
}

export interface DutySettings {
  readonly duty: string
  /** Machine of this host; a restart on it needs no rest. */
  readonly machine: string
  /** Name of this life of the host. */
  readonly holder: string
  readonly renewMs: number
  readonly leaseMs: number
  /** How long a new holder waits after the former one's lease has ended before it acts alone. */
  readonly restMs: number
  /** Silence of the holder after which it is asked whether it lives. */
  readonly doubtMs: number
}

/** Time between two looks, in milliseconds: a fraction of a renewal. */
const LOOK_MS = 125
/** Times of renewals that may still be read back. */
const KEPT_RENEWALS = 64

export class DutyKeeper implements Disposable {
  private readonly disposables = new DisposableStore()
  private readonly changes = new Emitter<void>()
  private readonly claims = new Emitter<void>()
  readonly onChange = this.changes.event
  /** Fires when this host asks for the duty, so that it can read what it will need meanwhile. */
  readonly onClaim = this.claims.event
  private readonly sentAt = new Map<number, { readonly monotonic: number, readonly wall: number }>()
  private validUntil = { monotonic: Number.NEGATIVE_INFINITY, wall: Number.NEGATIVE_INFINITY }
  private restUntil = Number.NEGATIVE_INFINITY
  private signAt = Number.NEGATIVE_INFINITY
  /** When this host had first read the topic: what it has not heard of the duty before then, nobody has told it. */
  private loadedAt = Number.NEGATIVE_INFINITY
  private renewals = 0
  private renewedAt = Number.NEGATIVE_INFINITY
  private claiming = false
  private stopping = false
  private held = false
  private seenHolder = ''
  private renewing = false
  private draw: number

  constructor (private readonly services: DutyServices, private readonly settings: DutySettings) {
    this.draw = services.chance.next()
    this.disposables.add(services.source.onDuty((duty) => { this.read(duty) }))
    this.disposables.add(services.clock.every(LOOK_MS, () => { this.look() }))
    this.disposables.add(this.changes)
    this.disposables.add(this.claims)
  }

  /** Whether this host has the duty as far as it has read. */
  get holds (): boolean {
    const duty = this.services.source.duty(this.settings.duty)
    return duty !== undefined && duty.holder === this.settings.holder && !duty.released
  }

  /** Whether no other host can have the duty now, so that what must not be done by two may be done. */
  get alone (): boolean {
    const { clock } = this.services
    const now = clock.monotonic()
    return this.holds && now >= this.restUntil && now < this.validUntil.monotonic && clock.wall() < this.validUntil.wall
  }

  get term (): number {
    return this.services.source.duty(this.settings.duty)?.term ?? 0
  }

  /** Gives the duty up; another host claims it at once. */
  async release (): Promise<void> {
    this.stopping = true
    if (!this.holds) return
    const { duty, holder } = this.settings
    await this.services.log.append([releaseRecord({ duty, holder, term: this.term })])
    this.services.stateLog.changed('duty released', { duty, term: this.term })
  }

  dispose (): void {
    this.disposables.dispose()
  }

  /** After a restart of all hosts the machine that held the duty takes it up at once: no other can have acted since. */
  private waitAfter (former: FoldedDuty | undefined): number {
    return former !== undefined && machineOf(former.holder) === this.settings.machine ? 0 : claimDelayMs(this.services.standing(), this.draw)
  }

  private read (duty: FoldedDuty): void {
    const { clock, stateLog } = this.services
    const now = clock.monotonic()
    if (duty.duty !== this.settings.duty) return
    this.signAt = now
    if (duty.holder === this.settings.holder) this.confirm(duty)
    if (duty.holder !== this.seenHolder) this.draw = this.services.chance.next()
    this.seenHolder = duty.holder
    if (this.holds === this.held) return
    this.held = this.holds
    stateLog.changed(this.held ? 'duty held' : 'duty lost', { duty: duty.duty, term: duty.term, holder: duty.holder })
    if (this.held) this.dropOutdated()
    this.changes.fire()
  }

  /** An own claim or renewal was read back: the lease runs from when it was sent. */
  private confirm ({ newestRenewalCount: renewed }: FoldedDuty): void {
    const sent = this.sentAt.get(renewed)
    if (sent === undefined) return
    const { leaseMs } = this.settings
    this.validUntil = { monotonic: Math.max(this.validUntil.monotonic, sent.monotonic + leaseMs), wall: sent.wall + leaseMs }
    for (const count of [...this.sentAt.keys()].slice(0, -KEPT_RENEWALS)) this.sentAt.delete(count)
  }

  private look (): void {
    const { source, clock } = this.services
    if (!source.loaded || this.stopping) return
    const now = clock.monotonic()
    if (this.loadedAt === Number.NEGATIVE_INFINITY) this.loadedAt = now
    if (this.holds) {
      if (!this.renewing && now - this.renewedAt >= this.settings.renewMs) this.renew(now)
      return
    }
    if (this.claiming || source.isLost) return
    const duty = source.duty(this.settings.duty)
    const quietMs = now - Math.max(this.signAt, source.regainedAt, this.loadedAt)
    const dueInMs = this.patienceFor(duty, quietMs) + this.waitAfter(duty) - quietMs
    // Looks of hosts that started together come together: claims that waited for the next look would too.
    if (dueInMs < LOOK_MS) this.claim(dueInMs).catch((error: unknown) => { this.services.stateLog.alarm('claim failed', { error: String(error) }) })
  }

  /** How long a holder may be silent before its duty is claimed: until its lease has ended, or a part of it if other hosts know that it is gone. */
  private patienceFor (duty: FoldedDuty | undefined, quietMs: number): number {
    if (duty === undefined || duty.released || machineOf(duty.holder) === this.settings.machine) return 0
    if (quietMs < this.settings.doubtMs || !isCandidate(this.services.standing())) return this.settings.leaseMs
    this.services.doubt(duty.holder)
    return this.services.isLost(duty.holder) ? this.settings.doubtMs : this.settings.leaseMs
  }

  private renew (now: number): void {
    const { duty, holder } = this.settings
    this.renewedAt = now
    this.renewals++
    this.sentAt.set(this.renewals, { monotonic: now, wall: this.services.clock.wall() })
    // One at a time: a slow store would be busy with renewals alone. An unanswered one needs no care, only one that is read back counts.
    this.renewing = true
    this.services.log.append([renewalRecord({ duty, holder, term: this.term }, this.renewals)]).finally(() => { this.renewing = false }).catch(() => undefined)
  }

  private async claim (inMs: number): Promise<void> {
    const { source, log, clock, chance, stateLog } = this.services
    const { duty, holder, machine, restMs, leaseMs } = this.settings
    this.claiming = true
    try {
      const signs = source.duty(duty)?.heartbeats
      if (inMs > 0) await pause(clock, inMs)
      if (this.stopping || source.isLost || source.duty(duty)?.heartbeats !== signs) return
      // A host that woke or fell behind would claim though the holder lives: it reads to the end first.
      if (!await source.catchUp() || source.duty(duty)?.heartbeats !== signs) return
      const former = source.duty(duty)
      const claim = { duty, holder, term: (former?.term ?? 0) + 1 }
      const mayBeActive = former !== undefined && machineOf(former.holder) !== machine
      this.restUntil = mayBeActive ? Math.max(this.signAt, clock.monotonic() - leaseMs) + leaseMs + restMs : clock.monotonic()
      stateLog.decided('duty claimed', { duty, term: claim.term, former: former?.holder ?? '', quietMs: Math.round(clock.monotonic() - this.signAt) })
      this.claims.fire()
      await log.append([claimRecord(claim, chance.id().slice(0, 8))])
      // The usual reading pauses between two looks; the steps would stand still for as long.
      await source.catchUp()
    } finally {
      this.claiming = false
      this.signAt = clock.monotonic()
    }
  }

  /** Claims of former terms would otherwise be kept for ever. */
  private dropOutdated (): void {
    const keys = this.services.source.outdatedClaims(this.settings.duty)
    if (keys.length > 0) this.services.log.append(keys.map(tombstone)).catch(() => undefined)
  }
}
