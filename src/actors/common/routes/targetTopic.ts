/** Follows the entries of targets that register themselves and applies them to the target table. */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import type { TargetRegistration } from '../../../core/common/routes/target.ts'
import { longestPauseMs } from '../../../core/common/steps/followPace.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { RegistryProtocol } from '../../../ports/common/protocols.ts'
import type { TailServices, TailSettings } from '../store/keyedTail.ts'
import { KeyedTail } from '../store/keyedTail.ts'
import type { TargetRecord, TargetTable } from './targetTable.ts'
import { UnusableKeys } from './unusableKeys.ts'

/** The newest entry of a target that was decoded, by which an entry with the same content needs no decoding. */
interface DecodedEntry {
  readonly content: string
  readonly read: Result<TargetRegistration>
  readonly record: TargetRecord
}

export class TargetTopic implements Disposable {
  private readonly tail: KeyedTail
  private readonly decodedEntries = new Map<string, DecodedEntry>()
  private readonly unreadableKeys = new UnusableKeys()
  private readonly outdatedKeys = new UnusableKeys()
  /** Monotonic time at which records were last received. */
  private receivedAt = Number.NEGATIVE_INFINITY
  /** Longest time that the records being applied may have been in the store. */
  private recordAgeMs = 0

  constructor (private readonly services: TailServices, private readonly settings: TailSettings, private readonly protocol: RegistryProtocol, private readonly table: TargetTable) {
    this.tail = new KeyedTail(services, settings, {
      reset: (entries) => {
        this.noteReception()
        this.replaceAll(entries)
      },
      apply: (entries) => {
        this.noteReception()
        for (const entry of entries) this.applyEntry(entry)
      }
    })
  }

  get loaded (): boolean {
    return this.tail.loaded
  }

  /** Whether the newest registrations are known: they have been loaded, and the last read succeeded. */
  get isCurrent (): boolean {
    return this.tail.loaded && !this.tail.isLost
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

  /** A read waits for records, or follows the former one after an interval or pause, so a record waits in the store for that time at most. */
  private noteReception (): void {
    const now = this.services.clock.monotonic()
    this.recordAgeMs = Math.min(now - this.receivedAt, longestPauseMs(this.settings.pace()))
    this.receivedAt = now
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
    const decoded = this.decode(entry)
    const verdict = this.table.apply(decoded?.record ?? { type: 'gone', id: this.protocol.targetId(entry.key) }, this.tail.regainedAt)
    if (decoded?.read.ok === false) this.reportUnreadable(entry, decoded.read.message)
    else if (verdict === 'untold') this.reportUnreadable(entry, 'it states no incarnation, but an earlier one did')
    else if (this.isUnconfirmed(entry)) this.reportUnreadable(entry, 'it states no incarnation, but targets of its service do')
    else this.unreadableKeys.delete(entry.key)
    if (verdict === 'older') this.reportOutdated(entry)
    else this.outdatedKeys.delete(entry.key)
  }

  /** Returns the same object for entries of a target that differ only in the heartbeat counter; `undefined` if the entry is gone. */
  private decode ({ key, value }: KeyedEntry): DecodedEntry | undefined {
    if (value === undefined) {
      this.decodedEntries.delete(key)
      return undefined
    }
    const content = this.protocol.targetContent(value)
    const known = this.decodedEntries.get(key)
    if (known?.content === content) return known
    const read = this.protocol.target({ key, value })
    const decoded: DecodedEntry = { content, read, record: this.recordOf(key, read) }
    this.decodedEntries.set(key, decoded)
    return decoded
  }

  private recordOf (key: string, read: Result<TargetRegistration>): TargetRecord {
    if (!read.ok) return { type: 'unreadable', id: this.protocol.targetId(key) }
    const { leavesInMs, ...definition } = read.value
    // Counted from the earliest time at which the entry may have been written: an item that is moved too late loses its run.
    const writtenAt = this.receivedAt - this.recordAgeMs
    return { type: 'entry', definition: { ...definition, leavesAtMs: leavesInMs === undefined ? undefined : writtenAt + leavesInMs } }
  }

  private reportUnreadable ({ key, offset }: KeyedEntry, error: string): void {
    this.services.metrics.count('targets.unreadable_entries')
    if (this.unreadableKeys.add(key)) this.services.stateLog.alarm("a target's entry cannot be read", { key, offset, error })
  }

  private isUnconfirmed ({ key }: KeyedEntry): boolean {
    const target = this.table.get(this.protocol.targetId(key))
    return target !== undefined && this.table.isUnconfirmed(target)
  }

  private reportOutdated ({ key, offset }: KeyedEntry): void {
    this.services.metrics.count('targets.outdated_entries')
    if (this.outdatedKeys.add(key)) this.services.stateLog.changed("target's entry is of an earlier life", { target: this.protocol.targetId(key), offset })
  }
}
