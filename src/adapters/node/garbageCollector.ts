/**
 * Collects garbage before it fills the memory of the machine. The engine does not know how much memory that is: it lets the
 * heap grow to its limit, and some 60 MB of unused buffers accumulate.
 */

import { getHeapStatistics } from 'node:v8'
import type { Clock } from '../../ports/common/clock.ts'
import type { Metrics } from '../../ports/common/observation.ts'

/** Shortest time between two collections. */
const MIN_INTERVAL_MS = 100
/** The time between two collections is at least this multiple of the duration of the first, which bounds their part of the processor time. */
const MIN_INTERVAL_FACTOR = 4

export interface GarbageCollectorServices {
  readonly clock: Pick<Clock, 'monotonic'>
  readonly metrics: Pick<Metrics, 'count'>
}

export class GarbageCollector {
  private nextAt = Number.NEGATIVE_INFINITY

  /**
   * @param collectAboveBytes size of the heap and of buffers above which garbage is collected
   * @param collect runs a collection; by default that of an engine started with `--expose-gc`
   */
  constructor (private readonly services: GarbageCollectorServices, private readonly collectAboveBytes: number | undefined, private readonly collect: (() => void) | undefined = globalThis.gc) {}

  /** Collects garbage if there may be much of it. */
  collectIfNeeded (): void {
    const now = this.services.clock.monotonic()
    if (this.collect === undefined || this.collectAboveBytes === undefined || now < this.nextAt) return
    const { total_heap_size: heapBytes, external_memory: bufferBytes } = getHeapStatistics()
    if (heapBytes + bufferBytes < this.collectAboveBytes) return
    this.services.metrics.count('memory.collections')
    this.collect()
    const collectedAt = this.services.clock.monotonic()
    this.nextAt = collectedAt + Math.max(MIN_INTERVAL_MS, MIN_INTERVAL_FACTOR * (collectedAt - now))
  }
}
