/**
 * Decides which calls wait at a host while no target of their service has room, in which order they try targets, and
 * which are refused. Load pattern: callers ask for more than the targets can do, for seconds or for good. Then some calls
 * cannot be answered in time; these are refused at once with a hint when to retry, and the others run in the order of
 * their ranks instead of all becoming late.
 *
 * The queue has no timers: the owner tells it what happened, and asks it what to do. A call is either waiting, or handed
 * out, which means that it tries targets and that none has accepted it yet.
 */

import type { QueuedCallKey, WorkspaceName } from '../../../base/common/ids.ts'
import { INITIAL_ANSWER_MS } from '../routes/targetEstimate.ts'
import { DrainRate } from './drainRate.ts'
import { RecentService } from './recentService.ts'
import { SendWindow } from './sendWindow.ts'

export interface QueuedCall {
  readonly key: QueuedCallKey
  readonly service: string
  /** 0 is the most urgent. */
  readonly rank: number
  /** Absent if the call belongs to none. */
  readonly workspace: WorkspaceName | undefined
  /** Arrival of this attempt of the caller. */
  readonly arrivedAt: number
  /** Time by which the answer is due, counted from the caller's first attempt. */
  readonly objectiveAt: number
  /** Time at which the caller gives up, counted from the caller's first attempt. */
  readonly deadlineAt: number
  /** Whether the caller was refused before, as far as its remaining time shows. */
  readonly returned: boolean
  /** Size of the body. */
  readonly bytes: number
}

/** What the load of a service's targets shows. */
export interface ServiceOutlook {
  /** Expected time from a start to the answer, in milliseconds. */
  readonly answerMs: number
  /** Expected starts per second for this host, used until a drain rate has been measured. */
  readonly startsPerSecond: number
  /** Calls of this host that its targets have not answered. */
  readonly inFlight: number
  /** Whether a target is expected to have an idle slot. */
  readonly hasIdleSlot: boolean
}

/** Why a call does not wait, or no longer does. */
export type QueueRefusal =
  /** Its expected start is later than half of its time, or too late for an answer within its limit. */
  | 'late'
  /** The queue has reached a limit, and the call is the last in the order. */
  | 'full'

export type QueueOffer =
  | { readonly type: 'run' }
  | { readonly type: 'wait' }
  | { readonly type: 'refuse', readonly retryAfterMs: number, readonly why: QueueRefusal }

export interface RefusedCall {
  readonly key: QueuedCallKey
  readonly retryAfterMs: number
  readonly why: QueueRefusal
}

/** Why a call leaves the queue other than by a start. */
export type DropReason = QueueRefusal | 'not-accepted' | 'cancelled' | 'limit' | 'unauthenticated' | 'stale' | 'leaving' | 'noTarget' | 'held'

/** What happened at a service's queue since the tally was last taken. */
export interface QueueTally {
  readonly maxWaiting: number
  readonly started: number
  readonly dropped: ReadonlyMap<DropReason, number>
}

export interface CallQueueLimits {
  /** Maximum number of calls that wait for one service. */
  readonly calls: number
  /** Maximum number of bytes of their bodies. */
  readonly bytes: number
}

/** Pause between two tries of a waiting call while nothing shows capacity; about the duration of a short call. */
export const POLL_INTERVAL_MS = 40
/** Of this many starts in a row at least one goes to a call below the best rank, if one waits. */
const STARTS_PER_LOWER_RANK_START = 8
/** A call is held for at most this share of its time; the rest is left to its caller for a retry at another host. */
const MAX_WAIT_SHARE = 0.5
const MIN_RETRY_AFTER_MS = 20
/** Callers honor a retry hint only up to this share of their remaining time. */
const MAX_RETRY_SHARE = 1 / 3
/** Retry hints vary by this share, so that refused callers do not return at the same time. */
const RETRY_JITTER = 0.25
/** Retry hints are rounded down to the precision with which they are sent; rounding up could exceed the share of the remaining time. */
const RETRY_PRECISION_MS = 10
const INITIAL_OUTLOOK: ServiceOutlook = { answerMs: INITIAL_ANSWER_MS, startsPerSecond: 1, inFlight: 0, hasIdleSlot: false }

interface Entry {
  readonly call: QueuedCall
  /** Order of arrival in the queue. */
  readonly sequence: number
  /** Whether targets refused it after it was handed out; it then goes before all others. */
  putBack: boolean
}

