/** Writes what a case sends, receives and observes to `record.txt` in the folder of the case. */

import { appendFileSync, writeFileSync } from 'node:fs'

export class Journal {
  private readonly startedAt = Date.now()

  constructor (private readonly path: string) {
    writeFileSync(path, '')
  }

  write (line: string): void {
    appendFileSync(this.path, `${((Date.now() - this.startedAt) / 1000).toFixed(2).padStart(7)} s  ${line}\n`)
  }
}
