/** Logs when the queue of a service begins to hold calls and when it is empty again, with what happened in between. */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { CallQueue } from '../../../core/common/calls/callQueue.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'

/** Time without waiting calls after which a queue counts as empty. Queues that hold a call now and then would otherwise write two lines for each. */
const EMPTY_AFTER_MS = 1000

interface HoldingPeriod {
  readonly beganAt: number
  /** Runs while the queue is empty. */
  end: Disposable | undefined
}

export class QueueLog implements Disposable {
  private readonly periods = new Map<string, HoldingPeriod>()

  constructor (private readonly services: { readonly clock: Clock, readonly stateLog: StateLog }, private readonly queue: CallQueue) {}

  /** A call was offered to a service's queue. */
  recordOffer (service: string): void {
    if (this.periods.has(service)) return
    const { clock, stateLog } = this.services
    this.periods.set(service, { beganAt: clock.monotonic(), end: undefined })
    stateLog.changed('queue holds calls', { service, drainRate: this.drainRate(service) })
  }

  /** The number of calls that wait for a service may have changed. */
  recordChange (service: string): void {
    const period = this.periods.get(service)
    if (period === undefined) return
    if (this.queue.waitingCount(service) > 0) {
      period.end?.dispose()
      period.end = undefined
    } else {
      const drainRate = this.drainRate(service)
      period.end ??= this.services.clock.after(EMPTY_AFTER_MS, () => { this.logEnd(service, period, drainRate) })
    }
  }

  dispose (): void {
    for (const { end } of this.periods.values()) end?.dispose()
    this.periods.clear()
  }

  private logEnd (service: string, { beganAt }: HoldingPeriod, drainRate: number): void {
    this.periods.delete(service)
    const { maxWaiting, started, dropped } = this.queue.takeTally(service)
    const refused = [...dropped].map(([reason, count]) => `${reason}:${count}`).join(' ')
    this.services.stateLog.changed('queue is empty', { service, maxWaiting, served: started, refused, drainRate, tookMs: Math.round(this.services.clock.monotonic() - beganAt - EMPTY_AFTER_MS) })
  }

  /** Starts per second, with one decimal. */
  private drainRate (service: string): number {
    return Math.round(this.queue.drainRate(service, this.services.clock.monotonic()) * 10) / 10
  }
}
