/**
 * Stand-in of the platform's log: streams of entries with offsets, long poll, limited retention, a
 * limit of appends a second, and outages. Faults are set over `POST /control`.
 */

import type { StandIn, StandInRequest } from './httpStandIn.ts'
import { pause, sendJson, startStandIn } from './httpStandIn.ts'

export interface LogFaults {
  /** Answers everything with 503. */
  down?: boolean
  /** Answers nothing at all. */
  silent?: boolean
  /** So many appends take effect and their answers are lost. */
  loseAnswers?: number
  /** Delay of every answer, in milliseconds. */
  delayMs?: number
  /** Delay before an append takes effect, in milliseconds. */
  appendDelayMs?: number
  /** Entries kept per stream. */
  retainEntries?: number
  /** Milliseconds an entry is kept. */
  retainMs?: number
  /** Appends a second; more are answered with 429. */
  appendsPerSecond?: number
}

interface Stream {
  first: number
  readonly entries: { readonly data: string, readonly at: number }[]
  readonly waiting: Set<() => void>
}

export class LogStandIn {
  readonly faults: LogFaults = {}
  appends = 0
  private readonly streams = new Map<string, Stream>()
  private windowStart = 0
  private windowCount = 0

  stream (name: string): Stream {
    const existing = this.streams.get(name)
    if (existing !== undefined) return existing
    const created: Stream = { first: 0, entries: [], waiting: new Set() }
    this.streams.set(name, created)
    return created
  }

  /** All entries that are kept of a stream. */
  entries (name: string): string[] {
    return this.stream(name).entries.map(({ data }) => data)
  }

  append (name: string, data: string): number {
    const stream = this.stream(name)
    stream.entries.push({ data, at: Date.now() })
    this.appends++
    const offset = stream.first + stream.entries.length - 1
    this.forget(stream)
    for (const wake of [...stream.waiting]) wake()
    return offset
  }

  /** Drops what retention no longer keeps. */
  forget (stream: Stream): void {
    const { retainEntries, retainMs } = this.faults
    const excess = retainEntries === undefined ? 0 : stream.entries.length - retainEntries
    const old = retainMs === undefined ? 0 : stream.entries.findIndex(({ at }) => at >= Date.now() - retainMs)
    const drop = Math.max(0, excess, old === -1 ? stream.entries.length : old)
    stream.entries.splice(0, drop)
    stream.first += drop
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
    if (stream.first + stream.entries.length <= from) await this.wait(stream, Number(query.get('wait_ms')), response)
    if (this.faults.down === true) return sendJson(response, 503, { error: 'down' })
    this.forget(stream)
    const start = Math.max(0, from - stream.first)
    const entries = stream.entries.slice(start, start + Number(query.get('max'))).map(({ data }, index) => ({ offset: stream.first + start + index, data }))
    sendJson(response, 200, { first: stream.first, end: stream.first + stream.entries.length, entries })
  }

  private async answerAppend (name: string, text: string, response: StandInRequest['response']): Promise<void> {
    const { faults } = this
    if (this.limited()) return sendJson(response, 429, { error: 'limit' })
    if (faults.appendDelayMs !== undefined) await pause(faults.appendDelayMs)
    const offset = this.append(name, text)
    if ((faults.loseAnswers ?? 0) > 0) {
      faults.loseAnswers = (faults.loseAnswers ?? 0) - 1
      response.destroy()
      return
    }
    sendJson(response, 201, { offset })
  }

  private limited (): boolean {
    const limit = this.faults.appendsPerSecond
    if (limit === undefined) return false
    const now = Date.now()
    if (now - this.windowStart >= 1000) {
      this.windowStart = now
      this.windowCount = 0
    }
    return ++this.windowCount > limit
  }

  private async wait (stream: Stream, milliseconds: number, response: StandInRequest['response']): Promise<void> {
    if (!(milliseconds > 0)) return
    await new Promise<void>((resolve) => {
      const done = (): void => {
        clearTimeout(timer)
        stream.waiting.delete(done)
        resolve()
      }
      const timer = setTimeout(done, milliseconds)
      stream.waiting.add(done)
      response.once('close', done)
    })
  }
}

/** Starts a log stand-in. */
export async function startLog (port = 0): Promise<StandIn & { readonly log: LogStandIn }> {
  const log = new LogStandIn()
  const server = await startStandIn(async (request) => { await log.handle(request) }, port)
  return { ...server, log }
}
