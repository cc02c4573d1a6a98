/**
 * Determines which requests are held back; all hosts that have read the topic up to the same offset agree on it. Load
 * pattern: a poison request crashes every target that begins to run it and is repeated with new ids at any host. Other
 * requests on the same target are interrupted by the same crashes. What sets the poison request apart is that it is
 * never answered anywhere. Therefore each end of a target counts against all requests in progress there, and an answer
 * clears all ends of a request. After two ends, a request is tried at one target at a time, by one host, twice, and then
 * only at long intervals. A failing target machine occasionally interrupts a popular request as well; the next answer to
 * that request clears it.
 */

import type { RequestFingerprint, TargetIncarnationId } from '../../../base/common/ids.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import { decodeKeyPart } from '../keyedRecords.ts'
import type { HeldRequestRecord } from './heldRequestRecords.ts'
import { readHeldRequestRecord } from './heldRequestRecords.ts'

/** Whether and how a request may be sent. */
export type HoldState =
  | { readonly type: 'free' }
  /** A target ended while it ran the request: the request is sent to one target at a time. */
  | { readonly type: 'watched', readonly ends: number }
  /** The request is sent only as a trial. */
  | { readonly type: 'held', readonly ends: number, readonly trials: number, readonly trialUnderWay: boolean, readonly nextTrialInMs: number }

/** Number of ends from which a request is held. One end may be a coincidence; waiting for a third would not keep the total at three ends. */
const HOLD_THRESHOLD_ENDS = 2
/** Time after which the host of a trial counts as lost. It is longer than the short requests that such a host had started. */
const TRIAL_TIMEOUT_MS = 3000
/**
 * Number of trials that follow each other at the short delay. A poison request ends its third target in the first trial at the latest. The second
 * trial is for a request whose first trial was interrupted by the end that another request caused. A request that is still held after both may have
 * been interrupted twice by coincidence, and later trials resolve that.
 */
const MAX_EARLY_TRIALS = 2
/**
 * Delay after an early trial, also after one that was withdrawn. A target that ended has restarted by then, and a target that refused the trial is not
 * asked repeatedly.
 */
const EARLY_TRIAL_DELAY_MS = 4000
/** Delay after each further trial. */
const LATE_TRIAL_DELAY_MS = 300_000
/** Maximum number of target incarnations whose ends are kept. An end is evicted early only if this many others follow within the retention period. */
const MAX_ENDED_INCARNATIONS = 4096

interface Trial {
  readonly key: string
  /** Monotonic time at which this host learned of the trial. */
  readonly learnedAt: number
  readonly endsAtClaim: number
}

interface RequestHistory {
  readonly countedEnds: Set<TargetIncarnationId>
  /** Ends that an answer has cleared. A delayed report of one must not count again. */
  readonly clearedEnds: Set<TargetIncarnationId>
  trials: Trial[]
  /** Monotonic time of the last claim of a trial, including one that was withdrawn. */
  lastTrialAt: number
}

export class HeldRequestFold {
  private readonly histories = new Map<RequestFingerprint, RequestHistory>()
  /** Requests that were in progress at each target incarnation that ended. */
  private readonly requestsByIncarnation = new Map<TargetIncarnationId, Set<RequestFingerprint>>()
  private readonly learnedAt = new Map<string, number>()

  /** Whether no ends are recorded for any request, in which case no look-up is needed. */
  get isEmpty (): boolean {
    return this.histories.size === 0
  }

  /** Discards the state and rebuilds it from the newest record of each key, in log order. */
  reset (entries: readonly KeyedEntry[], nowMs: number): void {
    const previouslyLearnedAt = new Map(this.learnedAt)
    for (const map of [this.histories, this.requestsByIncarnation, this.learnedAt]) map.clear()
    for (const entry of entries) this.apply(entry, previouslyLearnedAt.get(entry.key) ?? nowMs)
  }

  /** Folds a record of the topic; returns false for a record of another kind, which is ignored. */
  apply (entry: KeyedEntry, nowMs: number): boolean {
    const record = readHeldRequestRecord(entry)
    if (record === undefined) return false
    if (record.kind === 'dropped') {
      this.applyDrop(entry.key)
      return true
    }
    this.learnedAt.set(entry.key, nowMs)
    this.applyRecord(record, entry.key, nowMs)
    return true
  }

  /** Records the end of a target incarnation; also called before the end is in the topic. */
  recordEnd (incarnation: TargetIncarnationId, fingerprints: readonly RequestFingerprint[]): void {
    const requests = this.requestsByIncarnation.get(incarnation) ?? new Set()
    this.requestsByIncarnation.set(incarnation, requests)
    for (const fingerprint of fingerprints) {
      requests.add(fingerprint)
      const history = this.getOrCreateHistory(fingerprint)
      if (!history.clearedEnds.has(incarnation)) history.countedEnds.add(incarnation)
    }
    const [oldest] = this.requestsByIncarnation.keys()
    if (this.requestsByIncarnation.size > MAX_ENDED_INCARNATIONS && oldest !== undefined) this.removeIncarnation(oldest)
  }

