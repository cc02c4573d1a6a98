/**
 * Time in which this process wanted the processor and did not have it. Limits of time that a test checks are about what the program
 * waits for; beside busy processes its own turns come late as well, and that is taken off. Time in which the process itself was
 * busy is not.
 */

import type { Disposable } from '../../src/base/common/lifecycle.ts'

/** Time between two looks, in milliseconds: a wait is known to about this. */
const LOOK_MS = 5

interface Wait {
  readonly until: number
  readonly milliseconds: number
}

export class ProcessorWaits implements Disposable {
  private readonly waits: Wait[] = []
  private readonly timer: NodeJS.Timeout
  private lookedAt = performance.now()
  private spentMs = spentByProcess()

  constructor () {
    this.timer = setInterval(() => { this.look() }, LOOK_MS)
  }

  /** Milliseconds between two moments in which the process waited for its turn. */
  between (from: number, to: number): number {
    this.look()
    return this.waits.reduce((sum, { until, milliseconds }) => sum + Math.max(0, Math.min(to, until) - Math.max(from, until - milliseconds)), 0)
  }

  dispose (): void {
    clearInterval(this.timer)
  }

  private look (): void {
    const now = performance.now()
    const spentMs = spentByProcess()
    const milliseconds = now - this.lookedAt - LOOK_MS - (spentMs - this.spentMs)
    if (milliseconds > 0) this.waits.push({ until: now, milliseconds })
    this.lookedAt = now
    this.spentMs = spentMs
  }
}

function spentByProcess (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / 1000
}
