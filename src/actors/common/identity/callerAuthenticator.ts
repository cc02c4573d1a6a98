/**
 * Authenticates callers by their keys. If the configuration that this host has read is too old for a decision, the host reads it once
 * more, with one read for all waiting callers. While the store is unavailable, the request is rejected at once with a retry hint.
 */

import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import { decideAccess } from '../../../core/common/identity/access.ts'
import type { Instant } from '../../../base/common/instant.ts'
import type { CallerIdentity, PresentedKey } from '../../../core/common/identity/workspaces.ts'
import { workspaceOf } from '../../../core/common/identity/workspaces.ts'
import type { RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import { currentInstant } from '../../../ports/common/clock.ts'

/** The view of the operator's topic that authentication needs. */
export interface ConfigurationSource {
  readonly routes: RouteTable | undefined
  /** Time at which the newest complete read was sent. */
  readonly readAt: Instant | undefined
  readonly isLost: boolean
  /** Reads to the end of the topic; resolves to false if that failed. */
  catchUp (): Promise<boolean>
}

export interface CallerAuthenticatorServices {
  readonly operator: ConfigurationSource
  readonly clock: Clock
}

export interface CallerAuthenticatorSettings {
  /** How long a key may be accepted after the configuration was read; unlimited if undefined. */
  readonly maxRevocationDelayMs: number | undefined
}

/** Limit of the wait for a read of the configuration; it is short because a caller is waiting and another host may be up to date. */
const READ_TIMEOUT_MS = 200
/** Retry hint while this host cannot reach the store; outages last for seconds, but other hosts may still reach the store. */
const STORE_LOST_RETRY_AFTER_MS = 1000
/** Retry hint while a read of this host is late. */
const SLOW_READ_RETRY_AFTER_MS = 300

export class CallerAuthenticator {
  private pendingRead: Promise<boolean> | undefined

  constructor (private readonly services: CallerAuthenticatorServices, private readonly settings: CallerAuthenticatorSettings) {}

  async authenticate (key: PresentedKey, isPublic: boolean): Promise<Result<CallerIdentity>> {
    const first = this.decide(key, isPublic)
    if (first.type === 'granted') return success(first.caller)
    if (first.type === 'denied') return failure('unauthenticated', first.why)
    if (this.services.operator.isLost || !await this.catchUpWithTimeout()) return this.staleFailure(first.why)
    const second = this.decide(key, isPublic)
    switch (second.type) {
      case 'granted': return success(second.caller)
      case 'denied': return failure('unauthenticated', second.why)
      case 'unsure': return this.staleFailure(second.why)
    }
  }

  /** Checks a caller whom this host has accepted before against the configuration in force, without reading a newer one. */
  recheck (key: PresentedKey, isPublic: boolean, accepted: CallerIdentity): Failure | undefined {
    const decision = this.decide(key, isPublic)
    switch (decision.type) {
      case 'granted': return workspaceOf(decision.caller) === workspaceOf(accepted) ? undefined : failure('stale', 'the key now belongs to another workspace', { retryAfterMs: 0 })
      case 'denied': return failure('unauthenticated', decision.why)
      // The configuration that listed the key is older than the one in force, so a key that is not listed was revoked.
      case 'unsure': return this.isListed(key) ? this.staleFailure(decision.why) : failure('unauthenticated', 'the key was revoked')
    }
  }

  private isListed (key: PresentedKey): boolean {
    return key.type === 'key' && this.services.operator.routes?.keys?.findWorkspace(key.digest) !== undefined
  }

  private decide (key: PresentedKey, isPublic: boolean): ReturnType<typeof decideAccess> {
    const { operator, clock } = this.services
    return decideAccess({ key, isPublic, keys: operator.routes?.keys, readAt: operator.readAt, now: currentInstant(clock), revocationMs: this.settings.maxRevocationDelayMs })
  }

  private staleFailure (why: string): Failure {
    return failure('stale', why, { retryAfterMs: this.services.operator.isLost ? STORE_LOST_RETRY_AFTER_MS : SLOW_READ_RETRY_AFTER_MS })
  }

  /** Joins the read in progress, or starts one. */
  private async catchUpWithTimeout (): Promise<boolean> {
    this.pendingRead ??= this.services.operator.catchUp().finally(() => { this.pendingRead = undefined })
    const { pendingRead: reading } = this
    return await new Promise<boolean>((resolve) => {
      const timer = this.services.clock.after(READ_TIMEOUT_MS, () => { resolve(false) })
      const done = (read: boolean): void => {
        timer.dispose()
        resolve(read)
      }
      reading.then(done, () => { done(false) })
    })
  }
}
