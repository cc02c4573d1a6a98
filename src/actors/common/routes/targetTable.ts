/**
 * The registered targets, each with the statistics that this host gathers while it uses it. A
 * target that is draining or whose entry is gone gets no new work. One that restarts under its id is a
 * new target: no statistics of its earlier incarnation apply to it.
 */

import type { Event } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import type { IncarnationOrder } from '../../../core/common/routes/incarnation.ts'
import { compareIncarnations, IncarnationTracker } from '../../../core/common/routes/incarnation.ts'
import type { LoadReport, ModelVersion, TargetDefinition } from '../../../core/common/routes/target.ts'
import type { TargetLoad } from '../../../core/common/routes/targetEstimate.ts'
import { boundedSlowdown, presentSlowdown } from '../../../core/common/routes/targetEstimate.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import type { Incarnation } from '../../../base/common/ids.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { LogDetails, Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { TargetResponseHead } from '../../../ports/common/protocols.ts'
import { TargetRegistrationLogger, summarizeTargets } from './targetRegistrationLogger.ts'

/** Weight of the newest answer in the exponential moving average, which covers about the last five answers. */
const ANSWER_TIME_SMOOTHING = 0.2
/** How long a failed target is chosen last; doubled by each consecutive failure. */
const INITIAL_SUSPECT_MS = 500
const MAX_SUSPECT_MS = 4000
/** Time after the store's return within which entries that expired during its outage are written again. */
const ENTRY_RETURN_GRACE_MS = 2300

/** Limit of targets without an entry that are remembered, as requests may still be running there. */
const MAX_FORMER_TARGETS = 1000

/** One incarnation of a target, with the statistics that this host has of it. */
export class KnownTarget implements TargetLoad {
  private readonly restarts = new Emitter<void>()
  /** Fires once, when the target has restarted: requests running at this incarnation will not be answered. */
  readonly onRestart: Event<void> = this.restarts.event
  private superseded = false
  inFlight = 0
  report: LoadReport | undefined
  sentSinceReport = 0
  answerMs: number | undefined
  private reportedAt = Number.NEGATIVE_INFINITY
  private suspectUntil = Number.NEGATIVE_INFINITY
  private failures = 0
  private hadSilentConnection = false
  /** Whether a target has answered as the one that the entry names. */
  private answered = false
  /** Whether a target that stated no incarnation had answered under this id before. */
  readonly hadAnswerWithoutIncarnation: boolean

  /** @param former the target's previous incarnation, if any */
  constructor (public definition: TargetDefinition, private readonly services: TargetTableServices, private readonly observed: ObservedServices, former?: KnownTarget) {
    this.hadAnswerWithoutIncarnation = former !== undefined && former.definition.incarnation === undefined && former.hasAnswered
  }

  get hasAnswered (): boolean {
    return this.answered
  }

  /** Records that the target answered as the one that the entry names. */
  recordAnswer (): void {
    this.answered = true
    if (this.definition.incarnation !== undefined) this.observed.withIncarnations.add(this.definition.service)
  }

  private get clock (): Clock {
    return this.services.clock
  }

  get reportsSlowdown (): boolean {
    return this.observed.withSlowdown.has(this.definition.service)
  }

  /** Whether connections to the target are kept while idle for as long as it announces. */
  get keepsIdle (): boolean {
    return this.reportsSlowdown && this.services.mechanisms?.target_subset !== false
  }

  /** The slowdown that is expected now; 1 is the usual speed. */
  get slowdown (): number {
    return presentSlowdown(this)
  }

  /** Expected time to an answer at the present speed, without requests ahead; absent before the first answer. */
  get presentAnswerMs (): number | undefined {
    return this.answerMs === undefined ? undefined : this.answerMs * this.slowdown
  }

  /** Whether a later incarnation of the target is known. */
  get isSuperseded (): boolean {
    return this.superseded
  }

  supersede (): void {
    this.superseded = true
    this.restarts.fire()
    this.restarts.dispose()
  }

  get reportAgeMs (): number {
    return this.clock.monotonic() - this.reportedAt
  }

  get suspect (): boolean {
    return this.clock.monotonic() < this.suspectUntil
  }

  /** Counts a request that is being sent. */
  recordSend (): void {
    this.inFlight++
    this.sentSinceReport++
  }

  /** Records the time to an answer. The slowdown that the answer reports is removed from it, so that a temporary slowdown is not taken for the target's pace. */
  recordAnswerTime (tookMs: number, reported?: LoadReport): void {
    this.recordAnswer()
    this.failures = 0
    this.hadSilentConnection = false
    this.suspectUntil = Number.NEGATIVE_INFINITY
    const usualMs = tookMs / (this.ignoresSlowdown ? 1 : boundedSlowdown(reported?.slowdown))
    this.answerMs = this.answerMs === undefined ? usualMs : this.answerMs + (usualMs - this.answerMs) * ANSWER_TIME_SMOOTHING
  }

  /** Records the load that the head of a response reports, if any. */
  recordHead ({ load, isLoadUnreadable }: Pick<TargetResponseHead, 'load' | 'isLoadUnreadable'>): void {
    if (load !== undefined) this.recordLoad(load)
    if (isLoadUnreadable === true) this.services.metrics?.count('targets.unreadable_loads')
  }

  recordLoad (report: LoadReport): void {
    if (report.slowdown !== undefined) this.observed.withSlowdown.add(this.definition.service)
    this.report = this.ignoresSlowdown && report.slowdown !== undefined ? { ...report, slowdown: 1 } : report
    this.reportedAt = this.clock.monotonic()
    this.sentSinceReport = 0
  }

  private get ignoresSlowdown (): boolean {
    return this.services.mechanisms?.target_slowdown === false
  }

  /** Records silence on a reused connection. The first is attributed to the connection, a second without an answer in between to the target. */
  recordSilence (): void {
    if (this.hadSilentConnection) this.recordFailure()
    this.hadSilentConnection = true
  }

  recordFailure (): void {
    this.suspectUntil = this.clock.monotonic() + Math.min(MAX_SUSPECT_MS, INITIAL_SUSPECT_MS * 2 ** this.failures)
    this.failures++
  }
}

export interface TargetTableServices {
  readonly clock: Clock
  readonly stateLog: StateLog
  readonly metrics?: Pick<Metrics, 'count'>
  /** All mechanisms are enabled if absent. */
  readonly mechanisms?: Pick<Mechanisms, 'target_slowdown' | 'target_subset'>
}

/** What the answers of targets have shown of their services; shared by all targets of a table. */
interface ObservedServices {
  /** Services of which a target has reported a slowdown. */
  readonly withSlowdown: Set<string>
  /** Services of which a target whose entry states an incarnation has answered. */
  readonly withIncarnations: Set<string>
}

/** A restarted target: the definitions of its former and its present incarnation. */
export interface RestartedTarget {
  readonly former: TargetDefinition
  readonly present: TargetDefinition
}

/** The newest record of a target's key. */
export type TargetRecord =
  | { readonly type: 'entry', readonly definition: TargetDefinition }
  | { readonly type: 'unreadable', readonly id: string }
  | { readonly type: 'gone', readonly id: string }

export class TargetTable {
  private readonly targets = new Map<string, KnownTarget>()
  /** Whether each new target is logged in a line of its own. */
  private logsEachTarget = true
  /** Targets whose entries are gone or unreadable. They may return, and a later incarnation aborts the requests running there. */
  private readonly former = new Map<string, KnownTarget>()
  /** Targets whose entries were missing after an outage of the store, with the monotonic time until which the entries may return. */
  private readonly missing = new Map<string, number>()
  private readonly incarnations = new IncarnationTracker()
  private readonly observed: ObservedServices = { withSlowdown: new Set(), withIncarnations: new Set() }
  private readonly changes = new Emitter<void>()
  readonly onChange: Event<void> = this.changes.event
  private readonly restarts = new Emitter<RestartedTarget>()
  readonly onRestart: Event<RestartedTarget> = this.restarts.event
  private readonly removals = new Emitter<KnownTarget>()
  /** Fires when a target's entry is gone or no longer defines a target. */
  readonly onGone: Event<KnownTarget> = this.removals.event

  private readonly registrationLogger: TargetRegistrationLogger

  constructor (private readonly services: TargetTableServices) {
    this.registrationLogger = new TargetRegistrationLogger(services)
  }

  get (id: string): KnownTarget | undefined {
    return this.targets.get(id)
  }

  /** Numbers of all targets and of those that failed recently. */
  get counts (): { known: number, suspect: number } {
    return { known: this.targets.size, suspect: [...this.targets.values()].filter(({ suspect }) => suspect).length }
  }

  /** Failure domains of all targets. */
  places (): Set<string> {
    return new Set([...this.targets.values()].map(({ definition }) => definition.place))
  }

  /** Targets of a service that accept new work. Unconfirmed ones are among them only if there are no others. */
  available (service: string): KnownTarget[] {
    this.dropExpiredMissing()
    const accepting = [...this.targets.values()].filter(({ definition }) => definition.service === service && !definition.draining)
    if (!this.observed.withIncarnations.has(service)) return accepting
    const confirmed = accepting.filter((target) => !this.isUnconfirmed(target))
    return confirmed.length === 0 ? accepting : confirmed
  }

  /**
   * Whether an entry likely comes from another writer: it states no incarnation, and no target has answered as the one that it
   * names, while targets of the same service that state theirs have answered. Entries alone do not decide this, as another
   * writer may leave any number of them with or without an incarnation.
   */
  isUnconfirmed ({ definition: { incarnation, service }, hasAnswered }: KnownTarget): boolean {
    return incarnation === undefined && !hasAnswered && this.observed.withIncarnations.has(service)
  }

  /** Targets of a service, including draining ones. */
  all (service: string): KnownTarget[] {
    return [...this.targets.values()].filter(({ definition }) => definition.service === service)
  }

  /** Applies an entry; the verdict tells how its incarnation relates to the target's present one. */
  set (definition: TargetDefinition): IncarnationOrder {
    if (definition.incarnation === undefined && this.isUnprovenRestart(definition.id)) this.incarnations.forget(definition.id)
    const verdict = this.incarnations.observe(definition.id, definition.incarnation)
    switch (verdict) {
      case 'newer':
      case 'same': this.register(definition); break
      case 'older': break
      case 'untold': this.drop(definition.id, 'its entry states no incarnation')
    }
    return verdict
  }

  /**
   * Applies the incarnation stated in a target's own report. A report may state a new incarnation before the entry does;
   * one that states none is attributed to the incarnation that was asked.
   */
  applyReportedIncarnation (target: KnownTarget, incarnation: Incarnation | undefined, models: readonly ModelVersion[]): IncarnationOrder {
    if (target.isSuperseded) return 'newer'
    const { definition } = target
    if (definition.incarnation === undefined || incarnation === undefined) return 'same'
    const verdict = compareIncarnations(definition.incarnation, incarnation)
    if (verdict === 'same') target.recordAnswer()
    if (verdict === 'newer' && this.targets.get(definition.id) === target) this.set({ ...definition, incarnation, models })
    else if (verdict === 'newer') this.supersedeWithoutEntry(target, incarnation)
    return verdict
  }

  /**
   * Removes a target. While entries that expired during an outage of the store may still return,
   * it is only marked as missing: a live target that is taken for gone would idle and its work would be repeated.
   */
  remove (id: string, storeRegainedAt: number): void {
    const known = this.targets.get(id)
    if (known === undefined) return
    const returnsUntil = storeRegainedAt + ENTRY_RETURN_GRACE_MS
    if (this.services.clock.monotonic() < returnsUntil && !known.definition.draining) {
      this.missing.set(id, returnsUntil)
      return
    }
    this.drop(id, 'its entry is gone')
  }

  /** Applies one record of the store; the verdict on an entry tells how its incarnation relates to the present one. */
  apply (record: TargetRecord, storeRegainedAt: number): IncarnationOrder {
    switch (record.type) {
      case 'entry': return this.set(record.definition)
      case 'gone':
        this.remove(record.id, storeRegainedAt)
        return 'same'
      case 'unreadable':
        // Another writer has overwritten the key, and the previous entry may describe a target that has left.
        this.drop(record.id, 'its entry cannot be read')
        return 'same'
    }
  }

  /** Applies a complete reading of the topic; the targets of the first one are logged in one line. */
  reload (read: () => void): void {
    const first = this.targets.size === 0
    this.logsEachTarget = !first
    read()
    this.logsEachTarget = true
    if (first && this.targets.size > 0) this.services.stateLog.changed('targets known', summarizeTargets([...this.targets.values()].map(({ definition }) => definition)))
  }

  /** Removes the targets that have no record in a complete reading. */
  removeAllBut (present: ReadonlySet<string>, storeRegainedAt: number): void {
    for (const id of [...this.targets.keys()]) if (!present.has(id)) this.remove(id, storeRegainedAt)
  }

  /** Whether only an entry shows that a target restarted, and no answer, while the target had answered without an incarnation before. */
  private isUnprovenRestart (id: string): boolean {
    const known = this.targets.get(id) ?? this.former.get(id)
    return known !== undefined && known.hadAnswerWithoutIncarnation && !known.hasAnswered
  }

  private register (definition: TargetDefinition): void {
    const { id } = definition
    const isPresent = this.targets.has(id)
    const known = this.targets.get(id) ?? this.former.get(id)
    this.missing.delete(id)
    if (isPresent && known?.definition === definition) return
    this.former.delete(id)
    if (known !== undefined && compareIncarnations(known.definition.incarnation, definition.incarnation) === 'newer') this.replaceRestarted(known, definition)
    else this.targets.set(id, this.updateOrCreate(known, definition))
    if (!isPresent && this.logsEachTarget) this.registrationLogger.log(definition)
    this.changes.fire()
  }

  /** Updates a target whose incarnation is unchanged, or creates an unknown one. */
  private updateOrCreate (known: KnownTarget | undefined, definition: TargetDefinition): KnownTarget {
    if (known === undefined) return new KnownTarget(definition, this.services, this.observed)
    if (!known.definition.draining && definition.draining) this.logChange('target drains', { target: definition.id, service: definition.service })
    const leavesAtMs = earliest(known.definition.leavesAtMs, definition.leavesAtMs)
    known.definition = leavesAtMs === definition.leavesAtMs ? definition : { ...definition, leavesAtMs }
    return known
  }

  /** Moves requests at the earlier incarnation to other targets at once; waiting for a silence timeout would cost a second or more. */
  private replaceRestarted (known: KnownTarget, definition: TargetDefinition): void {
    const former = known.definition
    this.logChange('target restarted', { target: definition.id, service: definition.service, incarnation: definition.incarnation ?? 0, former: former.incarnation ?? 0, address: definition.address, formerAddress: former.address, inFlight: known.inFlight, suspect: known.suspect })
    this.targets.set(definition.id, new KnownTarget(definition, this.services, this.observed, known))
    this.restarts.fire({ former, present: definition })
    known.supersede()
  }

  /** The later incarnation gets no work until it has an entry: without one it may be about to leave. */
  private supersedeWithoutEntry (target: KnownTarget, incarnation: Incarnation): void {
    this.incarnations.observe(target.definition.id, incarnation)
    target.supersede()
  }

  /** Logs a change of a target after its registration, which may be pending. */
  private logChange (what: 'target drains' | 'target gone' | 'target restarted', details: LogDetails & { readonly target: string }): void {
    this.registrationLogger.flush(details.target)
    this.services.stateLog.changed(what, details)
  }

  private dropExpiredMissing (): void {
    const now = this.services.clock.monotonic()
    for (const [id, until] of [...this.missing]) if (now >= until) this.drop(id, 'its entry did not return after the outage of the store')
  }

  private drop (id: string, why: string): void {
    this.missing.delete(id)
    const known = this.targets.get(id)
    if (known === undefined) return
    this.targets.delete(id)
    this.former.set(id, known)
    const [oldest] = this.former.keys()
    if (this.former.size > MAX_FORMER_TARGETS && oldest !== undefined) this.former.delete(oldest)
    this.logChange('target gone', { target: id, why })
    this.removals.fire(known)
    this.changes.fire()
  }
}

/** Returns the earlier end: a later entry may be read again long after it was written, and its remaining time then ends too late. */
function earliest (knownMs: number | undefined, newMs: number | undefined): number | undefined {
  return knownMs === undefined || newMs === undefined ? newMs : Math.min(knownMs, newMs)
}
