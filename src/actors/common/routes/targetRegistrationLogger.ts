/**
 * Logs targets that register themselves. While a deployment starts, the entries of its targets arrive one after the other at every
 * host: 45 targets at 90 hosts were 4,050 lines. After the first few, registrations that follow each other closely are
 * therefore collected for one line.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { TargetDefinition } from '../../../core/common/routes/target.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'

export interface TargetRegistrationLoggerServices {
  readonly clock: Clock
  readonly stateLog: StateLog
}

/** Registrations that are logged in lines of their own, as long as no more follow within `COLLECTION_MS`. */
const MAX_SINGLE_LINES = 3
/** Longer than the interval at which a target writes its entry and than that at which a host reads them, so that all targets that start together are collected. */
const COLLECTION_MS = 2500

export class TargetRegistrationLogger {
  private singleLines = 0
  private pending = new Map<string, TargetDefinition>()
  private timer: Disposable | undefined

  constructor (private readonly services: TargetRegistrationLoggerServices) {}

  log (definition: TargetDefinition): void {
    if (this.singleLines < MAX_SINGLE_LINES) {
      this.singleLines++
      this.logSingle(definition)
    } else {
      this.pending.set(definition.id, definition)
    }
    this.timer ??= this.services.clock.after(COLLECTION_MS, () => { this.endCollection() })
  }

  /** Logs the pending registrations if that of the given target is one of them. */
  flush (id: string): void {
    if (this.pending.has(id)) this.logPending()
  }

  /** Continues to collect as long as registrations keep arriving. */
  private endCollection (): void {
    this.timer = undefined
    if (this.pending.size === 0) this.singleLines = 0
    else this.timer = this.services.clock.after(COLLECTION_MS, () => { this.endCollection() })
    this.logPending()
  }

  private logPending (): void {
    const definitions = [...this.pending.values()]
    this.pending = new Map()
    const [first] = definitions
    if (definitions.length === 1 && first !== undefined) this.logSingle(first)
    else if (first !== undefined) this.services.stateLog.changed('targets registered', { ...summarizeTargets(definitions), ids: definitions.map(({ id }) => id).join(' ') })
  }

  private logSingle ({ id, service, place }: TargetDefinition): void {
    this.services.stateLog.changed('target registered', { target: id, service, place })
  }
}

/** Numbers of targets for a log line: in total, draining, and by service. */
export function summarizeTargets (definitions: readonly TargetDefinition[]): { targets: number, draining: number, services: string } {
  const counts = new Map<string, number>()
  for (const { service } of definitions) counts.set(service, (counts.get(service) ?? 0) + 1)
  const services = [...counts].sort(([a], [b]) => a < b ? -1 : 1).map(([service, count]) => `${service}:${count}`).join(' ')
  return { targets: definitions.length, draining: definitions.filter(({ draining }) => draining).length, services }
}