class ServiceQueue {
  readonly waiting = new Map<QueuedCallKey, Entry>()
  readonly handedOut = new Map<QueuedCallKey, Entry>()
  readonly drain = new DrainRate()
  readonly recentService = new RecentService()
  readonly window = new SendWindow()
  outlook = INITIAL_OUTLOOK
  /** Calls that lost their place to one that goes before them, until the owner asks for refusals. */
  displaced: QueuedCall[] = []
  /** Whether something was released since the last try. Each release permits one try: if a host sent all its calls on one report, others that know the same report would too. */
  isReleased = false
  lastTryAt = Number.NEGATIVE_INFINITY
  /** Time of the last try without a release, which is the only kind that adds to the calls in flight. */
  lastPollAt = Number.NEGATIVE_INFINITY
  /** Best rank that waited at the last start, and the starts in a row that went to it while lower ranks waited. */
  bestRank = 0
  startsOfBestRank = 0
  maxWaiting = 0
  started = 0
  dropped = new Map<DropReason, number>()

  /** Time after which the poll interval is counted. While slots are idle, tries after releases do not postpone polls: a release only replaces the call that ended, so the calls in flight would never grow. */
  get pollReferenceAt (): number {
    return this.outlook.hasIdleSlot ? this.lastPollAt : this.lastTryAt
  }

  get bytes (): number {
    return [...this.waiting.values()].reduce((sum, { call }) => sum + call.bytes, 0)
  }

  countDropped (reason: DropReason): void {
    this.dropped.set(reason, (this.dropped.get(reason) ?? 0) + 1)
  }

  /** Returns the waiting calls in the order in which they are served. */
  inOrder (now: number): Entry[] {
    const keys = new Map([...this.waiting.values()].map((entry) => [entry, this.orderKey(entry, now)]))
    return [...keys.keys()].sort((a, b) => compareKeys(keys.get(a) ?? [], keys.get(b) ?? []))
  }

  /** Whether a call would meet its objective if it started now. */
  private isInTime ({ objectiveAt }: QueuedCall, now: number): boolean {
    return now + this.outlook.answerMs <= objectiveAt
  }

  private orderKey ({ call, putBack, sequence }: Entry, now: number): readonly number[] {
    if (putBack) return [0, sequence]
    return [1, call.rank, this.isInTime(call, now) ? 0 : 1, call.returned ? 0 : 1, this.recentService.startsOf(call.workspace, now), call.objectiveAt, sequence]
  }
}

export class CallQueue {
  private readonly services = new Map<string, ServiceQueue>()
  private sequence = 0

  constructor (private readonly limits: CallQueueLimits) {}

  /** Number of calls that wait, for one service or for all. */
  waitingCount (service?: string): number {
    if (service !== undefined) return this.services.get(service)?.waiting.size ?? 0
    return [...this.services.values()].reduce((sum, { waiting }) => sum + waiting.size, 0)
  }

  /** Services for which calls wait. */
  waitingServices (): string[] {
    return [...this.services].filter(([, { waiting }]) => waiting.size > 0).map(([service]) => service)
  }

  /** Applies what the load of a service's targets shows now. */
  observe (service: string, outlook: ServiceOutlook): void {
    this.serviceQueue(service).outlook = outlook
  }

  /**
   * Decides on a call that wants to run.
   * @param hasRoom whether a target of the service has room for it
   * @param random a number in the range [0, 1)
   */
  offer (call: QueuedCall, now: number, { hasRoom, random }: { readonly hasRoom: boolean, readonly random: number }): QueueOffer {
    const queue = this.serviceQueue(call.service)
    if (hasRoom && queue.waiting.size === 0) {
      queue.recentService.add(call.workspace, 1, now)
      queue.window.recordStart(now)
      return { type: 'run' }
    }
    const entry: Entry = { call, sequence: this.sequence++, putBack: false }
    queue.waiting.set(call.key, entry)
    const order = queue.inOrder(now)
    const position = order.indexOf(entry)
    const refusal = this.isTooLate(queue, call, position + 1, now) ? 'late' : this.makePlace(queue, order, position)
    if (refusal !== undefined) {
      queue.waiting.delete(call.key)
      queue.countDropped(refusal)
      return { type: 'refuse', why: refusal, retryAfterMs: this.retryAfterMs(queue, call, now, random) }
    }
    // The first call that waits has just seen that no target has room.
    if (queue.waiting.size === 1) {
      if (!queue.drain.hasWaited(now)) queue.window.open(queue.outlook.inFlight, now)
      queue.lastTryAt = now
      queue.lastPollAt = now
      queue.isReleased = false
    }
    queue.maxWaiting = Math.max(queue.maxWaiting, queue.waiting.size)
    queue.drain.setWaiting(true, now)
    return { type: 'wait' }
  }

