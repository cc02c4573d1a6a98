/** Follows the entries of targets that register themselves, and keeps the table of targets. */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { TargetDefinition } from '../../../core/common/routes/target.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { RegistryProtocol } from '../../../ports/common/protocols.ts'
import type { TailServices, TailSettings } from '../store/keyedTail.ts'
import { KeyedTail } from '../store/keyedTail.ts'
import type { TargetTable } from './targetTable.ts'

export class TargetTopic implements Disposable {
  private readonly tail: KeyedTail

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
    const present = entries.filter(({ value }) => value !== undefined)
    this.table.replace(present.flatMap((entry) => this.read(entry) ?? []), this.tail.regainedAt)
  }

  private take (entry: KeyedEntry): void {
    if (entry.value === undefined) return this.table.remove(this.protocol.targetId(entry.key), this.tail.regainedAt)
    const definition = this.read(entry)
    if (definition !== undefined) this.table.set(definition)
  }

  private read (entry: KeyedEntry): TargetDefinition | undefined {
    const target = this.protocol.target(entry)
    if (target.ok) return target.value
    this.services.stateLog.alarm("a target's entry cannot be read", { key: entry.key, offset: entry.offset, error: target.message })
    return undefined
  }
}
