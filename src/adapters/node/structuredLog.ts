/**
 * Log lines by loglevel: one JSON object a line. Decisions on requests come as often as requests
 * do; beyond a number of lines a second they are dropped and counted, so that a burst costs lines
 * and not the requests that it consists of.
 */

import loglevel from 'loglevel'
import type { LogDetails, StateLog } from '../../ports/common/observation.ts'

/** Lines of decisions a second: a few times the requests that one small host serves. */
const DECISIONS_PER_SECOND = 100

export class StructuredLog implements StateLog {
  private readonly logger = loglevel.getLogger('bulrushvalve')
  private second = 0
  private written = 0
  private dropped = 0

  constructor (private readonly host: string, level: 'silent' | 'warn' | 'info') {
    this.logger.setLevel(level, false)
  }

  changed (what: string, details: LogDetails): void {
    this.logger.info(this.line('changed', what, details))
  }

  alarm (what: string, details: LogDetails): void {
    this.logger.warn(this.line('alarm', what, details))
  }

  decided (what: string, details: LogDetails): void {
    const second = Math.floor(performance.now() / 1000)
    if (second !== this.second) this.nextSecond(second)
    if (this.written >= DECISIONS_PER_SECOND) {
      this.dropped++
      return
    }
    this.written++
    this.logger.info(this.line('decided', what, details))
  }

  private nextSecond (second: number): void {
    this.second = second
    this.written = 0
    if (this.dropped === 0) return
    this.logger.info(this.line('changed', 'log lines dropped', { lines: this.dropped }))
    this.dropped = 0
  }

  private line (type: string, what: string, details: LogDetails): string {
    return JSON.stringify({ time: new Date().toISOString(), host: this.host, type, what, ...details })
  }
}
