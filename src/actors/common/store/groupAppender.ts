/**
 * Appends records to a keyed topic, many in one call (group commit), and retries until a deadline.
 * An append without an answer may have been applied, or may still be applied seconds later. Each
 * attempt therefore creates its records anew, so that they can get new keys where a repeated append
 * would otherwise replace a record and change its position in the order.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { KeyedLog, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import type { Metrics } from '../../../ports/common/observation.ts'

/** Creates the records of one attempt; `nonce` differs between attempts. */
export type RecordFactory = (nonce: string) => readonly KeyedRecord[]

export interface GroupAppenderServices {
  readonly log: KeyedLog
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
}

export interface GroupAppenderSettings {
  /** Maximum number of characters in one call, unless a single item is larger. */
  readonly maxCallCharacters: number
}

interface PendingAppend {
  readonly makeRecords: RecordFactory
  readonly deadlineMs: number
  /** Index of its first record among the records of the attempt in progress. */
  index: number
  /** Whether an earlier attempt may have been applied. */
  outcomeUnknown: boolean
  readonly settle: (result: Result<number>) => void
}

/** Pause after a refused or unanswered append. */
const RETRY_DELAY_MS = 60
/** Length of the random part of a key: 36^10 possible values. */
const NONCE_LENGTH = 10

/** Returns a random key part, so that a record does not replace another one by coincidence. */
export function keyNonce (chance: RandomSource): string {
  return chance.id().replaceAll('-', '').slice(0, NONCE_LENGTH)
}

export class GroupAppender {
  private waiting: PendingAppend[] = []
  private busy = false

  constructor (private readonly services: GroupAppenderServices, private readonly settings: GroupAppenderSettings) {}

  /** Number of appends that the topic has not confirmed. */
  get backlog (): number {
    return this.waiting.length
  }

  /**
   * Retries the append until it is confirmed or the timeout expires, and returns the offset of its first record.
   * Fails with `logUnavailable` if nothing was appended, and with `commandUnknown` if the records may have been appended.
   */
  async append (makeRecords: RecordFactory, timeoutMs: number): Promise<Result<number>> {
    const deadlineMs = this.services.clock.monotonic() + timeoutMs
    return await new Promise((resolve) => {
      this.waiting.push({ makeRecords, deadlineMs, index: 0, outcomeUnknown: false, settle: resolve })
      this.flush()
    })
  }

  private flush (): void {
    if (this.busy || this.waiting.length === 0) return
    this.busy = true
    const { batch, records } = this.takeBatch()
    this.services.metrics.count('store.appends')
    this.services.log.append(records).then((result) => { this.handleResult(batch, result) }, (error: unknown) => { this.handleResult(batch, failure('commandUnknown', String(error))) })
  }

  private takeBatch (): { batch: PendingAppend[], records: KeyedRecord[] } {
    const records: KeyedRecord[] = []
    let characters = 0
    let takenCount = 0
    for (const item of this.waiting) {
      const itemRecords = item.makeRecords(keyNonce(this.services.chance))
      const size = itemRecords.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0)
      if (takenCount > 0 && characters + size > this.settings.maxCallCharacters) break
      characters += size
      item.index = records.length
      records.push(...itemRecords)
      takenCount++
    }
    return { batch: this.waiting.splice(0, takenCount), records }
  }

  private handleResult (batch: readonly PendingAppend[], result: Result<number>): void {
    this.busy = false
    if (result.ok) {
      for (const item of batch) item.settle(success(result.value + item.index))
      this.flush()
      return
    }
    const now = this.services.clock.monotonic()
    const retried: PendingAppend[] = []
    for (const item of batch) {
      item.outcomeUnknown ||= result.code !== 'logUnavailable'
      if (now + RETRY_DELAY_MS < item.deadlineMs) retried.push(item)
      else item.settle(item.outcomeUnknown ? failure('commandUnknown', result.message) : failure('logUnavailable', result.message, { retryAfterMs: 1000 }))
    }
    this.waiting.unshift(...retried)
    this.services.clock.after(RETRY_DELAY_MS, () => { this.flush() })
  }
}
