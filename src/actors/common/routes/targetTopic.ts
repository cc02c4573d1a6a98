/** Follows the entries of targets that register themselves and applies them to the target table. */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import type { TargetDefinition } from '../../../core/common/routes/target.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { RegistryProtocol } from '../../../ports/common/protocols.ts'
import type { TailServices, TailSettings } from '../store/keyedTail.ts'
import { KeyedTail } from '../store/keyedTail.ts'
import type { TargetRecord, TargetTable } from './targetTable.ts'
import { UnusableKeys } from './unusableKeys.ts'

/** The newest entry of a target that was decoded, by which an entry with the same content needs no decoding. */
interface DecodedEntry {
  readonly content: string
  readonly read: Result<TargetDefinition>
}

export class TargetTopic implements Disposable {
  private readonly tail: KeyedTail
  private readonly decodedEntries = new Map<string, DecodedEntry>()
  private readonly unreadableKeys = new UnusableKeys()
  private readonly outdatedKeys = new UnusableKeys()

  constructor (private readonly services: TailServices, settings: TailSettings, private readonly protocol: RegistryProtocol, private readonly table: TargetTable) {
    this.tail = new KeyedTail(services, settings, {
      reset: (entries) => { this.replaceAll(entries) },
      apply: (entries) => { for (const entry of entries) this.applyEntry(entry) }
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

  /** Reads at once if this host currently pauses between two reads. */
  endPause (): void {
    this.tail.endPause()
  }

  dispose (): void {
    this.tail.dispose()
  }

  private replaceAll (entries: readonly KeyedEntry[]): void {
    const presentKeys = new Set(entries.map(({ key }) => key))
    for (const key of [...this.decodedEntries.keys()]) if (!presentKeys.has(key)) this.decodedEntries.delete(key)
    this.table.reload(() => {
      for (const entry of entries) this.applyEntry(entry)
      this.table.removeAllBut(new Set(entries.map(({ key }) => this.protocol.targetId(key))), this.tail.regainedAt)
    })
  }

  /** Applies a record. Loading the topic and following it go through here, so that both yield the same state of a target. */
  private applyEntry (entry: KeyedEntry): void {
    const read = this.decode(entry)
    const verdict = this.table.apply(this.recordOf(entry, read), this.tail.regainedAt)
    if (read?.ok === false) this.reportUnreadable(entry, read.message)
    else if (verdict === 'untold') this.reportUnreadable(entry, 'it states no incarnation')
    else this.unreadableKeys.delete(entry.key)
    if (verdict === 'older') this.reportOutdated(entry)
    else this.outdatedKeys.delete(entry.key)
  }

  /** Returns the same object for entries of a target that differ only in the heartbeat counter; `undefined` if the entry is gone. */
  private decode ({ key, value }: KeyedEntry): Result<TargetDefinition> | undefined {
    if (value === undefined) {
      this.decodedEntries.delete(key)
      return undefined
    }
    const content = this.protocol.targetContent(value)
    const decoded = this.decodedEntries.get(key)
    if (decoded?.content === content) return decoded.read
    const read = this.protocol.target({ key, value })
    this.decodedEntries.set(key, { content, read })
    return read
  }

  private recordOf ({ key }: KeyedEntry, read: Result<TargetDefinition> | undefined): TargetRecord {
    const id = this.protocol.targetId(key)
    if (read === undefined) return { type: 'gone', id }
    return read.ok ? { type: 'entry', definition: read.value } : { type: 'unreadable', id }
  }

  private reportUnreadable ({ key, offset }: KeyedEntry, error: string): void {
    this.services.metrics.count('targets.unreadable_entries')
    if (this.unreadableKeys.add(key)) this.services.stateLog.alarm("a target's entry cannot be read", { key, offset, error })
  }

  private reportOutdated ({ key, offset }: KeyedEntry): void {
    this.services.metrics.count('targets.outdated_entries')
    if (this.outdatedKeys.add(key)) this.services.stateLog.changed("target's entry is of an earlier life", { target: this.protocol.targetId(key), offset })
  }
}
