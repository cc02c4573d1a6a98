/** Gauges of a host that serves routes, updated on each scrape. */

import type { ItemState } from '../../actors/common/steps/stepWork.ts'
import type { Metrics } from '../../ports/common/observation.ts'

export type ItemCounts = Readonly<Record<ItemState, number>>

/** The values that the gauges report. */
export interface HostGaugeValues {
  readonly duty: { readonly term: number, readonly alone: boolean }
  /** Number of caller requests in flight. */
  readonly requests: number
  readonly items: ItemCounts
  /** Number of records that the store has not confirmed. */
  readonly backlog: number
  /** Number of requests in quarantine because targets crashed while processing them. */
  readonly held: number
  /** Number of calls that wait for a target. Absent if calls do not wait in queues. */
  readonly queued?: number | undefined
  /** Last window up to which all usage is reported. Absent if this host does not know it. */
  readonly usageReportedThrough?: number | undefined
  readonly targets: { readonly known: number, readonly suspect: number }
}

/** Counts items by state. */
export function countItems (items: Iterable<{ readonly state: ItemState }>): ItemCounts {
  const counts = { waiting: 0, running: 0, scoring: 0, listing: 0 }
  for (const { state } of items) counts[state]++
  return counts
}

export function setGauges (metrics: Metrics, { duty, requests, items, backlog, held, queued, usageReportedThrough, targets }: HostGaugeValues): void {
  metrics.gauge('duty.term', duty.term)
  metrics.gauge('duty.alone', duty.alone ? 1 : 0)
  metrics.gauge('front.requests', requests)
  metrics.gauge('items.waiting', items.waiting)
  metrics.gauge('items.running', items.running)
  metrics.gauge('items.scoring', items.scoring)
  metrics.gauge('items.listing', items.listing)
  metrics.gauge('store.backlog', backlog)
  metrics.gauge('held.requests', held)
  if (queued !== undefined) metrics.gauge('queue.waiting', queued)
  if (usageReportedThrough !== undefined) metrics.gauge('usage.reported', usageReportedThrough)
  metrics.gauge('targets.known', targets.known)
  metrics.gauge('targets.suspect', targets.suspect)
}
