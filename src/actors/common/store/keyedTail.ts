/**
 * Follows a keyed topic: loads the newest record of every key, then reads on from there with long
 * polls, and starts over where the topic has forgotten what comes next (after a freeze, or when its
 * history was dropped). The listener gets every record once, in the topic's order.
 */

import type { Disposable, Event } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import type { Instant } from '../../../base/common/instant.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import { nowOf } from '../../../ports/common/clock.ts'
import type { KeyedEntry, KeyedLog } from '../../../ports/common/keyedLog.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import { loadNewest } from './newestRecords.ts'

export interface TailListener {
  /** All newest records, in order; whatever was known before is replaced. */
  reset (entries: readonly KeyedEntry[]): void
  /** Records that follow. */
  apply (entries: readonly KeyedEntry[]): void
}

export interface TailServices {
  readonly log: KeyedLog
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
  /** Fires when the store answers again: a read that hangs in the silence is not worth waiting for. */
  readonly onRegained: Event<void>
}

export interface TailSettings {
  readonly name: string
  /** How long a read may wait for records, in milliseconds: a silent connection is noticed that late. */
  readonly longPollMs: number
  /** Pause after a read that brought records, in milliseconds, as of now: what comes within it is read together, which spares calls where many write often. */
  readonly pauseMs: () => number
}

/** A key after all others: the page of newest records after it is empty, which makes it the cheapest call. */
export const LAST_KEY = '~'

/** Pause after the first failed call, in milliseconds: most failures are of a single call. It doubles with each further one. */
const RETRY_MS = 100
/**
 * Longest pause between failed calls, in milliseconds. Whoever regains the store is told at once; until then each call of
 * each host only asks others that do not reach it either. In 8 s without a store a topic is asked for 12 times
 * instead of 80.
 */
const LONGEST_RETRY_MS = 800

export class KeyedTail implements Disposable {
  private offset: number | undefined
  private contact = Number.NEGATIVE_INFINITY
  private sentAt: Instant | undefined
  private lost = false
  /** Whether records may be missing since the topic was loaded: the next read brings them, and waits for no others. */
  private mayMiss = false
  private regained = Number.NEGATIVE_INFINITY
  private stopped = false
  /** Failed calls in a row. */
  private failures = 0
  private hurried: (() => boolean) | undefined
  private wake: (() => void) | undefined

  private readonly loads = new Emitter<void>()
  private reading = new AbortController()
  private readonly subscription: Disposable

  constructor (private readonly services: TailServices, private readonly settings: TailSettings, private readonly listener: TailListener) {
    this.subscription = services.onRegained(() => {
      // The read that is given up here fails too, and is no sign that the outage goes on.
      this.failures = 0
      this.reading.abort()
      this.hurry()
    })
  }

  /** Whether all records have been read once. */
  get loaded (): boolean {
    return this.offset !== undefined
  }

  /** Waits until all records have been read once; false if that takes longer than `limitMs`. */
  async whenLoaded (limitMs: number): Promise<boolean> {
    if (this.loaded) return true
    return await new Promise((resolve) => {
      const done = (): void => {
        timer.dispose()
        subscription.dispose()
        resolve(this.loaded)
      }
      const timer = this.services.clock.after(limitMs, done)
      const subscription = this.loads.event(done)
    })
  }

  /** When the newest read that came back complete was sent: all that the topic held then is known. */
  get readAt (): Instant | undefined {
    return this.sentAt
  }

  /** Offset of the next record to read. */
  get position (): number {
    return this.offset ?? 0
  }

  /** Monotonic time at which calls succeeded again after a failed one. */
  get regainedAt (): number {
    return this.regained
  }

  /** Whether the last call failed. */
  get isLost (): boolean {
    return this.lost
  }

  /** Follows the topic until disposed. */
  start (): void {
    this.follow().catch((error: unknown) => { this.services.stateLog.alarm('a topic is no longer followed', { topic: this.settings.name, error: String(error) }) })
  }

