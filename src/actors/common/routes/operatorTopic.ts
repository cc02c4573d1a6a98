/**
 * Follows the records of operators and trainers: the configuration and the named versions of weights.
 * Neither is ever rolled back: a record that is older than the one in force is ignored, whatever its source.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import type { Instant } from '../../../base/common/instant.ts'
import { RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { RouteConfiguration } from '../../../core/common/routes/routeConfiguration.ts'
import type { ModelVersion } from '../../../core/common/routes/target.ts'
import type { KeyedEntry } from '../../../ports/common/keyedLog.ts'
import type { RegistryProtocol } from '../../../ports/common/protocols.ts'
import type { TailServices, TailSettings } from '../store/keyedTail.ts'
import { KeyedTail } from '../store/keyedTail.ts'
import { UnusableKeys } from './unusableKeys.ts'

/** A named version with the monotonic time at which this host received it. */
export interface NamedVersion extends ModelVersion {
  readonly learnedAt: number
}

export class OperatorTopic implements Disposable {
  private readonly tail: KeyedTail
  private current: RouteTable | undefined
  private readonly namedVersions = new Map<string, NamedVersion>()
  private readonly unreadableKeys = new UnusableKeys()
  private readonly changes = new Emitter<void>()
  readonly onChange = this.changes.event

  constructor (private readonly services: TailServices, settings: TailSettings, private readonly protocol: RegistryProtocol) {
    const take = (entries: readonly KeyedEntry[]): void => { for (const entry of entries) this.take(entry) }
    this.tail = new KeyedTail(services, settings, { reset: take, apply: take })
  }

  /** Routes in force; `undefined` until a configuration has been read. */
  get routes (): RouteTable | undefined {
    return this.current
  }

  get isLost (): boolean {
    return this.tail.isLost
  }

  /** Time at which the newest complete read was sent. */
  get readAt (): Instant | undefined {
    return this.tail.readAt
  }

  version (model: string): NamedVersion | undefined {
    return this.namedVersions.get(model)
  }

  start (): void {
    this.tail.start()
  }

  async whenLoaded (limitMs: number): Promise<boolean> {
    return await this.tail.whenLoaded(limitMs)
  }

  async catchUp (): Promise<boolean> {
    return await this.tail.catchUp()
  }

  dispose (): void {
    this.tail.dispose()
    this.changes.dispose()
  }

  private take (entry: KeyedEntry): void {
    const record = this.protocol.operatorRecord(entry)
    if (!record.ok) return this.reportUnreadable(entry, record.message)
    this.unreadableKeys.delete(entry.key)
    switch (record.value.type) {
      case 'configuration': return this.applyConfiguration(record.value.configuration, entry.offset)
      case 'named-version': return this.applyNamedVersion(record.value.named)
      case 'other': return undefined
    }
  }

  private reportUnreadable ({ key, offset }: KeyedEntry, error: string): void {
    this.services.metrics.count('operator.unreadable_records')
    if (this.unreadableKeys.add(key)) this.services.stateLog.alarm('record of the operator cannot be read', { key, offset, error })
  }

  private applyConfiguration (configuration: RouteConfiguration, offset: number): void {
    if (this.current !== undefined && configuration.version <= this.current.version) return
    this.services.stateLog.changed('configuration in force', { version: configuration.version, former: this.current?.version ?? 0, routes: configuration.routes.length, offset })
    this.current = new RouteTable(configuration)
    this.changes.fire()
  }

  private applyNamedVersion (named: ModelVersion): void {
    const known = this.namedVersions.get(named.model)
    if (known !== undefined && known.version >= named.version) return
    this.namedVersions.set(named.model, { ...named, learnedAt: this.services.clock.monotonic() })
    this.services.stateLog.changed('version named', { ...named })
    this.changes.fire()
  }
}
