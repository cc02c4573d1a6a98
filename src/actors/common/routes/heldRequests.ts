/**
 * Holds back requests under which targets end. A query that crashes whatever runs it is else sent on for as long as it is asked,
 * by each host anew, and takes a whole service down again and again. Ends and answers are told to all hosts in the steps'
 * topic, so that each of them, also one that starts later, knows what the others saw. A trial of a held request is claimed there
 * as well: of two hosts one goes first, and the other waits for what comes of it.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import type { RequestFingerprint } from '../../../base/common/ids.ts'
import type { Failure } from '../../../base/common/resultCode.ts'
import { failure } from '../../../base/common/resultCode.ts'
import { targetLife } from '../../../base/common/ids.ts'
import type { HoldState } from '../../../core/common/routes/heldRequestFold.ts'
import { HeldRequestFold } from '../../../core/common/routes/heldRequestFold.ts'
import { requestClearedRecord, targetEndedRecord, trialRecord } from '../../../core/common/routes/heldRequestRecords.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { TargetDefinition } from '../../../core/common/routes/target.ts'
import { tombstone } from '../../../core/common/keyedRecords.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { Fingerprints, RequestContent } from '../../../ports/common/fingerprints.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import { keyNonce } from '../store/groupAppender.ts'
import type { StepTopic } from '../store/stepTopic.ts'
import type { TargetEnd, TargetEnds } from './targetEnds.ts'
import type { TargetTable } from './targetTable.ts'

/** Leave to send a held request to one target. */
export interface Trial {
  /** Gives it back: the request was not run to an end. */
  withdraw (): void
}

export type Admission =
  | { readonly type: 'open' }
  | { readonly type: 'trial', readonly trial: Trial }
  /** Not to be sent now; the time after which it may be, in milliseconds. */
  | { readonly type: 'held', readonly retryAfterMs: number }

export interface HeldRequestsServices {
  readonly ends: Pick<TargetEnds, 'onEnd'>
  readonly targets: Pick<TargetTable, 'available'>
  readonly topic: Pick<StepTopic, 'share' | 'catchUp'>
  readonly appender: Pick<GroupAppender, 'append'>
  readonly fingerprints: Fingerprints
  readonly clock: Clock
  readonly chance: Chance
  readonly metrics: Metrics
  readonly stateLog: StateLog
  readonly mechanisms: Pick<Mechanisms, 'held_requests'>
}

/** Share of its waiting time for which a request waits for what comes of another's trial of the same content: the rest is left for its own run. */
const TRIAL_SHARE = 0.25
/** How long a mark is kept, in milliseconds: longer than an outage that somebody mends, shorter than a day on which a service learns to bear the request. */
const KEPT_MS = 900_000
/** How long an end or an answer is offered to a store that is away, in milliseconds. */
const TELL_MS = 60_000
/** Longest wait for the claim of a trial, in milliseconds: a caller waits for it. */
const CLAIM_MS = 400
/** When to come back where no trial can be made now, in milliseconds: targets that ended are back after seconds. */
const LATER_MS = 1000
/** Sound targets that a service needs for a trial: with fewer the trial could take its last one. */
const SOUND_FOR_TRIAL = 2

/** What a caller hears of a request that is held back and was sent nowhere. */
export function heldBack (retryAfterMs: number): Failure {
  return failure('requestHeld', 'targets ended while they ran this request', { retryAfterMs })
}

export class HeldRequests implements Disposable {
  private readonly fold = new HeldRequestFold()
  /** Ends that the topic has not confirmed: a topic that is read anew does not hold them yet. */
  private readonly untold = new Set<TargetEnd>()
  private readonly changes = new Emitter<void>()
  private readonly subscription: Disposable

  constructor (private readonly services: HeldRequestsServices) {
    this.subscription = services.ends.onEnd((end) => { this.tellEnd(end) })
    services.topic.share({ reset: (entries) => { this.reset(entries) }, apply: (entries) => { this.apply(entries) } })
  }

  /** Numbers of requests that are held and of those that are watched. */
  get counts (): { held: number, watched: number } {
    return this.fold.counts
  }

  standing (content: RequestContent): HoldState {
    if (this.fold.isEmpty || !this.services.mechanisms.held_requests) return { type: 'free' }
    return this.fold.holdState(this.fingerprintOf(content), this.services.clock.monotonic())
  }

  /**
   * Whether a request may be sent, and claims a trial for it where it is held. Waits for another's trial that is under way, for a part of
   * the time that the request has.
   */
  async admit (content: RequestContent, route: Route, remainingMs: number): Promise<Admission> {
    const until = this.services.clock.monotonic() + remainingMs * TRIAL_SHARE
    for (;;) {
      const standing = this.standing(content)
      if (standing.type !== 'held') return { type: 'open' }
      if (standing.trialUnderWay) {
        if (!await this.changed(until)) return { type: 'held', retryAfterMs: LATER_MS }
        continue
      }
      if (standing.nextTrialInMs > 0) return { type: 'held', retryAfterMs: standing.nextTrialInMs }
      if (!this.mayLoseOne(route)) return { type: 'held', retryAfterMs: LATER_MS }
      const claimed = await this.claim(this.fingerprintOf(content), standing.trials + 1)
      if (claimed === 'store away') return { type: 'held', retryAfterMs: LATER_MS }
      if (claimed !== 'not first') return { type: 'trial', trial: claimed }
    }
  }

