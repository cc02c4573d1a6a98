/**
 * Follows a keyed topic: loads the newest record of every key, then reads the records after them
 * with long polls, or at intervals where nothing on this host waits for them. It reloads if the topic no longer holds the next offset, after this host was
 * frozen or when the topic's history was dropped. The listener receives every record once, in the
 * order of the topic.
 */

import type { Disposable, Event } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import type { Instant } from '../../../base/common/instant.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import { currentInstant } from '../../../ports/common/clock.ts'
import type { KeyedEntry, KeyedLog } from '../../../ports/common/keyedLog.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { FollowPace } from '../../../core/common/steps/followPace.ts'
import { loadNewest } from './newestRecords.ts'

export interface TailListener {
  /** Replaces everything known so far by the newest records of all keys, in order. */
  reset (entries: readonly KeyedEntry[]): void
  /** Applies the records that follow, in order. */
  apply (entries: readonly KeyedEntry[]): void
}

export interface TailServices {
  readonly log: KeyedLog
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
  /** Fires when the store answers again; a read still pending from the outage is then abandoned. */
  readonly onRegained: Event<void>
}

export interface TailSettings {
  readonly name: string
  /** Returns how the topic is to be followed at present. */
  readonly pace: () => FollowPace
}

/** Key that sorts after all others. The page of newest records after it is empty, which makes it the cheapest call. */
export const LAST_KEY = '~'

/** Pause after the first failed call; short, as most failures affect a single call. It doubles with each further consecutive failure. */
const INITIAL_RETRY_DELAY_MS = 100
/**
 * Maximum pause between failed calls. The end of an outage is signalled by `onRegained`, so frequent retries gain nothing:
 * each one also calls other hosts that do not reach the store either. During an outage of 8 s a topic is read 12 times
 * instead of 80 times at the initial delay.
 */
const MAX_RETRY_DELAY_MS = 800

export class KeyedTail implements Disposable {
  private offset: number | undefined
  private lastContactAt = Number.NEGATIVE_INFINITY
  private lastCompleteReadSentAt: Instant | undefined
  private lost = false
  /** Whether records may be missing because loading took several pages or the last page did not reach the end. The next read then follows at once and does not wait for new ones. */
  private mayHaveGap = false
  private regainedAtMs = Number.NEGATIVE_INFINITY
  private stopped = false
  private consecutiveFailures = 0
  private skipsPauseWhile: (() => boolean) | undefined
  private endCurrentPause: (() => void) | undefined
  /** Whether the current pause is the interval between two reads, and not a pause after a failure. */
  private isBetweenReads = false

  private readonly loadEmitter = new Emitter<void>()
  private readAbort = new AbortController()
  private readonly subscription: Disposable

  constructor (private readonly services: TailServices, private readonly settings: TailSettings, private readonly listener: TailListener) {
    this.subscription = services.onRegained(() => {
      // The read that is aborted here also fails, which does not mean that the outage continues.
      this.consecutiveFailures = 0
      // An outage that began and ended during the interval caused no failed read here, but records may have expired in it.
      if (this.isBetweenReads) this.regainedAtMs = services.clock.monotonic()
      this.readAbort.abort()
      this.endPause()
    })
  }

  /** Whether the newest records have been loaded. */
  get loaded (): boolean {
    return this.offset !== undefined
  }

  /** Waits until the newest records have been loaded. Returns false if that takes longer than `limitMs`. */
  async whenLoaded (limitMs: number): Promise<boolean> {
    if (this.loaded) return true
    return await new Promise((resolve) => {
      const finish = (): void => {
        timer.dispose()
        subscription.dispose()
        resolve(this.loaded)
      }
      const timer = this.services.clock.after(limitMs, finish)
      const subscription = this.loadEmitter.event(finish)
    })
  }

  /** Send time of the latest read that reached the end of the topic: everything that the topic held at that time is known. */
  get readAt (): Instant | undefined {
    return this.lastCompleteReadSentAt
  }

  /** Offset of the next record to read. */
  get position (): number {
    return this.offset ?? 0
  }

  /** Monotonic time at which calls last succeeded again after a failure, or at which the store answered again while this topic was not being read. */
  get regainedAt (): number {
    return this.regainedAtMs
  }

  /** Whether the last call failed. */
  get isLost (): boolean {
    return this.lost
  }

  /** Follows the topic until disposed. */
  start (): void {
    this.follow().catch((error: unknown) => { this.services.stateLog.alarm('a topic is no longer followed', { topic: this.settings.name, error: String(error) }) })
  }

  /** Reads with long polls and without pauses while the condition returns true. */
  readWithoutPauseWhile (condition: () => boolean): void {
    this.skipsPauseWhile = condition
  }

  /** Ends the current pause, if any. */
  endPause (): void {
    this.endCurrentPause?.()
  }

