/**
 * Writes checkpoints, before the log forgets the entries since the last one. One host does it, the
 * home of the key `checkpoints`; two at once would only write one too many. An idle service writes
 * them too: the last checkpoint grows old with the log like everything else in it.
 */

import type { Clock, Chance } from '../../../ports/common/clock.ts'
import { encodeCheckpoint } from '../../../core/common/fold/checkpoint.ts'
import { snapshot } from '../../../core/common/fold/fold.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { Log } from '../../../ports/common/log.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { Homes } from '../routing/homes.ts'
import type { TaskSystem } from '../task.ts'
import { Task } from '../task.ts'
import type { FoldView } from './controlLog.ts'

export interface CheckpointerServices {
  readonly system: TaskSystem
  readonly fold: FoldView
  readonly homes: Homes
  readonly log: Log
  readonly hash: Hash
  readonly clock: Clock
  readonly chance: Chance
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export interface CheckpointerSettings {
  readonly entries: number
  readonly intervalMs: number
}

type Message = { readonly type: 'look' } | { readonly type: 'written', readonly offset: number, readonly whole: boolean }

const LOOK_MS = 500

export class Checkpointer extends Task<Message> {
  private lastOffset = 0
  private lastTime: number
  private writing = false

  constructor (private readonly services: CheckpointerServices, private readonly settings: CheckpointerSettings) {
    super(services.system, 'checkpointer', services.metrics)
    this.lastTime = services.clock.monotonic()
    this.disposables.add(services.clock.every(LOOK_MS, () => { this.tell({ type: 'look' }) }))
  }

  protected override receive (message: Message): void {
    if (message.type === 'look') this.look()
    else this.written(message.offset, message.whole)
  }

  private look (): void {
    const { fold, homes, clock } = this.services
    if (this.writing || !fold.fresh || !homes.isSelf(homes.ofCheckpoints())) return
    const due = fold.state.offset - this.lastOffset >= this.settings.entries || clock.monotonic() - this.lastTime >= this.settings.intervalMs
    if (!due) return
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

  private written (offset: number, whole: boolean): void {
    this.writing = false
    if (!whole) {
      this.services.metrics.count('checkpoint.failed')
      return
    }
    this.lastOffset = offset
    this.lastTime = this.services.clock.monotonic()
    this.services.metrics.count('checkpoint.written')
    this.services.stateLog.changed('checkpoint written', { offset })
  }
}
