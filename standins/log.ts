/**
 * Stand-in for the platform's log: streams of entries with offsets, long polling, limited retention,
 * an append rate limit, and outages. Faults are set with `POST /control`.
 */

import type { StandIn, StandInRequest } from './httpStandIn.ts'
import { pause, sendJson, startStandIn } from './httpStandIn.ts'

export interface LogFaults {
  /** Answers every request with 503. */
  down?: boolean
  /** Leaves every request unanswered. */
  silent?: boolean
  /** Number of appends that take effect but whose response is lost. */
  loseAnswers?: number
  /** Delay before a request is processed, in milliseconds. */
  delayMs?: number
  /** Delay before an append takes effect, in milliseconds. */
  appendDelayMs?: number
  /** Maximum number of entries kept per stream. */
  retainEntries?: number
  /** Retention period of an entry, in milliseconds. */
  retainMs?: number
  /** Maximum number of appends per second. Further appends are answered with 429. */
  appendsPerSecond?: number
}

interface Stream {
  /** Offset of the oldest entry that is kept. */
  first: number
  readonly entries: { readonly data: string, readonly at: number }[]
  readonly waiting: Set<() => void>
}

export class LogStandIn {
  readonly faults: LogFaults = {}
  appends = 0
  private readonly streams = new Map<string, Stream>()
  private windowStartedAt = 0
  private appendsInWindow = 0

  stream (name: string): Stream {
    const existing = this.streams.get(name)
    if (existing !== undefined) return existing
    const created: Stream = { first: 0, entries: [], waiting: new Set() }
    this.streams.set(name, created)
    return created
  }

  /** Returns all retained entries of a stream. */
  entries (name: string): string[] {
    return this.stream(name).entries.map(({ data }) => data)
  }

  append (name: string, data: string): number {
    const stream = this.stream(name)
    stream.entries.push({ data, at: Date.now() })
    this.appends++
    const offset = stream.first + stream.entries.length - 1
    this.applyRetention(stream)
    for (const wake of [...stream.waiting]) wake()
    return offset
  }

  /** Drops the entries that exceed the retention limits. */
  applyRetention (stream: Stream): void {
    const { retainEntries, retainMs } = this.faults
    const excess = retainEntries === undefined ? 0 : stream.entries.length - retainEntries
    const expired = retainMs === undefined ? 0 : stream.entries.findIndex(({ at }) => at >= Date.now() - retainMs)
    const dropCount = Math.max(0, excess, expired === -1 ? stream.entries.length : expired)
    stream.entries.splice(0, dropCount)
    stream.first += dropCount
  }

  async handle ({ method, path, query, text, response }: StandInRequest): Promise<void> {
    if (path === '/control') {
      Object.assign(this.faults, JSON.parse(text) as LogFaults)
      sendJson(response, 200, this.faults)
      return
    }
    const { faults } = this
    if (faults.silent === true) return
    if (faults.down === true) return sendJson(response, 503, { error: 'down' })
    if (faults.delayMs !== undefined) await pause(faults.delayMs)
    const name = path.split('/')[2] ?? ''
    if (method === 'POST') return await this.answerAppend(name, text, response)
    const stream = this.stream(name)
    const from = Number(query.get('from'))
    if (stream.first + stream.entries.length <= from) await this.waitForEntries(stream, Number(query.get('wait_ms')), response)
    if (this.faults.down === true) return sendJson(response, 503, { error: 'down' })
    this.applyRetention(stream)
    const start = Math.max(0, from - stream.first)
    const entries = stream.entries.slice(start, start + Number(query.get('max'))).map(({ data }, index) => ({ offset: stream.first + start + index, data }))
    sendJson(response, 200, { first: stream.first, end: stream.first + stream.entries.length, entries })
  }

  private async answerAppend (name: string, text: string, response: StandInRequest['response']): Promise<void> {
    const { faults } = this
    if (this.exceedsAppendLimit()) return sendJson(response, 429, { error: 'limit' })
    if (faults.appendDelayMs !== undefined) await pause(faults.appendDelayMs)
    const offset = this.append(name, text)
    if ((faults.loseAnswers ?? 0) > 0) {
      faults.loseAnswers = (faults.loseAnswers ?? 0) - 1
      response.destroy()
      return
    }
    sendJson(response, 201, { offset })
  }

  private exceedsAppendLimit (): boolean {
    const limit = this.faults.appendsPerSecond
    if (limit === undefined) return false
    const now = Date.now()
    if (now - this.windowStartedAt >= 1000) {
      this.windowStartedAt = now
      this.appendsInWindow = 0
    }
    return ++this.appendsInWindow > limit
  }

  private async waitForEntries (stream: Stream, milliseconds: number, response: StandInRequest['response']): Promise<void> {
    if (!(milliseconds > 0)) return
    await new Promise<void>((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        stream.waiting.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      stream.waiting.add(finish)
      response.once('close', finish)
    })
  }
}

/** Starts an HTTP server for a log stand-in. */
export async function startLog (port = 0): Promise<StandIn & { readonly log: LogStandIn }> {
  const log = new LogStandIn()
  const server = await startStandIn(async (request) => { await log.handle(request) }, port)
  return { ...server, log }
}
