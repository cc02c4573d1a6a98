/** Log lines by loglevel: one JSON object a line, only for changes of state. */

import loglevel from 'loglevel'
import type { StateLog } from '../../ports/common/observation.ts'

type Details = Readonly<Record<string, string | number | boolean>>

export class StructuredLog implements StateLog {
  private readonly logger = loglevel.getLogger('bulrushvalve')

  constructor (private readonly host: string, level: 'silent' | 'warn' | 'info') {
    this.logger.setLevel(level, false)
  }

  changed (what: string, details: Details): void {
    this.logger.info(this.line('changed', what, details))
  }

  alarm (what: string, details: Details): void {
    this.logger.warn(this.line('alarm', what, details))
  }

  private line (type: string, what: string, details: Details): string {
    return JSON.stringify({ time: new Date().toISOString(), host: this.host, type, what, ...details })
  }
}
