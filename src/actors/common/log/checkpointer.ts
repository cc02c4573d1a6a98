/**
 * Writes checkpoints before the log discards the entries since the last one. Only the home of the
 * key `checkpoints` does so; if two hosts do it at once, one checkpoint is redundant. Checkpoints
 * are also written while the service is idle, because the last one expires from the log like every
 * other entry.
 */

import type { Clock, RandomSource } from '../../../ports/common/clock.ts'
import { encodeCheckpoint } from '../../../core/common/fold/checkpoint.ts'
import { snapshot } from '../../../core/common/fold/fold.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { Log } from '../../../ports/common/log.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { HomeResolver } from '../routing/homeResolver.ts'
import type { TaskSystem } from '../task.ts'
import { Task } from '../task.ts'
import type { FoldView } from './controlLog.ts'

export interface CheckpointerServices {
  readonly system: TaskSystem
  readonly fold: FoldView
  readonly homes: HomeResolver
  readonly log: Log
  readonly hash: Hash
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export interface CheckpointerSettings {
  readonly entries: number
  readonly intervalMs: number
}

type Message = { readonly type: 'check-due' } | { readonly type: 'written', readonly offset: number, readonly whole: boolean }

const DUE_CHECK_INTERVAL_MS = 500

export class Checkpointer extends Task<Message> {
  private lastOffset = 0
  private lastWrittenAt: number
  private writing = false

  constructor (private readonly services: CheckpointerServices, private readonly settings: CheckpointerSettings) {
    super(services.system, 'checkpointer', services.metrics)
    this.lastWrittenAt = services.clock.monotonic()
    this.disposables.add(services.clock.every(DUE_CHECK_INTERVAL_MS, () => { this.tell({ type: 'check-due' }) }))
  }

  protected override receive (message: Message): void {
    if (message.type === 'check-due') this.writeIfDue()
    else this.handleWritten(message.offset, message.whole)
  }

  private writeIfDue (): void {
    const { fold, homes, clock } = this.services
    if (this.writing || !fold.fresh || !homes.isSelf(homes.homeOfCheckpoints())) return
    const isDue = fold.state.offset - this.lastOffset >= this.settings.entries || clock.monotonic() - this.lastWrittenAt >= this.settings.intervalMs
    if (!isDue) return
    this.writing = true
    const offset = fold.state.offset
    this.write(offset, snapshot(fold.state)).then(
      (whole) => { this.tell({ type: 'written', offset, whole }) },
      () => { this.tell({ type: 'written', offset, whole: false }) }
    )
  }

  private async write (offset: number, text: string): Promise<boolean> {
    const { log, hash, chance } = this.services
    for (const chunk of encodeCheckpoint({ offset, text }, chance.id(), hash)) {
      const appended = await log.append('checkpoint', chunk)
      if (!appended.ok) return false
    }
    this.services.metrics.gauge('checkpoint.characters', text.length)
    return true
  }

  private handleWritten (offset: number, whole: boolean): void {
    this.writing = false
    if (!whole) {
      this.services.metrics.count('checkpoint.failed')
      return
    }
    this.lastOffset = offset
    this.lastWrittenAt = this.services.clock.monotonic()
    this.services.metrics.count('checkpoint.written')
    this.services.stateLog.changed('checkpoint written', { offset })
  }
}
