/**
 * Appends records to the control stream, many in one entry (group commit), and returns the verdict
 * of the fold to the callers. The verdict of a record is read back from the log and never derived
 * from the answer to the append, as that answer can be lost after the record has taken effect.
 *
 * Records carry ids and are idempotent, so a batch whose answer was lost is appended again until its
 * verdicts have been read.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure } from '../../../base/common/resultCode.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { Verdict } from '../../../core/common/fold/fold.ts'
import type { ControlRecord } from '../../../core/common/fold/records.ts'
import { encodeEnvelope } from '../../../core/common/fold/records.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Log } from '../../../ports/common/log.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { TaskSystem } from '../task.ts'
import { Task } from '../task.ts'
import type { FoldView } from './controlLog.ts'

export interface AppenderSettings {
  readonly batchDelayMs: number
  /** Maximum number of records without a verdict. */
  readonly queue: number
}

interface PendingRecord {
  readonly record: ControlRecord
  /** Whether an append that contains the record is in progress. */
  inFlight: boolean
  /** Whether an earlier append that contained the record may have taken effect. */
  mayHaveTakenEffect: boolean
  /** Whether the record is retried until the log accepts it. */
  readonly hasNoTimeout: boolean
  settled: boolean
  readonly settle: (result: Result<Verdict>) => void
  timer?: Disposable
}

type Message =
  | { readonly type: 'add', readonly pending: PendingRecord, readonly timeoutMs: number | undefined }
  | { readonly type: 'flush' }
  | { readonly type: 'appended', readonly batch: readonly PendingRecord[], readonly result: Result<number> }
  | { readonly type: 'verdict', readonly verdict: Verdict }
  | { readonly type: 'late', readonly pending: PendingRecord }

/** Size of an entry beyond which further records go into the next entry. */
const MAX_BATCH_CHARACTERS = 200_000
const MAX_BATCH_RECORDS = 500
const RETRY_DELAY_MS = 200
/** Time after which an appended record is appended again if its verdict has not been read. */
const REAPPEND_DELAY_MS = 3000

export interface AppenderServices {
  readonly system: TaskSystem
  readonly log: Log
  readonly fold: FoldView
  readonly clock: Clock
  readonly metrics: Metrics
}

export class Appender extends Task<Message> {
  private readonly queue: PendingRecord[] = []
  private readonly waiting = new Map<string, PendingRecord>()
  private isAppending = false
  private isFlushScheduled = false

  constructor (private readonly services: AppenderServices, private readonly settings: AppenderSettings) {
    super(services.system, 'appender', services.metrics)
    services.fold.readWithoutPauseWhile(() => this.waiting.size > 0)
    this.disposables.add(services.fold.onVerdict((verdict) => {
      if (this.waiting.has(verdict.record.id)) this.tell({ type: 'verdict', verdict })
    }))
  }

  /** Number of records without a verdict. */
  get backlog (): number {
    return this.waiting.size
  }

  get isFull (): boolean {
    return this.waiting.size >= this.settings.queue
  }

  /**
   * Appends a record and waits for its verdict. Fails immediately while the log is known to be
   * unavailable. After the timeout it fails with `logUnavailable` if the record was not appended, and
   * with `commandUnknown` if it may still take effect.
   */
  async decide (record: ControlRecord, timeoutMs: number): Promise<Result<Verdict>> {
    if (!this.services.fold.isLogAvailable) return failure('logUnavailable', 'the log does not answer', { retryAfterMs: 1000 })
    return await this.add(record, timeoutMs)
  }

  /** Appends a record, retrying for as long as the log is unavailable; fails only if the queue is full. */
  async persist (record: ControlRecord): Promise<Result<Verdict>> {
    return await this.add(record, undefined)
  }

  private async add (record: ControlRecord, timeoutMs: number | undefined): Promise<Result<Verdict>> {
    if (this.isFull) {
      this.services.metrics.count('log.queue_full')
      return failure('logUnavailable', `${this.waiting.size} records are already waiting for the log`, { retryAfterMs: 1000 })
    }
    return await new Promise((resolve) => {
      const pending: PendingRecord = { record, inFlight: false, mayHaveTakenEffect: false, hasNoTimeout: timeoutMs === undefined, settled: false, settle: resolve }
      this.waiting.set(record.id, pending)
      this.services.fold.endPause()
      this.tell({ type: 'add', pending, timeoutMs })
    })
  }

