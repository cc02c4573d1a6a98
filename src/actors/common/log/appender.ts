/**
 * Appends records to the control stream, many in one entry (group commit), and tells their authors
 * what the fold decided. The verdict of a record is read back from the log, never taken from the
 * append's answer: that answer can be lost after the record has taken effect.
 *
 * Records carry ids and are harmless when appended twice, so a batch whose answer was lost is
 * appended again until its verdicts are seen.
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
  /** Records waiting, at most. */
  readonly queue: number
}

interface Pending {
  readonly record: ControlRecord
  /** True while an append with it is under way. */
  inFlight: boolean
  /** True once an append with it may have taken effect. */
  uncertain: boolean
  /** Whether it is kept until the log takes it. */
  readonly lasting: boolean
  settled: boolean
  readonly settle: (result: Result<Verdict>) => void
  timer?: Disposable
}

type Message =
  | { readonly type: 'add', readonly pending: Pending, readonly timeoutMs: number | undefined }
  | { readonly type: 'flush' }
  | { readonly type: 'appended', readonly batch: readonly Pending[], readonly result: Result<number> }
  | { readonly type: 'verdict', readonly verdict: Verdict }
  | { readonly type: 'late', readonly pending: Pending }

/** Entries larger than this are cut, in characters. */
const MAXIMUM_BATCH_CHARACTERS = 200_000
const MAXIMUM_BATCH_RECORDS = 500
const RETRY_MS = 200
/** An appended record whose verdict has not been read by then is appended again, in milliseconds. */
const REPEAT_MS = 3000

export interface AppenderServices {
  readonly system: TaskSystem
  readonly log: Log
  readonly fold: FoldView
  readonly clock: Clock
  readonly metrics: Metrics
}

export class Appender extends Task<Message> {
  private readonly queue: Pending[] = []
  private readonly waiting = new Map<string, Pending>()
  private appending = false
  private flushDue = false

  constructor (private readonly services: AppenderServices, private readonly settings: AppenderSettings) {
    super(services.system, 'appender', services.metrics)
    services.fold.readWithoutPauseWhile(() => this.waiting.size > 0)
    this.disposables.add(services.fold.onVerdict((verdict) => {
      if (this.waiting.has(verdict.record.id)) this.tell({ type: 'verdict', verdict })
    }))
  }

  /** Records that have no verdict yet. */
  get backlog (): number {
    return this.waiting.size
  }

  get full (): boolean {
    return this.waiting.size >= this.settings.queue
  }

  /**
   * Appends a record and waits for its verdict; fails at once while the log is known to be down.
   * After the timeout the result is `logUnavailable` if the record was surely not appended, else
   * `commandUnknown`: it may still take effect.
   */
  async decide (record: ControlRecord, timeoutMs: number): Promise<Result<Verdict>> {
    if (!this.services.fold.logAnswers) return failure('logUnavailable', 'the log does not answer', { retryAfterMs: 1000 })
    return await this.add(record, timeoutMs)
  }

  /** Appends a record however long the log is away; gives up only if the queue is full. */
  async persist (record: ControlRecord): Promise<Result<Verdict>> {
    return await this.add(record, undefined)
  }

  private async add (record: ControlRecord, timeoutMs: number | undefined): Promise<Result<Verdict>> {
    if (this.full) {
      this.services.metrics.count('log.queue_full')
      return failure('logUnavailable', 'too many records wait for the log', { retryAfterMs: 1000 })
    }
    return await new Promise((resolve) => {
      const pending: Pending = { record, inFlight: false, uncertain: false, lasting: timeoutMs === undefined, settled: false, settle: resolve }
      this.waiting.set(record.id, pending)
      this.services.fold.hurry()
      this.tell({ type: 'add', pending, timeoutMs })
    })
  }

  protected override receive (message: Message): void {
    switch (message.type) {
      case 'add': this.enqueue(message.pending, message.timeoutMs); break
      case 'flush': this.flushDue = false; this.flush(); break
      case 'appended': this.appended(message.batch, message.result); break
      case 'verdict': this.settle(message.verdict.record.id, { ok: true, value: message.verdict }); break
      case 'late': this.late(message.pending); break
      default: unreachable(message)
    }
  }

  private enqueue (pending: Pending, timeoutMs: number | undefined): void {
    this.queue.push(pending)
    if (timeoutMs !== undefined) pending.timer = this.services.clock.after(timeoutMs, () => { this.tell({ type: 'late', pending }) })
    this.flushSoon(this.settings.batchDelayMs)
  }

  private flushSoon (delayMs: number): void {
    if (this.flushDue || this.appending) return
    this.flushDue = true
    this.services.clock.after(delayMs, () => { this.tell({ type: 'flush' }) })
  }

  private flush (): void {
    if (this.appending) return
    const batch = this.takeBatch()
    if (batch.length === 0) return
    this.appending = true
    for (const pending of batch) pending.inFlight = true
    const data = encodeEnvelope(batch.map(({ record }) => record))
    this.services.metrics.count('log.appends')
    this.services.log.append('control', data).then((result) => { this.tell({ type: 'appended', batch, result }) })
  }

  private takeBatch (): Pending[] {
    const batch: Pending[] = []
    let characters = 0
    while (batch.length < MAXIMUM_BATCH_RECORDS && characters < MAXIMUM_BATCH_CHARACTERS) {
      const next = this.queue.shift()
      if (next === undefined) break
      if (next.settled) continue
      batch.push(next)
      characters += JSON.stringify(next.record).length
    }
    return batch
  }

  private appended (batch: readonly Pending[], result: Result<number>): void {
    this.appending = false
    const refused = !result.ok && result.code === 'logUnavailable'
    for (const pending of batch) {
      pending.inFlight = false
      pending.uncertain ||= !refused
    }
    if (refused && result.retryAfterMs === undefined) this.refuseWaiting(result.message)
    const open = batch.filter((pending) => !pending.settled)
    if (result.ok) {
      this.services.clock.after(REPEAT_MS, () => { this.repeat(open) })
    } else {
      this.services.metrics.count('log.append_failed')
      this.queue.unshift(...open)
    }
    if (this.queue.length > 0) this.flushSoon(result.ok ? 0 : RETRY_MS)
  }

  /** A log that refuses is down: whoever waits for a verdict hears so now and not at its deadline. */
  private refuseWaiting (message: string): void {
    for (const pending of [...this.waiting.values()]) {
      if (!pending.lasting && !pending.uncertain && !pending.inFlight) {
        this.settle(pending.record.id, failure('logUnavailable', message, { retryAfterMs: 1000 }))
      }
    }
  }

  /** An appended record whose verdict does not come back may have been lost by the log. */
  private repeat (batch: readonly Pending[]): void {
    const open = batch.filter((pending) => !pending.settled)
    if (open.length === 0) return
    this.services.metrics.count('log.repeated', open.length)
    this.queue.push(...open)
    this.flushSoon(0)
  }

  private late (pending: Pending): void {
    if (pending.settled) return
    this.settle(pending.record.id, lateFailure(pending.uncertain || pending.inFlight))
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

function lateFailure (uncertain: boolean): Failure {
  return uncertain
    ? failure('commandUnknown', 'the log did not confirm the record in time', { retryAfterMs: 1000 })
    : failure('logUnavailable', 'the log took no record in time', { retryAfterMs: 1000 })
}
