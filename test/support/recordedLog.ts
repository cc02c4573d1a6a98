/** A state log that records its lines. */

import type { LogDetails, StateLog } from '../../src/ports/common/observation.ts'

export interface RecordedLine {
  readonly what: string
  readonly details: LogDetails
}

export class RecordedLog implements StateLog {
  readonly lines: RecordedLine[] = []

  changed (what: string, details: LogDetails): void {
    this.lines.push({ what, details })
  }

  alarm (what: string, details: LogDetails): void {
    this.lines.push({ what, details })
  }

  decided (what: string, details: LogDetails): void {
    this.lines.push({ what, details })
  }

  /** Returns the details of all lines with an event name. */
  detailsOf (what: string): LogDetails[] {
    return this.lines.flatMap((line) => line.what === what ? [line.details] : [])
  }
}
