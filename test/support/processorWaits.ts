/**
 * Measures the time in which this process was runnable but was not scheduled. Tests with time limits subtract it, so that load
 * from other processes does not make them fail. Time in which the process itself used the processor is not subtracted.
 */

import type { Disposable } from '../../src/base/common/lifecycle.ts'

/** Sampling interval, in milliseconds. It is also the approximate resolution of the measured waits. */
const SAMPLING_INTERVAL_MS = 5

interface ProcessorWait {
  readonly until: number
  readonly milliseconds: number
}

export class ProcessorWaits implements Disposable {
  private readonly waits: ProcessorWait[] = []
  private readonly timer: NodeJS.Timeout
  private sampledAt = performance.now()
  private usedMs = processorTimeMs()

  constructor () {
    this.timer = setInterval(() => { this.sample() }, SAMPLING_INTERVAL_MS)
  }

  /** Returns how long the process waited for the processor between two points in time, in milliseconds. */
  waitedMsBetween (from: number, to: number): number {
    this.sample()
    return this.waits.reduce((sum, { until, milliseconds }) => sum + Math.max(0, Math.min(to, until) - Math.max(from, until - milliseconds)), 0)
  }

  dispose (): void {
    clearInterval(this.timer)
  }

  private sample (): void {
    const now = performance.now()
    const usedMs = processorTimeMs()
    const milliseconds = now - this.sampledAt - SAMPLING_INTERVAL_MS - (usedMs - this.usedMs)
    if (milliseconds > 0) this.waits.push({ until: now, milliseconds })
    this.sampledAt = now
    this.usedMs = usedMs
  }
}

function processorTimeMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1000
}
