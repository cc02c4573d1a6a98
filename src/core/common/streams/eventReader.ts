/**
 * Reads a stream of server-sent events with all their fields and keeps each event verbatim for forwarding. Common
 * parsers drop fields that the standard does not define, although a target may send such a field, and do not
 * report an event that was truncated. Here an event is complete once its terminating empty line has arrived; what
 * follows the last complete event is available as `rest`. Events are kept as bytes, because decoding would alter
 * invalid UTF-8 and characters split between chunks.
 */

/** A complete event. */
export interface ServerSentEvent {
  /** The event as received, including empty lines before it and the one that terminates it. */
  readonly raw: Uint8Array
  /** Fields by lower-case name; the values of repeated fields are joined by line feeds. */
  readonly fields: ReadonlyMap<string, string>
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
const COLON = 0x3a
/** Maximum number of bytes at the end of the searched data that may be the beginning of an event's terminator. */
const MAX_PARTIAL_TERMINATOR_BYTES = 3

/** Largest unfinished event that is buffered, in bytes: several times the largest text that a store keeps in one record. */
export const MAX_EVENT_BYTES = 1_048_576

const decoder = new TextDecoder()

/** Thrown when an event does not end within the limit. */
export class EventTooLargeError extends Error {
  constructor (maximumBytes: number) {
    super(`an event is larger than ${maximumBytes} bytes`)
  }
}

/** Splits a byte stream into events. */
export class ServerSentEventReader {
  /** Holds the bytes after the last complete event, which take up its first `heldLength` bytes. */
  private buffer = new Uint8Array(0)
  private heldLength = 0
  /** Length of the prefix of the buffered bytes that contains no end of an event. */
  private searchedLength = 0

  constructor (private readonly maximumEventBytes = MAX_EVENT_BYTES) {}

  /**
   * Adds a chunk of the stream and returns the events that it completes.
   * @throws EventTooLargeError if what follows the last complete event exceeds the limit
   */
  push (chunk: Uint8Array): ServerSentEvent[] {
    const bytes = this.heldLength === 0 ? chunk : this.append(chunk)
    const events: ServerSentEvent[] = []
    let eventStart = 0
    const findEnd = (from: number): number | undefined => findEventEnd(bytes, Math.max(from, skipLineBreaks(bytes, eventStart)))
    for (let end = findEnd(this.searchedLength); end !== undefined; end = findEnd(eventStart)) {
      const raw = bytes.subarray(eventStart, end)
      events.push({ raw, fields: parseFields(decoder.decode(raw)) })
      eventStart = end
    }
    const isBuffered = this.heldLength > 0
    this.heldLength = bytes.length - eventStart
    if (this.heldLength > this.maximumEventBytes) throw new EventTooLargeError(this.maximumEventBytes)
    // The events refer to the bytes in which they were found, so that these are not used again.
    if (!isBuffered || events.length > 0) this.buffer = new Uint8Array(bytes.subarray(eventStart))
    this.searchedLength = Math.max(0, this.heldLength - MAX_PARTIAL_TERMINATOR_BYTES)
    return events
  }

  /** Bytes after the last complete event. */
  get rest (): Uint8Array {
    return this.buffer.subarray(0, this.heldLength)
  }

  /** Adds a chunk to the buffer and returns all buffered bytes. The buffer doubles, so that many small chunks are not copied each time. */
  private append (chunk: Uint8Array): Uint8Array {
    const length = this.heldLength + chunk.length
    if (length > this.buffer.length) {
      const larger = new Uint8Array(Math.max(length, 2 * this.buffer.length))
      larger.set(this.rest)
      this.buffer = larger
    }
    this.buffer.set(chunk, this.heldLength)
    return this.buffer.subarray(0, length)
  }
}

/** Returns the bytes of events that the same call of `push` returned, which are contiguous in memory. */
export function contiguousBytes (events: readonly ServerSentEvent[]): Uint8Array {
  const first = events[0]?.raw ?? new Uint8Array(0)
  return new Uint8Array(first.buffer, first.byteOffset, events.reduce((sum, { raw }) => sum + raw.length, 0))
}

/** Whether the end of a stream contains the beginning of an event or comment. Line breaks and whole comment lines do not. */
export function endsWithinEvent (rest: Uint8Array): boolean {
  let at = skipLineBreaks(rest, 0)
  while (rest[at] === COLON) {
    const lineEnd = rest.indexOf(LINE_FEED, at)
    if (lineEnd < 0) return true
    at = skipLineBreaks(rest, lineEnd)
  }
  return at < rest.length
}

/** Returns the index of the first byte at or after `from` that is no line break. Empty lines before an event belong to it. */
function skipLineBreaks (bytes: Uint8Array, from: number): number {
  let at = from
  while (bytes[at] === LINE_FEED || bytes[at] === CARRIAGE_RETURN) at++
  return at
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
