/** Follows the entries of targets that register themselves, and keeps the table of targets. */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import type { TargetDefinition } from '../../../core/common/routes/target.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { RegistryProtocol } from '../../../ports/common/protocols.ts'
import type { TailServices, TailSettings } from '../store/keyedTail.ts'
import { KeyedTail } from '../store/keyedTail.ts'
import type { TargetRecord, TargetTable } from './targetTable.ts'
import { TroubledKeys } from './troubledKeys.ts'

export class TargetTopic implements Disposable {
  private readonly tail: KeyedTail
  private readonly unreadable = new TroubledKeys()
  private readonly outdated = new TroubledKeys()

  constructor (private readonly services: TailServices, settings: TailSettings, private readonly protocol: RegistryProtocol, private readonly table: TargetTable) {
    this.tail = new KeyedTail(services, settings, {
      reset: (entries) => { this.replace(entries) },
      apply: (entries) => { for (const entry of entries) this.take(entry) }
    })
  }

  get loaded (): boolean {
    return this.tail.loaded
  }

  start (): void {
    this.tail.start()
  }

  async whenLoaded (limitMs: number): Promise<boolean> {
    return await this.tail.whenLoaded(limitMs)
  }

  dispose (): void {
    this.tail.dispose()
  }

  private replace (entries: readonly KeyedEntry[]): void {
    this.table.readAnew(() => {
      for (const entry of entries) this.take(entry)
      this.table.removeAllBut(new Set(entries.map(({ key }) => this.protocol.targetId(key))), this.tail.regainedAt)
    })
  }

  /** Takes a record, whether it was loaded or followed: both ways of reading say the same of a target. */
  private take (entry: KeyedEntry): void {
    const read = entry.value === undefined ? undefined : this.protocol.target(entry)
    const verdict = this.table.apply(this.recordOf(entry, read), this.tail.regainedAt)
    if (read?.ok === false) this.noteUnreadable(entry, read.message)
    else if (verdict === 'untold') this.noteUnreadable(entry, 'it does not tell its start')
    else this.unreadable.leave(entry.key)
    if (verdict === 'older') this.noteOutdated(entry)
    else this.outdated.leave(entry.key)
  }

  private recordOf ({ key }: KeyedEntry, read: Result<TargetDefinition> | undefined): TargetRecord {
    const id = this.protocol.targetId(key)
    if (read === undefined) return { type: 'gone', id }
    return read.ok ? { type: 'entry', definition: read.value } : { type: 'unreadable', id }
  }

  private noteUnreadable ({ key, offset }: KeyedEntry, error: string): void {
    this.services.metrics.count('targets.unreadable_entries')
    if (this.unreadable.enter(key)) this.services.stateLog.alarm("a target's entry cannot be read", { key, offset, error })
  }

  private noteOutdated ({ key, offset }: KeyedEntry): void {
    this.services.metrics.count('targets.outdated_entries')
    if (this.outdated.enter(key)) this.services.stateLog.changed("target's entry is of an earlier life", { target: this.protocol.targetId(key), offset })
  }
}
