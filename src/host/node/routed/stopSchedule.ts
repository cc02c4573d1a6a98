/** Times of a graceful stop: how long the host still accepts callers, and when it ends the requests that are left. */

import type { Clock } from '../../../ports/common/clock.ts'
import type { RoutedSettings } from '../../../settings/common/routedSettings.ts'
import { stopEndMs } from '../../../settings/common/routedSettings.ts'

export class StopSchedule {
  private startedAtMs: number | undefined
  private readonly endMs: number
  /** How long a stopping host accepts new connections. */
  readonly servingMs: number

  constructor (private readonly clock: Clock, limits: RoutedSettings['limits']) {
    this.endMs = stopEndMs(limits)
    this.servingMs = Math.min(limits.stop_serving, this.endMs)
  }

  get isStopping (): boolean {
    return this.startedAtMs !== undefined
  }

  /** Time since the stop began. */
  get elapsedMs (): number {
    return this.startedAtMs === undefined ? 0 : this.clock.monotonic() - this.startedAtMs
  }

  /** Time until requests are ended; infinite unless the host is stopping. */
  get remainingMs (): number {
    return this.startedAtMs === undefined ? Number.POSITIVE_INFINITY : Math.max(0, this.endMs - this.elapsedMs)
  }

  begin (): void {
    this.startedAtMs ??= this.clock.monotonic()
  }
}