  /** Clears the ends of an answered request; also called before the answer is in the topic. */
  recordAnswer (fingerprint: RequestFingerprint): void {
    const history = this.histories.get(fingerprint)
    if (history === undefined) return
    for (const incarnation of history.countedEnds) history.clearedEnds.add(incarnation)
    history.countedEnds.clear()
    history.trials = []
    history.lastTrialAt = Number.NEGATIVE_INFINITY
  }

  holdState (fingerprint: RequestFingerprint, nowMs: number): HoldState {
    const history = this.histories.get(fingerprint)
    const ends = history?.countedEnds.size ?? 0
    if (history === undefined || ends === 0) return { type: 'free' }
    if (ends < HOLD_THRESHOLD_ENDS) return { type: 'watched', ends }
    const last = history.trials.at(-1)
    const trialUnderWay = last !== undefined && last.endsAtClaim === ends && nowMs - last.learnedAt < TRIAL_TIMEOUT_MS
    const pauseMs = history.trials.length < MAX_EARLY_TRIALS ? EARLY_TRIAL_DELAY_MS : LATE_TRIAL_DELAY_MS
    const nextTrialInMs = Math.max(0, history.lastTrialAt + pauseMs - nowMs)
    return { type: 'held', ends, trials: history.trials.length, trialUnderWay, nextTrialInMs }
  }

  /** Whether the claim with this key was the first for its trial number. */
  isTrialGranted (fingerprint: RequestFingerprint, key: string): boolean {
    return this.histories.get(fingerprint)?.trials.some((trial) => trial.key === key) === true
  }

  hasEnded (incarnation: TargetIncarnationId): boolean {
    return this.requestsByIncarnation.has(incarnation)
  }

  /** Numbers of held and of watched requests. */
  get counts (): { held: number, watched: number } {
    const ends = [...this.histories.values()].map(({ countedEnds: counted }) => counted.size)
    return { held: ends.filter((count) => count >= HOLD_THRESHOLD_ENDS).length, watched: ends.filter((count) => count > 0 && count < HOLD_THRESHOLD_ENDS).length }
  }

  /** Returns the keys of records that this host has known for longer than `keepMs`. */
  keysOlderThan (keepMs: number, nowMs: number): string[] {
    return [...this.learnedAt].filter(([, learnedAt]) => nowMs - learnedAt > keepMs).map(([key]) => key)
  }

  private applyRecord (record: Exclude<HeldRequestRecord, { kind: 'dropped' }>, key: string, nowMs: number): void {
    switch (record.kind) {
      case 'ended': return this.recordEnd(record.incarnation, record.under)
      case 'cleared': return this.recordAnswer(record.fingerprint)
      case 'trial': return this.applyTrial(record.fingerprint, record.number, key, nowMs)
    }
  }

  private applyTrial (fingerprint: RequestFingerprint, number: number, key: string, nowMs: number): void {
    const history = this.getOrCreateHistory(fingerprint)
    if (number !== history.trials.length + 1) return
    history.trials.push({ key, learnedAt: nowMs, endsAtClaim: history.countedEnds.size })
    history.lastTrialAt = nowMs
  }

  /** Handles a dropped record, which was either withdrawn or has expired. */
  private applyDrop (key: string): void {
    this.learnedAt.delete(key)
    const [kind, first = ''] = key.split('/')
    if (kind === 'trial') this.removeTrial(key, first as RequestFingerprint)
    if (kind === 'ended') this.removeEnd(first)
  }

  private removeTrial (key: string, fingerprint: RequestFingerprint): void {
    const history = this.histories.get(fingerprint)
    if (history === undefined) return
    history.trials = history.trials.filter((trial) => trial.key !== key)
    this.removeIfEmpty(fingerprint, history)
  }

  /** Each host that had requests at the target reports its end, so the end is removed with the last of these records. */
  private removeEnd (encodedIncarnation: string): void {
    const incarnation = decodeKeyPart(encodedIncarnation)
    if (incarnation === undefined || [...this.learnedAt.keys()].some((other) => other.startsWith(`ended/${encodedIncarnation}/`))) return
    this.removeIncarnation(incarnation as TargetIncarnationId)
  }

  private removeIncarnation (incarnation: TargetIncarnationId): void {
    for (const fingerprint of this.requestsByIncarnation.get(incarnation) ?? []) {
      const history = this.histories.get(fingerprint)
      if (history === undefined) continue
      history.countedEnds.delete(incarnation)
      history.clearedEnds.delete(incarnation)
      this.removeIfEmpty(fingerprint, history)
    }
    this.requestsByIncarnation.delete(incarnation)
  }

  private removeIfEmpty (fingerprint: RequestFingerprint, { countedEnds: counted, clearedEnds: cleared, trials }: RequestHistory): void {
    if (counted.size + cleared.size + trials.length === 0) this.histories.delete(fingerprint)
  }

  private getOrCreateHistory (fingerprint: RequestFingerprint): RequestHistory {
    const existing = this.histories.get(fingerprint)
    if (existing !== undefined) return existing
    const history: RequestHistory = { countedEnds: new Set(), clearedEnds: new Set(), trials: [], lastTrialAt: Number.NEGATIVE_INFINITY }
    this.histories.set(fingerprint, history)
    return history
  }
}
