/**
 * Reads a stream of server-sent events with all their fields, and keeps each as it came for passing
 * it on. The usual parsers drop fields that the standard does not name, and a target may send such a
 * field with an event; and they keep quiet about an event that was cut off in its middle. Here an
 * event counts once its empty line has come; what stands after the last one is the `rest`.
 */

export interface ReadEvent {
  /** The event as it came, with the empty line that ends it. */
  readonly raw: string
  /** Fields by lower-case name; lines of one field are joined by line feeds. */
  readonly fields: ReadonlyMap<string, string>
}

export class EventReader {
  private text = ''

  /** Takes a piece of the stream and gives the events that it completes. */
  take (piece: string): ReadEvent[] {
    this.text += piece
    const events: ReadEvent[] = []
    for (;;) {
      const end = /\r?\n\r?\n/.exec(this.text)
      if (end === null) return events
      const raw = this.text.slice(0, end.index + end[0].length)
      events.push({ raw, fields: readFields(this.text.slice(0, end.index)) })
      this.text = this.text.slice(raw.length)
    }
  }

  /** What stands after the last whole event. */
  get rest (): string {
    return this.text
  }
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
