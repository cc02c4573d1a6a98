/**
 * Memory that clients occupy at all addresses of a host: large request heads, request bodies, and responses that wait to be
 * read. Bodies are stored in blocks that are used again instead of left to the garbage collector, which frees them too
 * late for the limit to hold.
 */

import type { Failure } from '../../base/common/resultCode.ts'
import type { MemoryHolder } from '../../core/common/overload/memoryBudget.ts'
import { MemoryBudget } from '../../core/common/overload/memoryBudget.ts'
import type { Clock } from '../../ports/common/clock.ts'

/** Size of the parts in which memory for bodies is reserved. */
export const BLOCK_BYTES = 4096
/** Number of unused blocks that are kept while no client holds memory. */
const MAX_IDLE_BLOCKS = 256
/**
 * Part of the memory that is for request heads. The heap and the allocator do not return freed memory for each other's use
 * at once, so that the most that heads and bodies have occupied adds up, also if they do so one after the other.
 */
const HEAD_PART = 0.15
/** Room for at least one head of the largest default size, so that a small limit does not reject every large head. */
const MIN_HEAD_BYTES = 262_144
/** Part of the memory that is in use when little is left for garbage. */
const PRESSURE_PART = 0.25
/** Time without progress after which a client gives up its memory for the request of another. */
const STALLED_MS = 1000

/** Failure of a request for which there is no memory. */
export const MEMORY_USED_UP: Failure & { readonly code: 'overloaded' } = { ok: false, code: 'overloaded', message: 'the memory of this host for requests is used up' }

export class ClientMemory {
  /** Memory for large request heads. */
  readonly heads: MemoryShare
  /** Memory for request bodies, and for responses that wait to be read. */
  readonly contents: MemoryShare
  private readonly unusedBlocks: Buffer[] = []

  /**
   * @param maximumBytes limit on the memory of all clients
   * @param onPressure called when memory is reserved while much of it is in use
   */
  constructor (clock: Pick<Clock, 'monotonic'>, maximumBytes: number, private readonly onPressure: () => void = () => undefined) {
    const headPartBytes = Math.floor(maximumBytes * HEAD_PART)
    const pressureBytes = maximumBytes * PRESSURE_PART
    const onChange = (): void => {
      this.limitUnusedBlocks()
      if (this.heads.usedBytes + this.contents.usedBytes > pressureBytes) this.onPressure()
    }
    this.heads = new MemoryShare(clock, Math.max(headPartBytes, MIN_HEAD_BYTES), onChange)
    this.contents = new MemoryShare(clock, maximumBytes - headPartBytes, onChange)
  }

  /** Returns a block, or `undefined` if the limit does not allow it. */
  takeBlock (): Buffer | undefined {
    // Taken first, as a reservation releases unused blocks for which no memory is left.
    const block = this.unusedBlocks.pop()
    if (this.contents.reserveForRequest(BLOCK_BYTES)) return block ?? Buffer.allocUnsafeSlow(BLOCK_BYTES)
    if (block !== undefined) this.unusedBlocks.push(block)
    return undefined
  }

  returnBlocks (blocks: readonly Buffer[]): void {
    for (const block of blocks) this.unusedBlocks.push(block)
    this.contents.free(blocks.length * BLOCK_BYTES)
  }

  /** Unused blocks occupy memory too, so that they give way to other contents. */
  private limitUnusedBlocks (): void {
    const maximum = this.contents.holderCount === 0 ? MAX_IDLE_BLOCKS : Math.floor(this.contents.availableBytes / BLOCK_BYTES)
    this.unusedBlocks.length = Math.min(this.unusedBlocks.length, maximum)
  }
}

/** A part of the memory of clients with a limit of its own. */
export class MemoryShare {
  private readonly budget: MemoryBudget

  /** @param onChange called when memory has been taken or refused, or a client can no longer give up any */
  constructor (private readonly clock: Pick<Clock, 'monotonic'>, maximumBytes: number, private readonly onChange: () => void) {
    this.budget = new MemoryBudget(maximumBytes)
  }

  get usedBytes (): number {
    return this.budget.usedBytes
  }

  get availableBytes (): number {
    return this.budget.availableBytes
  }

  /** Number of clients that can give up memory. */
  get holderCount (): number {
    return this.budget.holderCount
  }

  /** Reserves memory for a request that is arriving. Returns false if there is not enough. */
  reserveForRequest (bytes: number): boolean {
    return this.reserve(bytes, STALLED_MS)
  }

  /** Reserves memory for a response that waits to be read. It takes precedence over requests that are still arriving, as its work is done. */
  reserveForResponse (bytes: number): boolean {
    return this.reserve(bytes, 0)
  }

  /** Counts memory that is occupied already, also above the limit. */
  add (bytes: number): void {
    this.budget.add(bytes)
    this.onChange()
  }

  free (bytes: number): void {
    this.budget.free(bytes)
  }

  /** Adds a client that can give up its memory, or notes that it has been active. */
  noteActivity (holder: MemoryHolder): void {
    this.budget.touch(holder, this.clock.monotonic())
  }

  remove (holder: MemoryHolder): void {
    this.budget.remove(holder)
    this.onChange()
  }

  private reserve (bytes: number, minimumStalledMs: number): boolean {
    const isReserved = this.budget.reserve({ bytes, now: this.clock.monotonic(), minimumStalledMs })
    this.onChange()
    return isReserved
  }
}
