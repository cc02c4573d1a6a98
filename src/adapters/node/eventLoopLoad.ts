/** Measures how busy the event loop of this process is, as an estimate of its use of the processor. */

import type { EventLoopUtilization } from 'node:perf_hooks'
import { performance } from 'node:perf_hooks'
import type { Clock } from '../../ports/common/clock.ts'

interface Sample {
  readonly atMs: number
  readonly utilization: EventLoopUtilization
}

/** Period over which the load is averaged, in milliseconds. */
const AVERAGING_MS = 1000
/** Minimum time between two samples that are kept, in milliseconds, which bounds their number. */
const MIN_SAMPLE_INTERVAL_MS = 100

/** Takes its samples when it is queried, so that it needs no timer. */
export class EventLoopLoad {
  private readonly samples: Sample[]

  constructor (private readonly clock: Pick<Clock, 'monotonic'>, private readonly measure: typeof performance.eventLoopUtilization = performance.eventLoopUtilization.bind(performance)) {
    this.samples = [this.takeSample()]
  }

  /** Returns the fraction of the last second in which the event loop was busy, 0 to 1. If it was not queried for longer, the fraction since the last query. */
  fraction (): number {
    const current = this.takeSample()
    while (this.samples[1] !== undefined && current.atMs - this.samples[1].atMs >= AVERAGING_MS) this.samples.shift()
    const [former] = this.samples
    const latest = this.samples.at(-1)
    if (latest === undefined || current.atMs - latest.atMs >= MIN_SAMPLE_INTERVAL_MS) this.samples.push(current)
    return former === undefined ? 0 : this.measure(current.utilization, former.utilization).utilization
  }

  private takeSample (): Sample {
    return { atMs: this.clock.monotonic(), utilization: this.measure() }
  }
}