  /** Reads the missing records without waiting. Returns true if all records older than this call are known afterwards. */
  async catchUp (): Promise<boolean> {
    const sentAt = currentInstant(this.services.clock)
    if (this.offset === undefined) return false
    const fromOffset = this.offset
    const page = await this.services.log.read(fromOffset, 0)
    if (!page.ok || page.value.type === 'forgotten') return false
    this.applyNew(page.value.entries, fromOffset)
    if (this.position < page.value.end) return false
    this.lastContactAt = Math.max(this.lastContactAt, sentAt.monotonic)
    this.noteCompleteRead(sentAt)
    return true
  }

  dispose (): void {
    this.stopped = true
    this.subscription.dispose()
    this.loadEmitter.dispose()
    this.readAbort.abort()
  }

  private async follow (): Promise<void> {
    while (!this.stopped) {
      const startedAt = this.services.clock.monotonic()
      const from = this.offset
      const pace = this.currentPace()
      const answered = from === undefined ? await this.load() : await this.readNext(from, pace)
      if (this.stopped) return
      this.noteOutcome(answered, startedAt)
      this.consecutiveFailures = answered ? 0 : this.consecutiveFailures + 1
      if (this.consecutiveFailures > 0) await this.pause(Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** (this.consecutiveFailures - 1)))
      else if (this.offset !== undefined && !this.mayHaveGap) await this.pauseBetweenReads(this.position !== from)
    }
  }

  private currentPace (): FollowPace {
    const pace = this.settings.pace()
    if (this.skipsPauseWhile?.() !== true) return pace
    return { type: 'long-polls', waitMs: pace.waitMs, pauseMs: 0 }
  }

  private async pauseBetweenReads (foundRecords: boolean): Promise<void> {
    const pace = this.currentPace()
    switch (pace.type) {
      case 'long-polls': return await this.pause(foundRecords ? pace.pauseMs : 0)
      case 'at-intervals': break
    }
    this.isBetweenReads = true
    await this.pause(pace.intervalMs)
    this.isBetweenReads = false
  }

  private async load (): Promise<boolean> {
    const sentAt = currentInstant(this.services.clock)
    const newest = await loadNewest(this.services.log)
    if (newest === undefined) return false
    const { entries, end, isComplete } = newest
    this.listener.reset(entries)
    this.offset = end
    this.mayHaveGap = !isComplete
    if (isComplete) this.noteCompleteRead(sentAt)
    this.services.stateLog.changed('topic loaded', { topic: this.settings.name, records: entries.length, offset: end })
    this.loadEmitter.fire()
    return true
  }

  private async readNext (from: number, pace: FollowPace): Promise<boolean> {
    this.readAbort = new AbortController()
    const sentAt = currentInstant(this.services.clock)
    const page = await this.services.log.read(from, this.mayHaveGap || pace.type === 'at-intervals' ? 0 : pace.waitMs, this.readAbort.signal)
    if (!page.ok) return false
    if (page.value.type === 'forgotten') {
      this.services.stateLog.changed('topic has forgotten its history', { topic: this.settings.name, offset: from })
      this.services.metrics.count('store.reloads')
      this.offset = undefined
      return true
    }
    this.applyNew(page.value.entries, from)
    this.mayHaveGap = this.position < page.value.end
    if (!this.mayHaveGap) this.noteCompleteRead(sentAt)
    return true
  }

  /** Keeps the latest send time, as a read that was sent earlier may complete later. */
  private noteCompleteRead (sentAt: Instant): void {
    if (this.lastCompleteReadSentAt === undefined || sentAt.monotonic > this.lastCompleteReadSentAt.monotonic) this.lastCompleteReadSentAt = sentAt
  }

  /** Applies each record once, as the read loop and `catchUp` may return the same records. */
  private applyNew (entries: readonly KeyedEntry[], from: number): void {
    const nextOffset = this.offset
    if (nextOffset === undefined || from + entries.length <= nextOffset) return
    const newEntries = entries.slice(nextOffset - from)
    this.offset = from + entries.length
    this.listener.apply(newEntries)
  }

  private noteOutcome (answered: boolean, startedAt: number): void {
    if (answered) this.lastContactAt = Math.max(this.lastContactAt, startedAt)
    if (answered !== this.lost) return
    this.lost = !answered
    if (answered) this.regainedAtMs = this.services.clock.monotonic()
    const details = { topic: this.settings.name, offset: this.position, silentMs: Math.round(this.services.clock.monotonic() - this.lastContactAt) }
    if (answered) this.services.stateLog.changed('store regained', details)
    else this.services.stateLog.alarm('store lost', details)
  }

  private async pause (milliseconds: number): Promise<void> {
    if (milliseconds === 0) return
    await new Promise<void>((resolve) => {
      const timer = this.services.clock.after(milliseconds, resolve)
      this.endCurrentPause = () => {
        timer.dispose()
        resolve()
      }
    })
    this.endCurrentPause = undefined
  }
}
