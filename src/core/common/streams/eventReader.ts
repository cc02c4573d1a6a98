/**
 * Reads a stream of server-sent events with all their fields, and keeps each as it came for passing
 * it on. The usual parsers drop fields that the standard does not name, and a target may send such a
 * field with an event; and they keep quiet about an event that was cut off in its middle. Here an
 * event counts once its empty line has come; what stands after the last one is the `rest`. Events are
 * kept as bytes: what is no text, or is cut within a character, would not come out as it went in.
 */

export interface ReadEvent {
  /** The event as it came, with the empty line that ends it. */
  readonly raw: Uint8Array
  /** Fields by lower-case name; lines of one field are joined by line feeds. */
  readonly fields: ReadonlyMap<string, string>
}

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d
/** Bytes before the end of what was searched with which the end of an event may begin. */
const LONGEST_START_OF_END = 3

const decoder = new TextDecoder()

export class EventReader {
  private held = new Uint8Array(0)
  /** Up to where the held bytes have no end of an event. */
  private searched = 0

  /** Takes a piece of the stream and gives the events that it completes. */
  take (piece: Uint8Array): ReadEvent[] {
    const bytes = this.held.length === 0 ? piece : joined(this.held, piece)
    const events: ReadEvent[] = []
    let begin = 0
    for (let end = endOfEvent(bytes, this.searched); end !== undefined; end = endOfEvent(bytes, begin)) {
      const raw = bytes.subarray(begin, end)
      events.push({ raw, fields: readFields(decoder.decode(raw)) })
      begin = end
    }
    this.held = new Uint8Array(bytes.subarray(begin))
    this.searched = Math.max(0, this.held.length - LONGEST_START_OF_END)
    return events
  }

  /** What stands after the last whole event. */
  get rest (): Uint8Array {
    return this.held
  }
}

/** The bytes of events that were taken together: they lie one after the other. */
export function bytesOf (events: readonly ReadEvent[]): Uint8Array {
  const first = events[0]?.raw ?? new Uint8Array(0)
  return new Uint8Array(first.buffer, first.byteOffset, events.reduce((sum, { raw }) => sum + raw.length, 0))
}

function joined (first: Uint8Array, second: Uint8Array): Uint8Array {
  const whole = new Uint8Array(first.length + second.length)
  whole.set(first)
  whole.set(second, first.length)
  return whole
}

/** Index after the first empty line from a place on. */
function endOfEvent (bytes: Uint8Array, from: number): number | undefined {
  for (let at = bytes.indexOf(LINE_FEED, from); at >= 0; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return undefined
}

/** Lines that begin with a colon are comments. */
function readFields (block: string): Map<string, string> {
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
