/**
 * A planned stop cuts off nothing. The host disappears from address answers at once and goes on
 * serving: callers keep an answer for a while and still come. Once every answer that named it has
 * lapsed, what is in flight has ended, and what the log must know is in it, the process may exit.
 */

import type { Clock } from '../../ports/common/clock.ts'
import { pause } from '../../ports/common/clock.ts'
import type { StateLog } from '../../ports/common/observation.ts'

/** What a stop waits for. */
export interface StopSteps {
  /** Tells the other hosts. */
  announce (): void
  /** Starts no more rollouts; others are home of them now. */
  stopStarting (): void
  endLeases (): Promise<void>
  /** What is still under way, by name. */
  underway (): Readonly<Record<string, number>>
  close (): Promise<void>
}

export interface StopSettings {
  readonly validForMs: number
  readonly timeoutMs: number
}

const LOOK_MS = 50

export class GracefulStop {
  private stopping: Promise<void> | undefined

  constructor (private readonly steps: StopSteps, private readonly settings: StopSettings, private readonly clock: Clock, private readonly stateLog: StateLog) {}

  get isStopping (): boolean {
    return this.stopping !== undefined
  }

  /** Stops; a second call waits for the first. */
  async stop (): Promise<void> {
    this.stopping ??= this.run()
    await this.stopping
  }

  private async run (): Promise<void> {
    const began = this.clock.monotonic()
    this.stateLog.changed('stop begins', { ...this.steps.underway() })
    this.steps.announce()
    this.steps.stopStarting()
    await Promise.all([pause(this.clock, this.settings.validForMs), this.steps.endLeases()])
    while (this.busy() && this.clock.monotonic() - began < this.settings.timeoutMs) await pause(this.clock, LOOK_MS)
    if (this.busy()) this.stateLog.alarm('stop does not wait longer', { ...this.steps.underway() })
    await Promise.race([this.steps.close(), pause(this.clock, this.settings.validForMs)])
    this.stateLog.changed('stop ends', { milliseconds: Math.round(this.clock.monotonic() - began) })
  }

  private busy (): boolean {
    return Object.values(this.steps.underway()).some((count) => count > 0)
  }
}
