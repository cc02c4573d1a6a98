/** Saves the progress of running items now and then, and finds it again when a host takes over. */

import type { ProgressPart, SavedText } from '../../../core/common/steps/progress.ts'
import { encodeProgress, readProgress } from '../../../core/common/steps/progress.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { History } from '../../../ports/common/history.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'

export interface ProgressServices {
  readonly history: History
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export class ProgressKeeper {
  private saving = false
  private savedAt = Number.NEGATIVE_INFINITY

  /** @param periodMs time between two saves: what a lost host costs each running item at most */
  constructor (private readonly services: ProgressServices, private readonly periodMs: number) {}

  /** Whether it is time to save again. */
  get due (): boolean {
    return !this.saving && this.services.clock.monotonic() - this.savedAt >= this.periodMs
  }

  /** Saves parts; true if the store has them. A save that fails costs nothing but the time that it would have spared. */
  async save (parts: readonly ProgressPart[]): Promise<boolean> {
    this.saving = true
    this.savedAt = this.services.clock.monotonic()
    const saved = await this.services.history.append(encodeProgress(parts))
    this.saving = false
    this.services.metrics.count(saved.ok ? 'progress.saved' : 'progress.not_saved')
    return saved.ok
  }

  /** Everything that is still kept; empty where it cannot be read, and the items begin anew. */
  async load (): Promise<ReadonlyMap<string, SavedText>> {
    const records = await this.services.history.readAll()
    if (records.ok) return readProgress(records.value)
    this.services.stateLog.alarm('progress of running items cannot be read', { error: records.message })
    return new Map()
  }
}
