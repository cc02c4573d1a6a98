/**
 * Quarantines requests that were running at targets when those crashed. Without it, a request that crashes every process that runs it
 * would be resent by each host for as long as callers ask for it, and would take a whole service down repeatedly. Crashes and answers
 * are published in the steps' topic, so that every host, including one that starts later, knows what the others saw. A trial of a held
 * request is claimed in the same topic: the host that claims it first sends the request, and the others wait for the outcome.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import type { RequestFingerprint } from '../../../base/common/ids.ts'
import type { Failure } from '../../../base/common/resultCode.ts'
import { failure } from '../../../base/common/resultCode.ts'
import { targetIncarnationId } from '../../../base/common/ids.ts'
import type { HoldState } from '../../../core/common/routes/heldRequestFold.ts'
import { HeldRequestFold } from '../../../core/common/routes/heldRequestFold.ts'
import { requestClearedRecord, targetEndedRecord, trialRecord } from '../../../core/common/routes/heldRequestRecords.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { TargetDefinition } from '../../../core/common/routes/target.ts'
import { tombstone } from '../../../core/common/keyedRecords.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { Fingerprints, RequestContent } from '../../../ports/common/fingerprints.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import { keyNonce } from '../store/groupAppender.ts'
import type { StepTopic } from '../store/stepTopic.ts'
import type { TargetCrash, TargetCrashDetector } from './targetCrashDetector.ts'
import type { TargetTable } from './targetTable.ts'

/** Permission to send a held request to one target. */
export interface Trial {
  /** Returns the unused permission, as the request was not run to completion. */
  withdraw (): void
}

export type Admission =
  | { readonly type: 'open' }
  | { readonly type: 'trial', readonly trial: Trial }
  /** The request must not be sent now, but may be after `retryAfterMs`. */
  | { readonly type: 'held', readonly retryAfterMs: number }

export interface RequestQuarantineServices {
  readonly ends: Pick<TargetCrashDetector, 'onCrash'>
  readonly targets: Pick<TargetTable, 'available'>
  readonly topic: Pick<StepTopic, 'share' | 'catchUp'>
  readonly appender: Pick<GroupAppender, 'append'>
  readonly fingerprints: Fingerprints
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
  readonly stateLog: StateLog
  readonly mechanisms: Pick<Mechanisms, 'held_requests'>
}

/** Share of its remaining time that a request spends waiting for another request's trial of the same content; the rest is reserved for its own run. */
const TRIAL_WAIT_SHARE = 0.25
/** Retention period of a mark: longer than an outage that is being repaired, and shorter than the day within which a service may be fixed to handle the request. */
const MARK_RETENTION_MS = 900_000
/** How long appending a crash or an answer is retried while the store is unavailable. */
const APPEND_TIMEOUT_MS = 60_000
/** Limit for claiming a trial; it is short because a caller is waiting. */
const CLAIM_TIMEOUT_MS = 400
/** Retry hint where no trial is possible now; crashed targets take seconds to return. */
const RETRY_AFTER_MS = 1000
/** Number of live targets that a service needs for a trial; with fewer, the trial could crash its last one. */
const MIN_LIVE_TARGETS_FOR_TRIAL = 2

/** The failure returned to the caller of a request that is held back and was sent to no target. */
export function requestHeldFailure (retryAfterMs: number): Failure {
  return failure('requestHeld', 'targets crashed while they ran this request, so it is held back', { retryAfterMs })
}

export class RequestQuarantine implements Disposable {
  private readonly fold = new HeldRequestFold()
  /** Crashes whose records the topic has not confirmed; a reload of the topic may not contain them yet. */
  private readonly unconfirmedCrashes = new Set<TargetCrash>()
  private readonly changes = new Emitter<void>()
  private readonly subscription: Disposable

  constructor (private readonly services: RequestQuarantineServices) {
    this.subscription = services.ends.onCrash((end) => { this.publishCrash(end) })
    services.topic.share({ reset: (entries) => { this.reset(entries) }, apply: (entries) => { this.apply(entries) } })
  }

  /** Numbers of held requests and of watched ones. */
  get counts (): { held: number, watched: number } {
    return this.fold.counts
  }

  standing (content: RequestContent): HoldState {
    if (this.fold.isEmpty || !this.services.mechanisms.held_requests) return { type: 'free' }
    return this.fold.holdState(this.fingerprintOf(content), this.services.clock.monotonic())
  }

  /**
   * Decides whether a request may be sent, and claims a trial if it is held. Waits for a trial in progress elsewhere for at most
   * `TRIAL_WAIT_SHARE` of the remaining time of the request.
   */
  async admit (content: RequestContent, route: Route, remainingMs: number): Promise<Admission> {
    const until = this.services.clock.monotonic() + remainingMs * TRIAL_WAIT_SHARE
    for (;;) {
      const status = this.standing(content)
      if (status.type !== 'held') return { type: 'open' }
      if (status.trialUnderWay) {
        if (!await this.waitForChange(until)) return { type: 'held', retryAfterMs: RETRY_AFTER_MS }
        continue
      }
      if (status.nextTrialInMs > 0) return { type: 'held', retryAfterMs: status.nextTrialInMs }
      if (!this.canAffordTrial(route)) return { type: 'held', retryAfterMs: RETRY_AFTER_MS }
      const claimed = await this.claimTrial(this.fingerprintOf(content), status.trials + 1)
      if (claimed === 'store unavailable') return { type: 'held', retryAfterMs: RETRY_AFTER_MS }
      if (claimed !== 'lost') return { type: 'trial', trial: claimed }
    }
  }

