/**
 * Appends records to a keyed topic, many in one call (group commit), and tries again until a limit
 * of time. An append without an answer may have been done or may be done seconds later; therefore
 * each try writes its records under fresh keys where a repeat would otherwise replace a record and
 * change its place in the order.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { KeyedLog, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import type { Metrics } from '../../../ports/common/observation.ts'

/** Makes the records of one try; `nonce` is different in each. */
export type RecordMaker = (nonce: string) => readonly KeyedRecord[]

export interface GroupAppenderServices {
  readonly log: KeyedLog
  readonly clock: Clock
  readonly chance: Chance
  readonly metrics: Metrics
}

export interface GroupAppenderSettings {
  /** Characters in one call, at most. */
  readonly callCharacters: number
}

interface Waiting {
  readonly make: RecordMaker
  readonly untilMs: number
  /** Place of its first record among those of the try under way. */
  index: number
  /** True once a try may have been done. */
  uncertain: boolean
  readonly settle: (result: Result<number>) => void
}

/** Pause after a refused or unanswered append, in milliseconds. */
const RETRY_MS = 60
/** Characters of a key's random part: 36^10 values. */
const NONCE_LENGTH = 10

/** A random part for keys, so that a record never replaces another by chance. */
export function keyNonce (chance: Chance): string {
  return chance.id().replaceAll('-', '').slice(0, NONCE_LENGTH)
}

export class GroupAppender {
  private waiting: Waiting[] = []
  private busy = false

  constructor (private readonly services: GroupAppenderServices, private readonly settings: GroupAppenderSettings) {}

  /** Records that the topic has not confirmed. */
  get backlog (): number {
    return this.waiting.length
  }

  /**
   * Appends until it is confirmed or the time is over, and gives the offset of its first record. `logUnavailable`: surely nothing was
   * appended; `commandUnknown`: it may have been.
   */
  async append (make: RecordMaker, timeoutMs: number): Promise<Result<number>> {
    const untilMs = this.services.clock.monotonic() + timeoutMs
    return await new Promise((resolve) => {
      this.waiting.push({ make, untilMs, index: 0, uncertain: false, settle: resolve })
      this.flush()
    })
  }

  private flush (): void {
    if (this.busy || this.waiting.length === 0) return
    this.busy = true
    const { batch, records } = this.takeBatch()
    this.services.metrics.count('store.appends')
    this.services.log.append(records).then((result) => { this.appended(batch, result) }, (error: unknown) => { this.appended(batch, failure('commandUnknown', String(error))) })
  }

  private takeBatch (): { batch: Waiting[], records: KeyedRecord[] } {
    const records: KeyedRecord[] = []
    let characters = 0
    let taken = 0
    for (const item of this.waiting) {
      const made = item.make(keyNonce(this.services.chance))
      const size = made.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0)
      if (taken > 0 && characters + size > this.settings.callCharacters) break
      characters += size
      item.index = records.length
      records.push(...made)
      taken++
    }
    return { batch: this.waiting.splice(0, taken), records }
  }

  private appended (batch: readonly Waiting[], result: Result<number>): void {
    this.busy = false
    if (result.ok) {
      for (const item of batch) item.settle(success(result.value + item.index))
      this.flush()
      return
    }
    const now = this.services.clock.monotonic()
    const again: Waiting[] = []
    for (const item of batch) {
      item.uncertain ||= result.code !== 'logUnavailable'
      if (now + RETRY_MS < item.untilMs) again.push(item)
      else item.settle(item.uncertain ? failure('commandUnknown', result.message) : failure('logUnavailable', result.message, { retryAfterMs: 1000 }))
    }
    this.waiting.unshift(...again)
    this.services.clock.after(RETRY_MS, () => { this.flush() })
  }
}
