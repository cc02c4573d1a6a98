/** Saves the progress of running items now and then, and finds it again when a host takes over. */

import type { ProgressPart, SavedText } from '../../../core/common/steps/progress.ts'
import { progressRecords, readProgress } from '../../../core/common/steps/progress.ts'
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
}

export class ProgressKeeper {
  private saving = false
  private savedAt = Number.NEGATIVE_INFINITY

  constructor (private readonly services: ProgressServices, private readonly settings: ProgressSettings) {}

  /** Whether it is time to save again. */
  get due (): boolean {
    return !this.saving && this.services.clock.monotonic() - this.savedAt >= this.settings.periodMs
  }

  /** Saves parts; true if the store has them. A save that fails costs nothing but the time that it would have spared. */
  async save (parts: readonly ProgressPart[]): Promise<boolean> {
    this.saving = true
    this.savedAt = this.services.clock.monotonic()
    const saved = await this.append(progressRecords(parts, this.settings.recordBytes))
    this.saving = false
    this.services.metrics.count(saved ? 'progress.saved' : 'progress.not_saved')
    return saved
  }

  /** Everything that is still kept; empty where it cannot be read, and the items begin anew. */
  async load (): Promise<ReadonlyMap<string, SavedText>> {
    const records = await this.services.history.readAll()
    if (records.ok) return readProgress(records.value)
    this.services.stateLog.alarm('progress of running items cannot be read', { error: records.message })
    return new Map()
  }

  /** Appends records one after the other; stops at the first that is not taken. */
  private async append (records: readonly string[]): Promise<boolean> {
    for (const record of records) {
      if (!(await this.services.history.append(record)).ok) return false
    }
    return true
  }
}
