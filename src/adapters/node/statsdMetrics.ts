/**
 * Sends metrics to a StatsD collector over UDP. Counters and gauges are also kept in memory, so that
 * `/v1/metrics` and `show status` work without a collector.
 */

import { StatsD } from 'hot-shots'
import type { Disposable } from '../../base/common/lifecycle.ts'
import type { Metrics } from '../../ports/common/observation.ts'

export class StatsdMetrics implements Metrics, Disposable {
  private readonly client: StatsD | undefined
  private readonly counters = new Map<string, number>()
  private readonly gauges = new Map<string, number>()

  /** @param address `IP:PORT` of the collector; `undefined` if there is none */
  constructor (address: string | undefined, host: string) {
    if (address === undefined) return
    const at = address.lastIndexOf(':')
    this.client = new StatsD({
      host: address.slice(0, at),
      port: Number(address.slice(at + 1)),
      prefix: 'bulrushvalve.',
      globalTags: { host },
      maxBufferSize: 1400,
      errorHandler: () => { this.counters.set('metrics.unsent', (this.counters.get('metrics.unsent') ?? 0) + 1) }
    })
  }

  count (name: string, by = 1): void {
    this.counters.set(name, (this.counters.get(name) ?? 0) + by)
    this.client?.increment(name, by)
  }

  gauge (name: string, value: number): void {
    this.gauges.set(name, value)
    this.client?.gauge(name, value)
  }

  timing (name: string, milliseconds: number): void {
    this.client?.timing(name, milliseconds)
  }

  /** Returns the counters accumulated since the start and the current gauges. */
  values (): Record<string, number> {
    return Object.fromEntries([...this.counters, ...this.gauges])
  }

  dispose (): void {
    this.client?.close()
  }
}
