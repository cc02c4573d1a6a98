/**
 * Writes to standard output without blocking. Node writes to pipes synchronously, so a reader that
 * stops reading would block the whole process. Here, one write at a time runs on another thread, and
 * lines that arrive in the meantime are buffered in memory.
 */

import { write } from 'node:fs'
import type { LineSink } from './structuredLog.ts'

const STANDARD_OUTPUT_DESCRIPTOR = 1
/** Delay before a failed write is repeated. */
const RETRY_DELAY_MS = 100

export class StandardOutput implements LineSink {
  private waiting: string[] = []
  private pendingCharacters = 0
  private writing = false

  constructor (private readonly descriptor: number = STANDARD_OUTPUT_DESCRIPTOR) {}

  get writableLength (): number {
    return this.pendingCharacters
  }

  write (line: string): void {
    this.waiting.push(line)
    this.pendingCharacters += line.length
    this.flush()
  }

  /** Resolves once all lines are written, or after `timeoutMs`. */
  async drained (timeoutMs: number): Promise<void> {
    const until = performance.now() + timeoutMs
    while (this.pendingCharacters > 0 && performance.now() < until) await new Promise((resolve) => setTimeout(resolve, 5))
  }

  private flush (): void {
    if (this.writing || this.waiting.length === 0) return
    this.writing = true
    const text = this.waiting.join('')
    this.waiting = []
    this.writeAll(Buffer.from(text), text.length)
  }

  private writeAll (bytes: Buffer, characters: number): void {
    write(this.descriptor, bytes, (error, written) => {
      if (error === null && written === bytes.length) {
        this.pendingCharacters -= characters
        this.writing = false
        return this.flush()
      }
      // A full non-blocking pipe fails with EAGAIN. A pipe without a reader fails permanently; the log then drops lines at its buffer limit.
      if (error === null) this.writeAll(bytes.subarray(written), characters)
      else setTimeout(() => { this.writeAll(bytes, characters) }, RETRY_DELAY_MS).unref()
    })
  }
}
