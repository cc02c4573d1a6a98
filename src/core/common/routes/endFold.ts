/**
 * Which requests are held back, as every host that has read as far of the topic sees it. Load pattern: one request ends
 * each target that begins to run it and comes again and again, with a new id, to any host; beside it run others,
 * which are broken off by the same ends. What tells them apart is that the one is never answered anywhere. So each end
 * counts against all that were under way there, an answer takes all ends off, and after two ends a request is tried at
 * one target at a time, by one host, twice, and then hardly ever. A target's machine that fails takes a popular question with it now
 * and then; its next answer clears it.
 */

import type { RequestFingerprint, TargetLife } from '../../../base/common/ids.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import { decodeKeyPart } from '../keyedRecords.ts'
import type { EndRecord } from './endRecords.ts'
import { readEndRecord } from './endRecords.ts'

/** What may be done with a request. */
export type Standing =
  | { readonly type: 'free' }
  /** A target ended under it: it is sent to one target at a time. */
  | { readonly type: 'watched', readonly ends: number }
  /** It is sent only as a trial. */
  | { readonly type: 'held', readonly ends: number, readonly trials: number, readonly trialUnderWay: boolean, readonly nextTrialInMs: number }

/** Ends from which on a request is held: one may be chance, and a third would be too many to bound those after it by three. */
const HELD_FROM = 2
/** How long a trial may last before its host counts as lost, in milliseconds: longer than the short requests that such a host had begun. */
const TRIAL_MS = 3000
/**
 * Trials that follow each other soon: with the first the third target ends at the latest, and the second is for a request that met another's end in its
 * first. Whoever is still held after that may have had bad luck twice, which time mends.
 */
const SOON_TRIALS = 2
/** Pause after such a trial, in milliseconds, also after one that was given back: its target is back then if it ended, and a target that refused it is not asked again and again. */
const PAUSE_MS = 4000
/** Pause after each further one, in milliseconds. */
const LONG_PAUSE_MS = 300_000
/** Lives of targets whose ends are kept in mind; marks are only pushed out by as many ends within the time for which they are kept. */
const MOST_LIVES = 4096

interface Trial {
  readonly key: string
  /** Monotonic time at which this host learned of it. */
  readonly learnedAt: number
  readonly endsBefore: number
}

interface Marks {
  readonly lives: Set<TargetLife>
  /** Ends that an answer has taken off: a late report of one must not count again. */
  readonly spent: Set<TargetLife>
  trials: Trial[]
  /** Monotonic time of the last claim of a trial, also of one that was given back. */
  triedAt: number
}

export class EndFold {
  private readonly marks = new Map<RequestFingerprint, Marks>()
  /** Requests under each life that ended. */
  private readonly lives = new Map<TargetLife, Set<RequestFingerprint>>()
  private readonly learnedAt = new Map<string, number>()

  /** Whether no target ended under any request: nothing has to be looked up then. */
  get isEmpty (): boolean {
    return this.marks.size === 0
  }

  /** Starts over with all newest records, in their order. */
  reset (entries: readonly KeyedEntry[], nowMs: number): void {
    const learned = new Map(this.learnedAt)
    for (const map of [this.marks, this.lives, this.learnedAt]) map.clear()
    for (const entry of entries) this.apply(entry, learned.get(entry.key) ?? nowMs)
  }

  /** Folds a record of the topic; false for one of another kind, which is passed over. */
  apply (entry: KeyedEntry, nowMs: number): boolean {
    const record = readEndRecord(entry)
    if (record === undefined) return false
    if (record.kind === 'dropped') {
      this.drop(entry.key)
      return true
    }
    this.learnedAt.set(entry.key, nowMs)
    this.take(record, entry.key, nowMs)
    return true
  }

  /** Takes an end before it is in the topic. */
  noteEnd (life: TargetLife, under: readonly RequestFingerprint[]): void {
    const present = this.lives.get(life) ?? new Set()
    this.lives.set(life, present)
    for (const fingerprint of under) {
      present.add(fingerprint)
      const marks = this.marksOf(fingerprint)
      if (!marks.spent.has(life)) marks.lives.add(life)
    }
    const [oldest] = this.lives.keys()
    if (this.lives.size > MOST_LIVES && oldest !== undefined) this.forgetLife(oldest)
  }

  /** Takes an answer before it is in the topic. */
  noteAnswer (fingerprint: RequestFingerprint): void {
    const marks = this.marks.get(fingerprint)
    if (marks === undefined) return
    for (const life of marks.lives) marks.spent.add(life)
    marks.lives.clear()
    marks.trials = []
    marks.triedAt = Number.NEGATIVE_INFINITY
  }

