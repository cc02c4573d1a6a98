/**
 * Bounds the memory of answers that are being received. The time limit of a request does not bound it: a target that sends
 * without end fills the limit of one answer within some milliseconds, and requests are sent to many targets at once.
 */

import type { Readable } from 'node:stream'

export class AnswerBuffers {
  /** Bytes received so far, by body. */
  private readonly sizes = new Map<Readable, number>()
  private total = 0

  /** @param maximumTotalBytes limit of all answers together; if it is exceeded, the largest unfinished answer fails */
  constructor (private readonly maximumTotalBytes: number) {}

  /** Reads a whole body. Rejects if it breaks off or exceeds a limit. */
  async read (body: Readable, maximumBytes = Number.POSITIVE_INFINITY): Promise<Uint8Array> {
    const chunks: Uint8Array[] = []
    this.sizes.set(body, 0)
    try {
      for await (const chunk of body as AsyncIterable<Uint8Array>) {
        chunks.push(chunk)
        const size = this.add(body, chunk.length)
        if (size > maximumBytes) throw new Error(`the answer is larger than ${maximumBytes} bytes`)
        if (this.total > this.maximumTotalBytes) this.failLargest()
      }
    } finally {
      this.total -= this.sizes.get(body) ?? 0
      this.sizes.delete(body)
    }
    return chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks)
  }

  private add (body: Readable, bytes: number): number {
    const size = (this.sizes.get(body) ?? 0) + bytes
    this.sizes.set(body, size)
    this.total += bytes
    return size
  }

  private failLargest (): void {
    const [largest] = [...this.sizes].sort(([, a], [, b]) => b - a)[0] ?? []
    largest?.destroy(new Error(`the answers that are being received are larger than ${this.maximumTotalBytes} bytes together`))
  }
}
