/**
 * Counts the requests that targets started to run for this host, by workspace and wall-clock window, and writes the counts to the
 * store soon, as counts that are not written are lost with the host.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { HostId, WorkspaceName } from '../../../base/common/ids.ts'
import { windowAt } from '../../../core/common/usage/usagePlan.ts'
import { countsRecord } from '../../../core/common/usage/usageRecords.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { KeyedLog, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import type { StateLog } from '../../../ports/common/observation.ts'

export interface UsageMeterServices {
  readonly log: KeyedLog
  readonly clock: Clock
  readonly stateLog: StateLog
  readonly host: HostId
  /** Number of known hosts, including this one. */
  readonly hosts: () => number
}

export interface UsageMeterSettings {
  readonly windowMs: number
}

/** Interval at which the meter checks whether a flush is due. */
const FLUSH_CHECK_INTERVAL_MS = 250
/** Lower bound of the flush interval; a host that ends loses about the counts of this time. */
const MIN_FLUSH_INTERVAL_MS = 1000
/** Flush interval for each known host, which limits all hosts together to a hundred appends per second. */
const FLUSH_INTERVAL_PER_HOST_MS = 10
/** Limit of records that wait for the store; enough for an outage of an hour at the longest flush interval. */
const MAX_PENDING_RECORDS = 2000

export class UsageMeter implements Disposable {
  private countsByWindow = new Map<number, Map<WorkspaceName, number>>()
  private waiting: KeyedRecord[] = []
  private sequence = 0
  private sending = false
  private isStopping = false
  private flushedAt = Number.NEGATIVE_INFINITY
  private readonly timer: Disposable

  constructor (private readonly services: UsageMeterServices, private readonly settings: UsageMeterSettings) {
    this.timer = services.clock.every(FLUSH_CHECK_INTERVAL_MS, () => { this.flushIfDue() })
  }

  /** Number of records that the store has not confirmed, plus windows with counts that have not been sent yet. */
  get backlog (): number {
    return this.waiting.length + this.countsByWindow.size
  }

  /** Counts a request that a target started to run `agoMs` ago. */
  recordStart (workspace: WorkspaceName, agoMs: number): void {
    const window = windowAt(this.services.clock.wall() - agoMs, this.settings.windowMs)
    const counts = this.countsByWindow.get(window) ?? new Map<WorkspaceName, number>()
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1)
    this.countsByWindow.set(window, counts)
  }

  /** Flushes without pauses from now on, as this host is about to exit and waits for its backlog. */
  flushWithoutPauses (): void {
    this.isStopping = true
    this.flushIfDue()
  }

  dispose (): void {
    this.timer.dispose()
  }

  private flushIfDue (): void {
    const { clock, hosts } = this.services
    const flushIntervalMs = this.isStopping ? 0 : Math.max(MIN_FLUSH_INTERVAL_MS, hosts() * FLUSH_INTERVAL_PER_HOST_MS)
    if (this.sending || this.backlog === 0 || clock.monotonic() - this.flushedAt < flushIntervalMs) return
    this.createRecords()
    this.flushedAt = clock.monotonic()
    this.flush().catch((error: unknown) => { this.services.stateLog.alarm('usage not handed in', { error: String(error) }) })
  }

  /** Turns the counts into records, each with its own key, which stays the same when an append is retried. */
  private createRecords (): void {
    for (const [window, counts] of this.countsByWindow) this.waiting.push(countsRecord(window, counts, this.services.host, this.sequence++))
    this.countsByWindow = new Map()
    const excess = this.waiting.length - MAX_PENDING_RECORDS
    if (excess <= 0) return
    this.waiting.splice(0, excess)
    this.services.stateLog.alarm('usage not handed in', { records: excess, error: 'the store was unavailable for too long; the oldest records are dropped' })
  }

  private async flush (): Promise<void> {
    const records = this.waiting
    this.sending = true
    try {
      const appended = await this.services.log.append(records)
      if (!appended.ok) return
      this.waiting = this.waiting.slice(records.length)
    } finally {
      this.sending = false
    }
  }
}
