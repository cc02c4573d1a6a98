/** Saves the progress of running items now and then, and finds it again when a host takes over. */

import type { ProgressPart, SavedText } from '../../../core/common/steps/progress.ts'
import { PROGRESS_RETENTION_MS, progressRecords, parseProgress } from '../../../core/common/steps/progress.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { History } from '../../../ports/common/history.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'

export interface ProgressServices {
  readonly history: History
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export interface ProgressSettings {
  /** Time between two saves, in milliseconds: what a lost host costs each running item at most. */
  readonly periodMs: number
  /** Bytes of one record, at most. */
  readonly recordBytes: number
  /** Whether progress is saved and read at all. */
  readonly inUse: boolean
}

/**
 * Time between two trims, in milliseconds. A host that takes over reads all that is kept before the steps
 * go on: after half a minute without trimming that took 0.57 s.
 */
const TRIM_MS = 5000

export class ProgressKeeper {
  private saving = false
  private trimmedAt = Number.NEGATIVE_INFINITY
  /** Offsets of own saves that are kept, with their times. */
  private readonly saves: { readonly at: number, readonly offset: number }[] = []
  private savedAt = Number.NEGATIVE_INFINITY

  constructor (private readonly services: ProgressServices, private readonly settings: ProgressSettings) {}

  /** Whether it is time to save again. */
  get due (): boolean {
    return !this.saving && this.services.clock.monotonic() - this.savedAt >= this.settings.periodMs
  }

  /** Saves parts; true if the store has them. A save that fails costs nothing but the time that it would have spared. */
  async save (parts: readonly ProgressPart[]): Promise<boolean> {
    if (!this.settings.inUse) return false
    this.saving = true
    this.savedAt = this.services.clock.monotonic()
    const saved = await this.append(progressRecords(parts, this.settings.recordBytes))
    this.saving = false
    this.services.metrics.count(saved ? 'progress.saved' : 'progress.not_saved')
    return saved
  }

  /** Everything that is still kept; empty where it cannot be read, and the items begin anew. */
  async load (): Promise<ReadonlyMap<string, SavedText>> {
    if (!this.settings.inUse) return new Map()
    const records = await this.services.history.readAll()
    if (records.ok) return parseProgress(records.value)
    this.services.stateLog.alarm('progress of running items cannot be read', { error: records.message })
    return new Map()
  }

  /** Appends records one after the other; stops at the first that is not taken. */
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
   * Removes what is too old to be needed; a trim that fails is made up for by the next one. Only what stands
   * before an own save that is too old is surely as old: before the first save that is kept may stand what
   * a successor saved while this host stood still, and its items would begin anew after the next takeover.
   */
  private async trim (): Promise<void> {
    const now = this.services.clock.monotonic()
    if (now - this.trimmedAt < TRIM_MS) return
    this.trimmedAt = now
    const outdated = this.saves.findLastIndex(({ at }) => now - at >= PROGRESS_RETENTION_MS)
    const newest = this.saves[outdated]
    if (newest === undefined) return
    this.saves.splice(0, outdated + 1)
    const trimmed = await this.services.history.trim(newest.offset + 1)
    if (!trimmed.ok) this.services.stateLog.alarm('progress not trimmed', { error: trimmed.message, before: newest.offset + 1 })
  }
}
