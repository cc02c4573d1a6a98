/**
 * Admits callers by their keys. Where what this host has read of the configuration is too old to tell, it reads once more, for
 * all who wait together; while the store is away the request is rejected at once, with when to come back.
 */

import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import { decideAccess } from '../../../core/common/identity/access.ts'
import type { Instant } from '../../../base/common/instant.ts'
import type { CallerIdentity, PresentedKey } from '../../../core/common/identity/workspaces.ts'
import type { RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import { nowOf } from '../../../ports/common/clock.ts'

/** What a gate reads of the operator's topic. */
export interface ConfigurationSource {
  readonly routes: RouteTable | undefined
  /** When the newest complete read was sent. */
  readonly readAt: Instant | undefined
  readonly isLost: boolean
  /** Reads to the end; false if that failed. */
  catchUp (): Promise<boolean>
}

export interface CallerGateServices {
  readonly operator: ConfigurationSource
  readonly clock: Clock
}

export interface CallerGateSettings {
  /** How long a key may be accepted after the configuration was read, in milliseconds; absent: for any time. */
  readonly revocationMs: number | undefined
}

/** Longest wait for a read of the configuration, in milliseconds: a caller waits for it, and another host may know more. */
const READ_LIMIT_MS = 200
/** When to come back to a host that does not reach the store, in milliseconds: outages last for seconds, other hosts may be in touch. */
const LOST_RETRY_MS = 1000
/** When to come back to a host whose read is late, in milliseconds. */
const LATE_RETRY_MS = 300

export class CallerGate {
  private reading: Promise<boolean> | undefined

  constructor (private readonly services: CallerGateServices, private readonly settings: CallerGateSettings) {}

  async admit (key: PresentedKey, isPublic: boolean): Promise<Result<CallerIdentity>> {
    const first = this.decide(key, isPublic)
    if (first.type === 'granted') return success(first.caller)
    if (first.type === 'denied') return failure('unauthenticated', first.why)
    if (this.services.operator.isLost || !await this.readSoon()) return this.unsure(first.why)
    const second = this.decide(key, isPublic)
    switch (second.type) {
      case 'granted': return success(second.caller)
      case 'denied': return failure('unauthenticated', second.why)
      case 'unsure': return this.unsure(second.why)
    }
  }

  private decide (key: PresentedKey, isPublic: boolean): ReturnType<typeof decideAccess> {
    const { operator, clock } = this.services
    return decideAccess({ key, isPublic, keys: operator.routes?.keys, readAt: operator.readAt, now: nowOf(clock), revocationMs: this.settings.revocationMs })
  }

  private unsure (why: string): Failure {
    return failure('stale', why, { retryAfterMs: this.services.operator.isLost ? LOST_RETRY_MS : LATE_RETRY_MS })
  }

  /** Joins a read that is under way, else begins one. */
  private async readSoon (): Promise<boolean> {
    this.reading ??= this.services.operator.catchUp().finally(() => { this.reading = undefined })
    const { reading } = this
    return await new Promise<boolean>((resolve) => {
      const timer = this.services.clock.after(READ_LIMIT_MS, () => { resolve(false) })
      const done = (read: boolean): void => {
        timer.dispose()
        resolve(read)
      }
      reading.then(done, () => { done(false) })
    })
  }
}
