/**
 * Collects garbage before it fills the memory of the machine. The engine does not know how much memory that is: it lets the
 * heap grow to its limit, and some 60 MB of unused buffers accumulate.
 */

import { getHeapStatistics } from 'node:v8'
import type { Clock } from '../../ports/common/clock.ts'
import type { Metrics } from '../../ports/common/observation.ts'

/** Growth of the heap and of buffers after which another collection frees something. */
const MIN_GROWTH_BYTES = 10_485_760

export interface GarbageCollectorServices {
  readonly clock: Pick<Clock, 'monotonic'>
  readonly metrics: Pick<Metrics, 'count'>
}

export interface Engine {
  /** Size of the heap and of buffers. */
  heapBytes (): number
  /** Runs a collection. Absent unless the engine was started with `--expose-gc`. */
  readonly collect: (() => void) | undefined
}

const engineOfProcess: Engine = {
  heapBytes: () => {
    const { total_heap_size: heapBytes, external_memory: bufferBytes } = getHeapStatistics()
    return heapBytes + bufferBytes
  },
  collect: globalThis.gc
}

export class GarbageCollector {
  private nextAt = Number.NEGATIVE_INFINITY
  /** Size after the latest collection, or the lowest since then. */
  private lowestBytes = Number.POSITIVE_INFINITY

  /** @param collectAboveBytes size of the heap and of buffers above which garbage is collected; `undefined` for never */
  constructor (private readonly services: GarbageCollectorServices, private readonly collectAboveBytes: number | undefined, private readonly engine: Engine = engineOfProcess) {}

  /** Collects garbage if there may be much of it. */
  collectIfNeeded (): void {
    const now = this.services.clock.monotonic()
    if (this.engine.collect === undefined || this.collectAboveBytes === undefined || now < this.nextAt) return
    const bytes = this.engine.heapBytes()
    this.lowestBytes = Math.min(this.lowestBytes, bytes)
    if (bytes < this.collectAboveBytes || bytes < this.lowestBytes + MIN_GROWTH_BYTES) return
    this.services.metrics.count('memory.collections')
    this.engine.collect()
    this.lowestBytes = this.engine.heapBytes()
    const collectedAt = this.services.clock.monotonic()
    // Collections take at most half of the processor time.
    this.nextAt = collectedAt + (collectedAt - now)
  }
}