  /** A target answered the request, and not with a failure: it does not end those that run it. */
  answered (content: RequestContent): void {
    const standing = this.standing(content)
    if (standing.type === 'free') return
    const fingerprint = this.fingerprintOf(content)
    this.services.stateLog.decided('request cleared', { fingerprint, ends: standing.ends, was: standing.type })
    this.fold.recordAnswer(fingerprint)
    this.changes.fire()
    this.tell('cleared', (nonce) => [requestClearedRecord(fingerprint, nonce)])
  }

  /** Whether no host has seen the end of a target: its entry stays for seconds after. */
  isSound ({ id, incarnation }: TargetDefinition): boolean {
    return !this.fold.hasEnded(targetLife(id, incarnation))
  }

  /** Keys of records whose time is over. */
  outdatedKeys (): string[] {
    return this.fold.keysOlderThan(KEPT_MS, this.services.clock.monotonic())
  }

  dispose (): void {
    this.subscription.dispose()
    this.changes.dispose()
  }

  fingerprintOf (content: RequestContent): RequestFingerprint {
    return this.services.fingerprints.of(content)
  }

  private tellEnd (end: TargetEnd): void {
    if (!this.services.mechanisms.held_requests) return
    const { life, under } = end
    this.untold.add(end)
    this.fold.recordEnd(life, under)
    const now = this.services.clock.monotonic()
    for (const fingerprint of under) {
      const standing = this.fold.holdState(fingerprint, now)
      if (standing.type === 'held') this.services.stateLog.decided('request held back', { fingerprint, target: life, ends: standing.ends, trials: standing.trials, failed: true })
    }
    this.changes.fire()
    this.tell('ended', (nonce) => [targetEndedRecord(life, under, nonce)], () => { this.untold.delete(end) })
  }

  private tell (kind: string, make: Parameters<GroupAppender['append']>[0], done: () => void = () => undefined): void {
    this.services.appender.append(make, TELL_MS).then((written) => {
      done()
      if (!written.ok) this.services.stateLog.alarm('ends of targets not told', { kind, error: written.message })
    }).catch((error: unknown) => { this.services.stateLog.alarm('ends of targets not told', { kind, error: String(error) }) })
  }

  private reset (entries: readonly KeyedEntry[]): void {
    this.fold.reset(entries, this.services.clock.monotonic())
    for (const { life, under } of this.untold) this.fold.recordEnd(life, under)
    this.changes.fire()
  }

  private apply (entries: readonly KeyedEntry[]): void {
    const now = this.services.clock.monotonic()
    let isNews = false
    // Nearly all records of the topic are of steps.
    for (const entry of entries) isNews = this.fold.apply(entry, now) || isNews
    if (isNews) this.changes.fire()
  }

  /** A trial may end its target: the service must have another then, or must never have had more than this one. */
  private mayLoseOne ({ destinations }: Route): boolean {
    const targets = destinations.flatMap(({ service }) => this.services.targets.available(service))
    const sound = targets.filter(({ definition }) => this.isSound(definition))
    return sound.length >= SOUND_FOR_TRIAL || (sound.length === 1 && targets.length === 1)
  }

  /** Claims a trial; the first claim of its number that stands in the topic has it. */
  private async claim (fingerprint: RequestFingerprint, number: number): Promise<Trial | 'not first' | 'store away'> {
    const { appender, chance, topic, stateLog, metrics } = this.services
    const record = trialRecord(fingerprint, number, keyNonce(chance))
    const withdraw = (): void => { this.tell('withdrawn', () => [tombstone(record.key)]) }
    const written = await appender.append(() => [record], CLAIM_MS)
    if (!written.ok || !await topic.catchUp()) {
      // A claim without an answer may stand in the topic all the same, and would count as a trial.
      withdraw()
      return 'store away'
    }
    if (!this.fold.isTrialGranted(fingerprint, record.key)) {
      withdraw()
      return 'not first'
    }
    metrics.count('held.trials')
    stateLog.decided('trial of a held request', { fingerprint, number })
    return { withdraw }
  }

  /** Waits for news of ends, answers and trials; false once the time is over. */
  private async changed (until: number): Promise<boolean> {
    const leftMs = until - this.services.clock.monotonic()
    if (leftMs <= 0) return false
    return await new Promise((resolve) => {
      const done = (news: boolean): void => {
        timer.dispose()
        subscription.dispose()
        resolve(news)
      }
      const timer = this.services.clock.after(leftMs, () => { done(false) })
      const subscription = this.changes.event(() => { done(true) })
    })
  }
}