  /** Clears the marks of a request that a target answered successfully, which shows that the request does not crash targets. */
  answered (content: RequestContent): void {
    const status = this.standing(content)
    if (status.type === 'free') return
    const fingerprint = this.fingerprintOf(content)
    this.services.stateLog.decided('request cleared', { fingerprint, ends: status.ends, was: status.type })
    this.fold.recordAnswer(fingerprint)
    this.changes.fire()
    this.appendRecord('cleared', (nonce) => [requestClearedRecord(fingerprint, nonce)])
  }

  /** Whether no host has seen this incarnation of the target crash. The entry of a crashed target remains for seconds. */
  isPresumedLive ({ id, incarnation }: TargetDefinition): boolean {
    return !this.fold.hasEnded(targetIncarnationId(id, incarnation))
  }

  /** Keys of records that are past the retention period. */
  expiredKeys (): string[] {
    return this.fold.keysOlderThan(MARK_RETENTION_MS, this.services.clock.monotonic())
  }

  dispose (): void {
    this.subscription.dispose()
    this.changes.dispose()
  }

  fingerprintOf (content: RequestContent): RequestFingerprint {
    return this.services.fingerprints.of(content)
  }

  private publishCrash (crash: TargetCrash): void {
    if (!this.services.mechanisms.held_requests) return
    const { instance: crashedInstance, under } = crash
    this.unconfirmedCrashes.add(crash)
    this.fold.recordEnd(crashedInstance, under)
    const now = this.services.clock.monotonic()
    for (const fingerprint of under) {
      const status = this.fold.holdState(fingerprint, now)
      if (status.type === 'held') this.services.stateLog.decided('request held back', { fingerprint, target: crashedInstance, ends: status.ends, trials: status.trials, failed: true })
    }
    this.changes.fire()
    this.appendRecord('ended', (nonce) => [targetEndedRecord(crashedInstance, under, nonce)], () => { this.unconfirmedCrashes.delete(crash) })
  }

  private appendRecord (kind: string, make: Parameters<GroupAppender['append']>[0], done: () => void = () => undefined): void {
    this.services.appender.append(make, APPEND_TIMEOUT_MS).then((written) => {
      done()
      if (!written.ok) this.services.stateLog.alarm('ends of targets not told', { kind, error: written.message })
    }).catch((error: unknown) => { this.services.stateLog.alarm('ends of targets not told', { kind, error: String(error) }) })
  }

  private reset (entries: readonly KeyedEntry[]): void {
    this.fold.reset(entries, this.services.clock.monotonic())
    for (const { instance: crashedInstance, under } of this.unconfirmedCrashes) this.fold.recordEnd(crashedInstance, under)
    this.changes.fire()
  }

  private apply (entries: readonly KeyedEntry[]): void {
    const now = this.services.clock.monotonic()
    let hasChanged = false
    // Most records of the topic belong to steps and change nothing here.
    for (const entry of entries) hasChanged = this.fold.apply(entry, now) || hasChanged
    if (hasChanged) this.changes.fire()
  }

  /** A trial may crash its target, so the service must have another live one, or have only a single target in total. */
  private canAffordTrial ({ destinations }: Route): boolean {
    const targets = destinations.flatMap(({ service }) => this.services.targets.available(service))
    const live = targets.filter(({ definition }) => this.isPresumedLive(definition))
    return live.length >= MIN_LIVE_TARGETS_FOR_TRIAL || (live.length === 1 && targets.length === 1)
  }

  /** Claims a trial; the first claim with its number in the topic wins. */
  private async claimTrial (fingerprint: RequestFingerprint, number: number): Promise<Trial | 'lost' | 'store unavailable'> {
    const { appender, chance, topic, stateLog, metrics } = this.services
    const record = trialRecord(fingerprint, number, keyNonce(chance))
    const withdraw = (): void => { this.appendRecord('withdrawn', () => [tombstone(record.key)]) }
    const written = await appender.append(() => [record], CLAIM_TIMEOUT_MS)
    if (!written.ok || !await topic.catchUp()) {
      // An unconfirmed claim may still be in the topic, where it would count as a trial.
      withdraw()
      return 'store unavailable'
    }
    if (!this.fold.isTrialGranted(fingerprint, record.key)) {
      withdraw()
      return 'lost'
    }
    metrics.count('held.trials')
    stateLog.decided('trial of a held request', { fingerprint, number })
    return { withdraw }
  }

  /** Waits for a change of crashes, answers or trials; false once the time is over. */
  private async waitForChange (until: number): Promise<boolean> {
    const remainingMs = until - this.services.clock.monotonic()
    if (remainingMs <= 0) return false
    return await new Promise((resolve) => {
      const done = (changed: boolean): void => {
        timer.dispose()
        subscription.dispose()
        resolve(changed)
      }
      const timer = this.services.clock.after(remainingMs, () => { done(false) })
      const subscription = this.changes.event(() => { done(true) })
    })
  }
}
