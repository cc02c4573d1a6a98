/**
 * Follows what operators and trainers write: the configuration and the named versions of weights.
 * Neither ever goes back: what is older than what is in force is passed over, wherever it comes from.
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
import { TroubledKeys } from './troubledKeys.ts'

/** A named version and the monotonic time at which this host learned of it. */
export interface NamedVersion extends ModelVersion {
  readonly learnedAt: number
}

export class OperatorTopic implements Disposable {
  private readonly tail: KeyedTail
  private current: RouteTable | undefined
  private readonly named = new Map<string, NamedVersion>()
  private readonly unreadable = new TroubledKeys()
  private readonly changes = new Emitter<void>()
  readonly onChange = this.changes.event

  constructor (private readonly services: TailServices, settings: TailSettings, private readonly protocol: RegistryProtocol) {
    const take = (entries: readonly KeyedEntry[]): void => { for (const entry of entries) this.take(entry) }
    this.tail = new KeyedTail(services, settings, { reset: take, apply: take })
  }

  /** Routes in force; absent until a configuration was read. */
  get routes (): RouteTable | undefined {
    return this.current
  }

  get isLost (): boolean {
    return this.tail.isLost
  }

  /** When the newest complete read was sent. */
  get readAt (): Instant | undefined {
    return this.tail.readAt
  }

  version (model: string): NamedVersion | undefined {
    return this.named.get(model)
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
    if (!record.ok) return this.passOver(entry, record.message)
    this.unreadable.leave(entry.key)
    switch (record.value.type) {
      case 'configuration': return this.enforce(record.value.configuration, entry.offset)
      case 'named-version': return this.name(record.value.named)
      case 'other': return undefined
    }
  }

  private passOver ({ key, offset }: KeyedEntry, error: string): void {
    this.services.metrics.count('operator.unreadable_records')
    if (this.unreadable.enter(key)) this.services.stateLog.alarm('record of the operator cannot be read', { key, offset, error })
  }

  private enforce (configuration: RouteConfiguration, offset: number): void {
    if (this.current !== undefined && configuration.version <= this.current.version) return
    this.services.stateLog.changed('configuration in force', { version: configuration.version, former: this.current?.version ?? 0, routes: configuration.routes.length, offset })
    this.current = new RouteTable(configuration)
    this.changes.fire()
  }

  private name (named: ModelVersion): void {
    const known = this.named.get(named.model)
    if (known !== undefined && known.version >= named.version) return
    this.named.set(named.model, { ...named, learnedAt: this.services.clock.monotonic() })
    this.services.stateLog.changed('version named', { ...named })
    this.changes.fire()
  }
}
