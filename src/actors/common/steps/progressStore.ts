/** Saves the progress of running items periodically and loads it when a host takes over. */

import type { ProgressPart, SavedText } from '../../../core/common/steps/progress.ts'
import { PROGRESS_RETENTION_MS, progressRecords, parseProgress } from '../../../core/common/steps/progress.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { UnkeyedLog } from '../../../ports/common/unkeyedLog.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'

export interface ProgressStoreServices {
  readonly history: UnkeyedLog
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export interface ProgressStoreSettings {
  /** Time between two saves, in milliseconds. Each running item loses at most this much progress if the host is lost. */
  readonly saveIntervalMs: number
  readonly maxRecordBytes: number
  /** Whether progress is saved and loaded at all. */
  readonly enabled: boolean
}

/**
 * A host that takes over reads all retained progress before it resumes the steps. After half a minute without
 * trimming, that took 0.57 s.
 */
const TRIM_INTERVAL_MS = 5000

export class ProgressStore {
  private saving = false
  private lastTrimAt = Number.NEGATIVE_INFINITY
  /** Offsets and monotonic times of this host's saves that have not been trimmed. */
  private readonly saves: { readonly at: number, readonly offset: number }[] = []
  private lastSaveAt = Number.NEGATIVE_INFINITY

  constructor (private readonly services: ProgressStoreServices, private readonly settings: ProgressStoreSettings) {}

  /** Whether the save interval has elapsed and no save is in progress. */
  get isDue (): boolean {
    return !this.saving && this.services.clock.monotonic() - this.lastSaveAt >= this.settings.saveIntervalMs
  }

  /** Saves parts and returns whether the store has them. After a failed save, a takeover only repeats more of the runs. */
  async save (parts: readonly ProgressPart[]): Promise<boolean> {
    if (!this.settings.enabled) return false
    this.saving = true
    this.lastSaveAt = this.services.clock.monotonic()
    const saved = await this.append(progressRecords(parts, this.settings.maxRecordBytes))
    this.saving = false
    this.services.metrics.count(saved ? 'progress.saved' : 'progress.not_saved')
    return saved
  }

  /** Returns all retained progress. It is empty if the store cannot be read, and the items then start from the beginning. */
  async load (): Promise<ReadonlyMap<string, SavedText>> {
    if (!this.settings.enabled) return new Map()
    const records = await this.services.history.readAll()
    if (records.ok) return parseProgress(records.value)
    this.services.stateLog.alarm('progress of running items cannot be read', { error: records.message })
    return new Map()
  }

  /** Appends records in sequence and stops at the first failure. */
  private async append (records: readonly string[]): Promise<boolean> {
    for (const record of records) {
      const appended = await this.services.history.append(record)
      if (!appended.ok) return false
      this.saves.push({ at: this.services.clock.monotonic(), offset: appended.value })
    }
    this.trim().catch((error: unknown) => { this.services.stateLog.alarm('progress not trimmed', { error: String(error) }) })
    return true
  }

  /**
   * Trims progress that is too old to be needed; the next trim makes up for a failed one. Only records before an expired
   * save of this host are certainly expired. Trimming up to the first retained save could remove records that a successor
   * saved while this host was suspended, and its items would start from the beginning after the next takeover.
   */
  private async trim (): Promise<void> {
    const now = this.services.clock.monotonic()
    if (now - this.lastTrimAt < TRIM_INTERVAL_MS) return
    this.lastTrimAt = now
    const outdated = this.saves.findLastIndex(({ at }) => now - at >= PROGRESS_RETENTION_MS)
    const newest = this.saves[outdated]
    if (newest === undefined) return
    this.saves.splice(0, outdated + 1)
    const trimmed = await this.services.history.trim(newest.offset + 1)
    if (!trimmed.ok) this.services.stateLog.alarm('progress not trimmed', { error: trimmed.message, before: newest.offset + 1 })
  }
}