  /** Reads without pauses while this holds. */
  hurryWhile (condition: () => boolean): void {
    this.hurried = condition
  }

  /** Ends a pause that is under way. */
  hurry (): void {
    this.wake?.()
  }

  /** Loads what is missing at once; true if all records older than this call are known afterwards. */
  async catchUp (): Promise<boolean> {
    const sent = nowOf(this.services.clock)
    if (this.offset === undefined) return false
    const asked = this.offset
    const page = await this.services.log.read(asked, 0)
    if (!page.ok || page.value.type === 'forgotten') return false
    this.take(page.value.entries, asked)
    if (this.position < page.value.end) return false
    this.contact = Math.max(this.contact, sent.monotonic)
    this.noteComplete(sent)
    return true
  }

  dispose (): void {
    this.stopped = true
    this.subscription.dispose()
    this.loads.dispose()
    this.reading.abort()
  }

  private async follow (): Promise<void> {
    while (!this.stopped) {
      const began = this.services.clock.monotonic()
      const from = this.offset
      const answered = from === undefined ? await this.load() : await this.readOn(from)
      if (this.stopped) return
      this.note(answered, began)
      this.failures = answered ? 0 : this.failures + 1
      if (this.failures > 0) await this.pause(Math.min(LONGEST_RETRY_MS, RETRY_MS * 2 ** (this.failures - 1)))
      else if (this.position !== from && this.hurried?.() !== true) await this.pause(this.settings.pauseMs())
    }
  }

  private async load (): Promise<boolean> {
    const sent = nowOf(this.services.clock)
    const newest = await loadNewest(this.services.log)
    if (newest === undefined) return false
    const { entries, end, isWhole } = newest
    this.listener.reset(entries)
    this.offset = end
    this.mayMiss = !isWhole
    if (isWhole) this.noteComplete(sent)
    this.services.stateLog.changed('topic loaded', { topic: this.settings.name, records: entries.length, offset: end })
    this.loads.fire()
    return true
  }

  private async readOn (from: number): Promise<boolean> {
    this.reading = new AbortController()
    const sent = nowOf(this.services.clock)
    const page = await this.services.log.read(from, this.mayMiss ? 0 : this.settings.longPollMs, this.reading.signal)
    if (!page.ok) return false
    if (page.value.type === 'forgotten') {
      this.services.stateLog.changed('topic has forgotten its history', { topic: this.settings.name, offset: from })
      this.services.metrics.count('store.reloads')
      this.offset = undefined
      return true
    }
    this.take(page.value.entries, from)
    this.mayMiss = false
    if (this.position >= page.value.end) this.noteComplete(sent)
    return true
  }

  /** A read that was sent earlier may come back later: it tells less. */
  private noteComplete (sent: Instant): void {
    if (this.sentAt === undefined || sent.monotonic > this.sentAt.monotonic) this.sentAt = sent
  }

  /** Takes records once, though a read of the loop and one of `catchUp` may bring the same ones. */
  private take (entries: readonly KeyedEntry[], from: number): void {
    const current = this.offset
    if (current === undefined || from + entries.length <= current) return
    const fresh = entries.slice(current - from)
    this.offset = from + entries.length
    this.listener.apply(fresh)
  }

  private note (answered: boolean, began: number): void {
    if (answered) this.contact = Math.max(this.contact, began)
    if (answered !== this.lost) return
    this.lost = !answered
    if (answered) this.regained = this.services.clock.monotonic()
    const details = { topic: this.settings.name, offset: this.position, silentMs: Math.round(this.services.clock.monotonic() - this.contact) }
    if (answered) this.services.stateLog.changed('store regained', details)
    else this.services.stateLog.alarm('store lost', details)
  }

  private async pause (milliseconds: number): Promise<void> {
    if (milliseconds === 0) return
    await new Promise<void>((resolve) => {
      const timer = this.services.clock.after(milliseconds, resolve)
      this.wake = () => {
        timer.dispose()
        resolve()
      }
    })
    this.wake = undefined
  }
}
