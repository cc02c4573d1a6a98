/**
 * Reads a stream of server-sent events with all their fields and keeps each event verbatim for forwarding. Common
 * parsers drop fields that the standard does not define, although a target may send such a field, and do not
 * report an event that was truncated. Here an event is complete once its terminating empty line has arrived; what
 * follows the last complete event is available as `rest`. Events are kept as bytes, because decoding would alter
 * invalid UTF-8 and characters split between chunks.
 */

/** A complete event. */
export interface ServerSentEvent {
  /** The event as received, including the empty line that terminates it. */
  readonly raw: Uint8Array
  /** Fields by lower-case name; the values of repeated fields are joined by line feeds. */
  readonly fields: ReadonlyMap<string, string>
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
/** Maximum number of bytes at the end of the searched data that may be the beginning of an event's terminator. */
const MAX_PARTIAL_TERMINATOR_BYTES = 3

const decoder = new TextDecoder()

/** Splits a byte stream into events. */
export class ServerSentEventReader {
  private held = new Uint8Array(0)
  /** Length of the prefix of the buffered bytes that contains no end of an event. */
  private searchedLength = 0

  /** Adds a chunk of the stream and returns the events that it completes. */
  push (chunk: Uint8Array): ServerSentEvent[] {
    const bytes = this.held.length === 0 ? chunk : concatenate(this.held, chunk)
    const events: ServerSentEvent[] = []
    let eventStart = 0
    for (let end = findEventEnd(bytes, this.searchedLength); end !== undefined; end = findEventEnd(bytes, eventStart)) {
      const raw = bytes.subarray(eventStart, end)
      events.push({ raw, fields: parseFields(decoder.decode(raw)) })
      eventStart = end
    }
    this.held = new Uint8Array(bytes.subarray(eventStart))
    this.searchedLength = Math.max(0, this.held.length - MAX_PARTIAL_TERMINATOR_BYTES)
    return events
  }

  /** Bytes after the last complete event. */
  get rest (): Uint8Array {
    return this.held
  }
}

/** Returns the bytes of events that the same call of `push` returned, which are contiguous in memory. */
export function contiguousBytes (events: readonly ServerSentEvent[]): Uint8Array {
  const first = events[0]?.raw ?? new Uint8Array(0)
  return new Uint8Array(first.buffer, first.byteOffset, events.reduce((sum, { raw }) => sum + raw.length, 0))
}

function concatenate (first: Uint8Array, second: Uint8Array): Uint8Array {
  const whole = new Uint8Array(first.length + second.length)
  whole.set(first)
  whole.set(second, first.length)
  return whole
}

/** Returns the index after the first empty line at or after `from`. */
function findEventEnd (bytes: Uint8Array, from: number): number | undefined {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return undefined
}

/** Parses the fields of an event; lines that begin with a colon are comments. */
function parseFields (block: string): Map<string, string> {
  const fields = new Map<string, string>()
  for (const line of block.split(/\r?\n/)) {
    const colon = line.indexOf(':')
    if (colon <= 0) continue
    const name = line.slice(0, colon).toLowerCase()
    const value = line.slice(colon + 1).replace(/^ /, '')
    const earlier = fields.get(name)
    fields.set(name, earlier === undefined ? value : `${earlier}\n${value}`)
  }
  return fields
}
