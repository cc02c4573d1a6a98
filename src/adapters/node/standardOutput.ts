/**
 * Standard output that never blocks. Node writes to a pipe synchronously, so a reader that stops
 * reading would stop the whole process; here one write at a time is handed to another thread, and
 * what comes meanwhile waits in memory.
 */

import { write } from 'node:fs'
import type { LineSink } from './structuredLog.ts'

const STANDARD_OUTPUT = 1
/** Time after a failed write, in milliseconds. */
const RETRY_MS = 100

export class StandardOutput implements LineSink {
  private waiting: string[] = []
  private length = 0
  private writing = false

  constructor (private readonly descriptor: number = STANDARD_OUTPUT) {}

  get writableLength (): number {
    return this.length
  }

  write (line: string): void {
    this.waiting.push(line)
    this.length += line.length
    this.flush()
  }

  /** Resolves once everything is written, or after a time. */
  async drained (timeoutMs: number): Promise<void> {
    const until = performance.now() + timeoutMs
    while (this.length > 0 && performance.now() < until) await new Promise((resolve) => setTimeout(resolve, 5))
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
        this.length -= characters
        this.writing = false
        return this.flush()
      }
      // A pipe that is full and does not block says EAGAIN; one without a reader fails for good, and its lines are left out by the log's bound.
      if (error === null) this.writeAll(bytes.subarray(written), characters)
      else setTimeout(() => { this.writeAll(bytes, characters) }, RETRY_MS).unref()
    })
  }
}