  standing (fingerprint: RequestFingerprint, nowMs: number): Standing {
    const marks = this.marks.get(fingerprint)
    const ends = marks?.lives.size ?? 0
    if (marks === undefined || ends === 0) return { type: 'free' }
    if (ends < HELD_FROM) return { type: 'watched', ends }
    const last = marks.trials.at(-1)
    const trialUnderWay = last !== undefined && last.endsBefore === ends && nowMs - last.learnedAt < TRIAL_MS
    const pauseMs = marks.trials.length < SOON_TRIALS ? PAUSE_MS : LONG_PAUSE_MS
    const nextTrialInMs = Math.max(0, marks.triedAt + pauseMs - nowMs)
    return { type: 'held', ends, trials: marks.trials.length, trialUnderWay, nextTrialInMs }
  }

  /** Whether the claim of a trial was the first of its number. */
  isGranted (fingerprint: RequestFingerprint, key: string): boolean {
    return this.marks.get(fingerprint)?.trials.some((trial) => trial.key === key) === true
  }

  hasEnded (life: TargetLife): boolean {
    return this.lives.has(life)
  }

  /** Numbers of requests that are held and of those that are watched. */
  get counts (): { held: number, watched: number } {
    const ends = [...this.marks.values()].map(({ lives }) => lives.size)
    return { held: ends.filter((count) => count >= HELD_FROM).length, watched: ends.filter((count) => count > 0 && count < HELD_FROM).length }
  }

  /** Keys of records that this host has known for longer than a time. */
  keysOlderThan (keepMs: number, nowMs: number): string[] {
    return [...this.learnedAt].filter(([, learnedAt]) => nowMs - learnedAt > keepMs).map(([key]) => key)
  }

  private take (record: Exclude<EndRecord, { kind: 'dropped' }>, key: string, nowMs: number): void {
    switch (record.kind) {
      case 'ended': return this.noteEnd(record.life, record.under)
      case 'cleared': return this.noteAnswer(record.fingerprint)
      case 'trial': return this.takeTrial(record.fingerprint, record.number, key, nowMs)
    }
  }

  private takeTrial (fingerprint: RequestFingerprint, number: number, key: string, nowMs: number): void {
    const marks = this.marksOf(fingerprint)
    if (number !== marks.trials.length + 1) return
    marks.trials.push({ key, learnedAt: nowMs, endsBefore: marks.lives.size })
    marks.triedAt = nowMs
  }

  /** A record that is dropped was withdrawn, or its time is over. */
  private drop (key: string): void {
    this.learnedAt.delete(key)
    const [kind, first = ''] = key.split('/')
    if (kind === 'trial') this.dropTrial(key, first as RequestFingerprint)
    if (kind === 'ended') this.dropEnd(first)
  }

  private dropTrial (key: string, fingerprint: RequestFingerprint): void {
    const marks = this.marks.get(fingerprint)
    if (marks === undefined) return
    marks.trials = marks.trials.filter((trial) => trial.key !== key)
    this.dropUnmarked(fingerprint, marks)
  }

  /** An end is told by each host that had requests there, and forgotten with the last of its records. */
  private dropEnd (encodedLife: string): void {
    const life = decodeKeyPart(encodedLife)
    if (life === undefined || [...this.learnedAt.keys()].some((other) => other.startsWith(`ended/${encodedLife}/`))) return
    this.forgetLife(life as TargetLife)
  }

  private forgetLife (life: TargetLife): void {
    for (const fingerprint of this.lives.get(life) ?? []) {
      const marks = this.marks.get(fingerprint)
      if (marks === undefined) continue
      marks.lives.delete(life)
      marks.spent.delete(life)
      this.dropUnmarked(fingerprint, marks)
    }
    this.lives.delete(life)
  }

  private dropUnmarked (fingerprint: RequestFingerprint, { lives, spent, trials }: Marks): void {
    if (lives.size + spent.size + trials.length === 0) this.marks.delete(fingerprint)
  }

  private marksOf (fingerprint: RequestFingerprint): Marks {
    const known = this.marks.get(fingerprint)
    if (known !== undefined) return known
    const marks: Marks = { lives: new Set(), spent: new Set(), trials: [], triedAt: Number.NEGATIVE_INFINITY }
    this.marks.set(fingerprint, marks)
    return marks
  }
}
