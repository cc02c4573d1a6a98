/**
 * Writes log lines as one JSON object per line, without ever waiting for a reader. Decision lines
 * occur as often as requests, so they are rate-limited: lines above the limit are dropped and counted by
 * event, so that a burst of requests costs log lines and not requests. The limit grows with the number of
 * items in progress. Failures have a separate limit, and events that explain the outcome of a step the
 * largest one, as they are needed for diagnosis.
 */

import loglevel from 'loglevel'
import type { DecidedEvent } from '../../base/common/logEvents.ts'
import { highPriorityEvents } from '../../base/common/logEvents.ts'
import type { LogDetails, StateLog } from '../../ports/common/observation.ts'

/** A few times the request rate of a small host. */
const BASE_ROUTINE_LINES_PER_SECOND = 100
/** An item runs for a second or more and then logs two lines: the end of its run and its result. */
const ROUTINE_LINES_PER_SECOND_PER_ITEM = 1
/** Upper bound regardless of the number of items, so that logging stays a small part of the load of a busy host. */
const MAX_ROUTINE_LINES_PER_SECOND = 500
/** Reserved for events about steps: a few lines for each step, and one for each of its items that is lost. */
const MAX_HIGH_PRIORITY_LINES_PER_SECOND = 400
/** Reserved for decisions that explain a failure. */
const MAX_FAILURE_LINES_PER_SECOND = 100
/** Limit of buffered output: a few seconds at the maximum line rate. */
const MAX_UNREAD_CHARACTERS = 512 * 1024

/** Destination of log lines: standard output, or a test double. */
export interface LineSink {
  /** Number of characters that were written but not yet read. */
  readonly writableLength: number
  write (line: string): void
}

export class StructuredLog implements StateLog {
  private readonly logger: loglevel.Logger
  private second = 0
  private routineLines = 0
  private failureLines = 0
  private highPriorityLines = 0
  private routineLineLimit = BASE_ROUTINE_LINES_PER_SECOND
  private dropped = new Map<string, number>()

  constructor (private readonly host: string, level: 'silent' | 'warn' | 'info', private readonly sink: LineSink = process.stdout, private readonly itemsInProgress: () => number = () => 0) {
    this.logger = loglevel.getLogger(`bulrushvalve ${host}`)
    this.logger.methodFactory = () => (line: string) => { this.write(line) }
    this.logger.setLevel(level, false)
  }

  changed (what: Parameters<StateLog['changed']>[0], details: LogDetails): void {
    this.logger.info(this.line('changed', what, details))
  }

  alarm (what: Parameters<StateLog['alarm']>[0], details: LogDetails): void {
    this.logger.warn(this.line('alarm', what, details))
  }

  decided (what: DecidedEvent, details: LogDetails): void {
    this.startNewSecond()
    if (!this.tryCountLine(highPriorityEvents.has(what), details.failed === true)) return this.countDropped(what)
    this.logger.info(this.line('decided', what, details))
  }

  /** Counts a line against the limit of its kind; returns false if that limit is used up for this second. */
  private tryCountLine (isHighPriority: boolean, isFailure: boolean): boolean {
    if (isHighPriority) return ++this.highPriorityLines <= MAX_HIGH_PRIORITY_LINES_PER_SECOND
    if (isFailure) return ++this.failureLines <= MAX_FAILURE_LINES_PER_SECOND
    return ++this.routineLines <= this.routineLineLimit
  }

  private startNewSecond (): void {
    const second = Math.floor(performance.now() / 1000)
    if (second === this.second) return
    this.second = second
    this.routineLines = 0
    this.failureLines = 0
    this.highPriorityLines = 0
    this.routineLineLimit = Math.min(MAX_ROUTINE_LINES_PER_SECOND, BASE_ROUTINE_LINES_PER_SECOND + this.itemsInProgress() * ROUTINE_LINES_PER_SECOND_PER_ITEM)
    if (this.dropped.size === 0) return
    const dropped = Object.fromEntries(this.dropped)
    this.dropped = new Map()
    this.changed('log lines dropped', dropped)
  }

  private countDropped (what: string): void {
    this.dropped.set(what, (this.dropped.get(what) ?? 0) + 1)
  }

  /** Drops lines above the buffer limit, as a pipe without a reader would otherwise consume memory without bound. */
  private write (line: string): void {
    if (this.sink.writableLength > MAX_UNREAD_CHARACTERS) this.countDropped('unread')
    else this.sink.write(`${line}\n`)
  }

  private line (type: string, what: string, details: LogDetails): string {
    return JSON.stringify({ time: new Date().toISOString(), host: this.host, type, what, ...details })
  }
}
