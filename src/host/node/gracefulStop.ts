/**
 * Stops a host without interrupting work in flight. The host disappears from address answers at once
 * but goes on serving, as callers cache an answer for a while and still connect. The process may exit
 * once every answer that named the host has expired, all work in flight has ended, and all pending
 * records have been appended to the log.
 */

import type { Clock } from '../../ports/common/clock.ts'
import { pause } from '../../ports/common/clock.ts'
import type { StateLog } from '../../ports/common/observation.ts'

/** The actions of a graceful stop, and the work that it waits for. */
export interface StopActions {
  /** Tells the other hosts that this host is leaving. */
  announce (): void
  /** Starts no more rollouts, as other hosts are now responsible for them. */
  stopStartingRollouts (): void
  endLeases (): Promise<void>
  /** Counts of the work in flight, by kind. */
  inFlight (): Readonly<Record<string, number>>
  close (): Promise<void>
}

export interface StopSettings {
  readonly addressValidForMs: number
  readonly timeoutMs: number
}

const POLL_INTERVAL_MS = 50

export class GracefulStop {
  private stopping: Promise<void> | undefined

  constructor (private readonly actions: StopActions, private readonly settings: StopSettings, private readonly clock: Clock, private readonly stateLog: StateLog) {}

  get isStopping (): boolean {
    return this.stopping !== undefined
  }

  /** Stops the host. A second call waits for the first to complete. */
  async stop (): Promise<void> {
    this.stopping ??= this.run()
    await this.stopping
  }

  private async run (): Promise<void> {
    const startedAtMs = this.clock.monotonic()
    this.stateLog.changed('stop begins', { ...this.actions.inFlight() })
    this.actions.announce()
    this.actions.stopStartingRollouts()
    await Promise.all([pause(this.clock, this.settings.addressValidForMs), this.actions.endLeases()])
    while (this.hasWorkInFlight() && this.clock.monotonic() - startedAtMs < this.settings.timeoutMs) await pause(this.clock, POLL_INTERVAL_MS)
    if (this.hasWorkInFlight()) this.stateLog.alarm('stop does not wait longer', { ...this.actions.inFlight() })
    await Promise.race([this.actions.close(), pause(this.clock, this.settings.addressValidForMs)])
    this.stateLog.changed('stop ends', { milliseconds: Math.round(this.clock.monotonic() - startedAtMs) })
  }

  private hasWorkInFlight (): boolean {
    return Object.values(this.actions.inFlight()).some((count) => count > 0)
  }
}
