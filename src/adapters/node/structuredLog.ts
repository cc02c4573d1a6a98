/**
 * Log lines by loglevel: one JSON object a line, written so that nothing ever waits for a reader.
 * Decisions on requests come as often as requests do; beyond a number of lines a second they are
 * left out and counted by event, so that a burst costs lines and not the requests that it consists
 * of. A host with more items under way may write more. What ends a request badly is left out later, and what became of a step
 * last of all: it is what somebody will ask about.
 */

import loglevel from 'loglevel'
import type { DecidedEvent } from '../../base/common/logEvents.ts'
import { decisiveEvents } from '../../base/common/logEvents.ts'
import type { LogDetails, StateLog } from '../../ports/common/observation.ts'

/** Lines of decisions a second: a few times the requests that one small host serves. */
const DECISIONS_PER_SECOND = 100
/** Lines a second for each item under way: a second or more of run, and then the lines of its run's end and of its result. */
const DECISIONS_PER_ITEM = 1
/** Lines of decisions a second at most, however many items are under way: writing them stays a small part of what a busy host does. */
const MOST_DECISIONS_PER_SECOND = 500
/** Lines a second that are kept for what became of steps: some for each step, and one for each item that is lost with it. */
const DECISIVE_PER_SECOND = 400
/** Lines a second that are kept for decisions that explain a failure. */
const FAILURES_PER_SECOND = 100
/** Lines that wait for a reader, in characters: some seconds of the most lines. */
const WAITING_CHARACTERS = 512 * 1024

/** Where lines go: standard output, or what a test gives. */
export interface LineSink {
  /** Characters that were written and that nobody has read. */
  readonly writableLength: number
  write (line: string): void
}

export class StructuredLog implements StateLog {
  private readonly logger: loglevel.Logger
  private second = 0
  private usual = 0
  private failures = 0
  private decisive = 0
  private allowed = DECISIONS_PER_SECOND
  private dropped = new Map<string, number>()

  constructor (private readonly host: string, level: 'silent' | 'warn' | 'info', private readonly sink: LineSink = process.stdout, private readonly itemsUnderway: () => number = () => 0) {
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
    this.turnSecond()
    if (!this.takePlace(decisiveEvents.has(what), details.failed === true)) return this.drop(what)
    this.logger.info(this.line('decided', what, details))
  }

  /** Counts a line, decisive ones beside all others; false where its kind has no more this second. */
  private takePlace (decisive: boolean, failed: boolean): boolean {
    if (decisive) return ++this.decisive <= DECISIVE_PER_SECOND
    if (failed) return ++this.failures <= FAILURES_PER_SECOND
    return ++this.usual <= this.allowed
  }

  private turnSecond (): void {
    const second = Math.floor(performance.now() / 1000)
    if (second === this.second) return
    this.second = second
    this.usual = 0
    this.failures = 0
    this.decisive = 0
    this.allowed = Math.min(MOST_DECISIONS_PER_SECOND, DECISIONS_PER_SECOND + this.itemsUnderway() * DECISIONS_PER_ITEM)
    if (this.dropped.size === 0) return
    const dropped = Object.fromEntries(this.dropped)
    this.dropped = new Map()
    this.changed('log lines dropped', dropped)
  }

  private drop (what: string): void {
    this.dropped.set(what, (this.dropped.get(what) ?? 0) + 1)
  }

  /** A pipe that nobody reads would take memory without end; beyond a bound lines are left out. */
  private write (line: string): void {
    if (this.sink.writableLength > WAITING_CHARACTERS) this.drop('unread')
    else this.sink.write(`${line}\n`)
  }

  private line (type: string, what: string, details: LogDetails): string {
    return JSON.stringify({ time: new Date().toISOString(), host: this.host, type, what, ...details })
  }
}