  /** A call of this host to the service ended, or a report shows capacity. */
  released (service: string): void {
    const queue = this.services.get(service)
    if (queue !== undefined) queue.isReleased = true
  }

  /** Hands out the call that may now try a target, if any. */
  next (service: string, now: number): QueuedCall | undefined {
    const queue = this.services.get(service)
    if (queue === undefined || queue.waiting.size === 0) return undefined
    if (!queue.isReleased && now - queue.pollReferenceAt < POLL_INTERVAL_MS) return undefined
    const entry = selectNext(queue, now)
    if (entry === undefined) return undefined
    const { call } = entry
    if (!queue.isReleased) queue.lastPollAt = now
    queue.isReleased = false
    queue.lastTryAt = now
    queue.window.recordStart(now)
    queue.waiting.delete(call.key)
    queue.handedOut.set(call.key, entry)
    queue.recentService.add(call.workspace, 1, now)
    queue.drain.setWaiting(queue.waiting.size > 0, now)
    return call
  }

  /** A target has accepted a call that was handed out. */
  started (key: QueuedCallKey, now: number): void {
    const queue = this.queueOf(key)
    if (queue?.handedOut.delete(key) !== true) return
    queue.drain.recordStart(now)
    queue.started++
  }

  /** No target has accepted a call that was handed out: it returns to the head of the queue. Limits do not apply to it, as it was within them before. */
  putBack (key: QueuedCallKey, now: number): void {
    const queue = this.queueOf(key)
    const entry = queue?.handedOut.get(key)
    if (queue === undefined || entry === undefined) return
    queue.handedOut.delete(key)
    entry.putBack = true
    queue.waiting.set(key, entry)
    queue.recentService.add(entry.call.workspace, -1, now)
    queue.drain.setWaiting(true, now)
    // The refusal outweighs the release that led to the try.
    queue.isReleased = false
    queue.window.recordRefusal()
  }

  /** Whether this host may send one more call to a service while calls wait for it. */
  windowAllows (service: string, now: number): boolean {
    const queue = this.services.get(service)
    if (queue === undefined || !queue.drain.hasWaited(now)) return true
    return queue.window.allows(queue.outlook.inFlight, queue.outlook.answerMs, now)
  }

  /** A target of a service answered, and reported its load if it does so. */
  answered (service: string, load: { readonly ahead: number, readonly slots: number } | undefined): void {
    this.services.get(service)?.window.adjust(load)
  }

  /** A call leaves the queue. */
  drop (key: QueuedCallKey, reason: DropReason, now: number): void {
    const queue = this.queueOf(key)
    if (queue === undefined) return
    const entry = queue.handedOut.get(key)
    if (entry !== undefined) queue.recentService.add(entry.call.workspace, -1, now)
    queue.waiting.delete(key)
    queue.handedOut.delete(key)
    queue.countDropped(reason)
    queue.drain.setWaiting(queue.waiting.size > 0, now)
  }

  /**
   * Removes and returns the calls that can no longer be served, and those that lost their place to others.
   * @param random returns a number in the range [0, 1)
   */
  refusals (now: number, random: () => number): RefusedCall[] {
    const refused: RefusedCall[] = []
    for (const queue of this.services.values()) {
      const refuse = (call: QueuedCall, why: QueueRefusal): void => {
        queue.countDropped(why)
        refused.push({ key: call.key, why, retryAfterMs: this.retryAfterMs(queue, call, now, random()) })
      }
      for (const call of queue.displaced.splice(0)) refuse(call, 'full')
      let position = 1
      for (const { call } of queue.inOrder(now)) {
        if (!this.isTooLate(queue, call, position, now)) {
          position++
          continue
        }
        queue.waiting.delete(call.key)
        refuse(call, 'late')
      }
      if (queue.waiting.size === 0) queue.drain.setWaiting(false, now)
    }
    return refused
  }

  /** Returns the earliest time at which a waiting call of a service must have started. */
  earliestLatestStart (service: string): number {
    const queue = this.services.get(service)
    if (queue === undefined) return Number.POSITIVE_INFINITY
    return Math.min(Number.POSITIVE_INFINITY, ...[...queue.waiting.values()].map(({ call }) => latestStart(call, queue.outlook)))
  }

  /** Whether calls wait for a service, or have waited within the period over which the drain rate is measured. */
  hasWaited (service: string, now: number): boolean {
    return this.services.get(service)?.drain.hasWaited(now) ?? false
  }