  protected override receive (message: Message): void {
    switch (message.type) {
      case 'add': this.enqueue(message.pending, message.timeoutMs); break
      case 'flush': this.isFlushScheduled = false; this.flush(); break
      case 'appended': this.handleAppendResult(message.batch, message.result); break
      case 'verdict': this.settle(message.verdict.record.id, { ok: true, value: message.verdict }); break
      case 'late': this.handleTimeout(message.pending); break
      default: unreachable(message)
    }
  }

  private enqueue (pending: PendingRecord, timeoutMs: number | undefined): void {
    this.queue.push(pending)
    if (timeoutMs !== undefined) pending.timer = this.services.clock.after(timeoutMs, () => { this.tell({ type: 'late', pending }) })
    this.scheduleFlush(this.settings.batchDelayMs)
  }

  private scheduleFlush (delayMs: number): void {
    if (this.isFlushScheduled || this.isAppending) return
    this.isFlushScheduled = true
    this.services.clock.after(delayMs, () => { this.tell({ type: 'flush' }) })
  }

  private flush (): void {
    if (this.isAppending) return
    const batch = this.takeBatch()
    if (batch.length === 0) return
    this.isAppending = true
    for (const pending of batch) pending.inFlight = true
    const data = encodeEnvelope(batch.map(({ record }) => record))
    this.services.metrics.count('log.appends')
    this.services.log.append('control', data).then((result) => { this.tell({ type: 'appended', batch, result }) })
  }

  private takeBatch (): PendingRecord[] {
    const batch: PendingRecord[] = []
    let characters = 0
    while (batch.length < MAX_BATCH_RECORDS && characters < MAX_BATCH_CHARACTERS) {
      const next = this.queue.shift()
      if (next === undefined) break
      if (next.settled) continue
      batch.push(next)
      characters += JSON.stringify(next.record).length
    }
    return batch
  }

  private handleAppendResult (batch: readonly PendingRecord[], result: Result<number>): void {
    this.isAppending = false
    const isRefused = !result.ok && result.code === 'logUnavailable'
    for (const pending of batch) {
      pending.inFlight = false
      pending.mayHaveTakenEffect ||= !isRefused
    }
    if (isRefused && result.retryAfterMs === undefined) this.failWaiting(result.message)
    const unsettled = batch.filter((pending) => !pending.settled)
    if (result.ok) {
      this.services.clock.after(REAPPEND_DELAY_MS, () => { this.reappend(unsettled) })
    } else {
      this.services.metrics.count('log.append_failed')
      this.queue.unshift(...unsettled)
    }
    if (this.queue.length > 0) this.scheduleFlush(result.ok ? 0 : RETRY_DELAY_MS)
  }

  /** Fails the waiting records immediately instead of at their timeouts, as a log that refuses an append is unavailable. */
  private failWaiting (message: string): void {
    for (const pending of [...this.waiting.values()]) {
      if (!pending.hasNoTimeout && !pending.mayHaveTakenEffect && !pending.inFlight) {
        this.settle(pending.record.id, failure('logUnavailable', message, { retryAfterMs: 1000 }))
      }
    }
  }

  /** Appends records again whose verdicts have not been read, as the log may have lost them. */
  private reappend (batch: readonly PendingRecord[]): void {
    const unsettled = batch.filter((pending) => !pending.settled)
    if (unsettled.length === 0) return
    this.services.metrics.count('log.repeated', unsettled.length)
    this.queue.push(...unsettled)
    this.scheduleFlush(0)
  }

  private handleTimeout (pending: PendingRecord): void {
    if (pending.settled) return
    this.settle(pending.record.id, timeoutFailure(pending.mayHaveTakenEffect || pending.inFlight))
  }

  private settle (id: string, result: Result<Verdict>): void {
    const pending = this.waiting.get(id)
    if (pending === undefined || pending.settled) return
    pending.settled = true
    pending.timer?.dispose()
    this.waiting.delete(id)
    pending.settle(result)
  }
}

function timeoutFailure (mayHaveTakenEffect: boolean): Failure {
  return mayHaveTakenEffect
    ? failure('commandUnknown', 'the log did not confirm the record before the timeout', { retryAfterMs: 1000 })
    : failure('logUnavailable', 'the record was not appended to the log before the timeout', { retryAfterMs: 1000 })
}
