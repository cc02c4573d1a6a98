/**
 * Whether this host reaches the store itself. After a failed call nothing more is sent into the
 * silence: short probes find out when the store answers again, and whoever waits hears it at once.
 * Otherwise each waiting call would run into its own time limit, and a host would notice the end of
 * an outage seconds late.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import type { Clock } from '../../../ports/common/clock.ts'

/** Time between two probes, in milliseconds: what the end of an outage is noticed late at most. */
const PROBE_MS = 150
/** Probes without an answer yet, at most. */
const MOST_PROBES = 3

export class StoreReach implements Disposable {
  private readonly regains = new Emitter<void>()
  readonly onRegained = this.regains.event
  private timer: Disposable | undefined
  private probes = 0

  /** @param probe asks the store something cheap; true if it answers within a short time */
  constructor (private readonly clock: Clock, private readonly probe: () => Promise<boolean>) {}

  get reached (): boolean {
    return this.timer === undefined
  }

  /** A call failed: probes until one is answered. */
  failed (): void {
    this.timer ??= this.clock.every(PROBE_MS, () => { this.probeOnce() })
  }

  dispose (): void {
    this.timer?.dispose()
    this.regains.dispose()
  }

  private probeOnce (): void {
    if (this.probes >= MOST_PROBES) return
    this.probes++
    this.probe().then((answered) => {
      this.probes--
      if (answered) this.regained()
    }, () => { this.probes-- })
  }

  private regained (): void {
    if (this.timer === undefined) return
    this.timer.dispose()
    this.timer = undefined
    this.regains.fire()
  }
}