  /** Returns the drain rate of a service, in starts per second. */
  drainRate (service: string, now: number): number {
    const queue = this.services.get(service)
    return queue === undefined ? 0 : queue.drain.perSecond(now, queue.outlook.startsPerSecond)
  }

  /** Returns what happened at a service's queue since the last call of this method. */
  takeTally (service: string): QueueTally {
    const queue = this.serviceQueue(service)
    const { maxWaiting, started, dropped } = queue
    queue.maxWaiting = queue.waiting.size
    queue.started = 0
    queue.dropped = new Map()
    return { maxWaiting, started, dropped }
  }

  private serviceQueue (service: string): ServiceQueue {
    const known = this.services.get(service)
    if (known !== undefined) return known
    const created = new ServiceQueue()
    this.services.set(service, created)
    return created
  }

  private queueOf (key: QueuedCallKey): ServiceQueue | undefined {
    return [...this.services.values()].find(({ waiting, handedOut }) => waiting.has(key) || handedOut.has(key))
  }

  /** Applies the limits after a call was added at `position`: displaces calls from the end of the order, or refuses the new one if it would be among these. */
  private makePlace (queue: ServiceQueue, order: readonly Entry[], position: number): QueueRefusal | undefined {
    const { calls, bytes } = this.limits
    const upToNew = order.slice(0, position + 1)
    if (upToNew.length > calls || sumBytes(upToNew) > bytes) return 'full'
    for (let last = order.length - 1; last > position && (queue.waiting.size > calls || queue.bytes > bytes); last--) {
      const entry = order[last]
      if (entry === undefined) break
      queue.waiting.delete(entry.call.key)
      queue.displaced.push(entry.call)
    }
    return undefined
  }

  private isTooLate (queue: ServiceQueue, call: QueuedCall, position: number, now: number): boolean {
    return now + this.expectedWaitMs(queue, position, now) > latestStart(call, queue.outlook)
  }

  private expectedWaitMs (queue: ServiceQueue, position: number, now: number): number {
    return position * 1000 / queue.drain.perSecond(now, queue.outlook.startsPerSecond)
  }

  private retryAfterMs (queue: ServiceQueue, call: QueuedCall, now: number, random: number): number {
    const expectedMs = this.expectedWaitMs(queue, queue.waiting.size + 1, now)
    const jittered = Math.max(MIN_RETRY_AFTER_MS, expectedMs * (1 + RETRY_JITTER * (2 * random - 1)))
    return capRetryAfterMs(jittered, call.deadlineAt - now)
  }
}

/** Limits a retry hint to the share of the remaining time up to which callers honor it. */
export function capRetryAfterMs (retryAfterMs: number, remainingMs: number): number {
  const capped = Math.min(retryAfterMs, Math.max(0, remainingMs) * MAX_RETRY_SHARE)
  return Math.floor(capped / RETRY_PRECISION_MS) * RETRY_PRECISION_MS
}

/** Latest time at which a call may start: within half of its time, and early enough for its answer. */
function latestStart ({ arrivedAt, deadlineAt }: QueuedCall, { answerMs }: ServiceOutlook): number {
  return Math.min(arrivedAt + (deadlineAt - arrivedAt) * MAX_WAIT_SHARE, deadlineAt - answerMs)
}

function sumBytes (entries: readonly Entry[]): number {
  return entries.reduce((sum, { call }) => sum + call.bytes, 0)
}

/** Selects the first call in the order, or in due time the one that has waited longest below the best rank. */
function selectNext (queue: ServiceQueue, now: number): Entry | undefined {
  const [first] = queue.inOrder(now)
  if (first === undefined || first.putBack) return first
  const waiting = [...queue.waiting.values()]
  const bestRank = Math.min(...waiting.map(({ call }) => call.rank))
  const longestWaiting = waiting.filter(({ call }) => call.rank > bestRank).sort((a, b) => a.sequence - b.sequence)[0]
  // A start of a lower rank than the best one at the last start shows that lower ranks are served.
  if (bestRank > queue.bestRank) queue.startsOfBestRank = 0
  queue.bestRank = bestRank
  if (longestWaiting === undefined) return first
  if (queue.startsOfBestRank < STARTS_PER_LOWER_RANK_START - 1) {
    queue.startsOfBestRank++
    return first
  }
  queue.startsOfBestRank = 0
  return longestWaiting
}

function compareKeys (a: readonly number[], b: readonly number[]): number {
  const index = a.findIndex((value, at) => value !== b[at])
  return index < 0 ? 0 : (a[index] ?? 0) - (b[index] ?? 0)
}
