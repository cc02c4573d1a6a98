/**
 * Progress of running items, as the host that runs them saves it now and then. Load pattern: the
 * longest item of a step runs nearly as long as the step may take, so a run that begins anew after
 * its host was lost is late. A host that takes over goes on from the newest saved event.
 */

import { z } from 'zod'

const partSchema = z.object({
  step: z.string(),
  item: z.string(),
  /** Events that stand before these. */
  from: z.number().int().nonnegative(),
  events: z.array(z.string()),
  /** Number that the target gave the last of the events. */
  last: z.number().int(),
  /** Versions that made any event so far. */
  versions: z.array(z.number())
})

const entrySchema = z.array(partSchema)

/** Events of one item that came since the last save. */
export type ProgressPart = z.infer<typeof partSchema>

/** What is known of an item that was not finished. */
export interface SavedText {
  readonly events: readonly string[]
  readonly last: number
  readonly versions: readonly number[]
}

export function encodeProgress (parts: readonly ProgressPart[]): string {
  return JSON.stringify(parts)
}

/** Bytes that a character of a JavaScript string needs in UTF-8, at most. */
const CHARACTER_BYTES = 3

/**
 * Records that together hold these parts, none longer than the store takes. A part whose events do
 * not fit into one record goes on in the next. An event that no record can hold ends its part: what
 * is held of that text then stays a beginning of it.
 */
export function progressRecords (parts: readonly ProgressPart[], recordBytes: number): string[] {
  const limit = Math.floor(recordBytes / CHARACTER_BYTES)
  const records: ProgressPart[][] = []
  let free = 0
  const add = (part: ProgressPart, size: number): void => {
    if (size > free) {
      records.push([])
      free = limit
    }
    records.at(-1)?.push(part)
    free -= size
  }
  for (const part of parts) for (const piece of splitPart(part, limit)) add(piece, encodeProgress([piece]).length)
  return records.map(encodeProgress)
}

/** Pieces of a part that fit into a record each. */
function splitPart (part: ProgressPart, limit: number): ProgressPart[] {
  if (encodeProgress([part]).length <= limit) return [part]
  const room = limit - encodeProgress([{ ...part, events: [] }]).length
  const pieces: ProgressPart[] = []
  let begin = 0
  while (begin < part.events.length) {
    let end = begin
    for (let size = 0; end < part.events.length; end++) {
      size += JSON.stringify(part.events[end]).length + 1
      if (size > room) break
    }
    if (end === begin) break
    pieces.push({ ...part, from: part.from + begin, events: part.events.slice(begin, end), last: part.last - (part.events.length - end) })
    begin = end
  }
  return pieces
}

/** Key of an item of a step in the table of saved texts. */
export function progressKey (step: string, item: string): string {
  return `${step}/${item}`
}

/**
 * Puts together what records of progress say. A part that begins before the end of what is known is
 * from a run that began anew there; one that begins after it follows a part that was not saved, so
 * the item's text is not known to go on.
 */
export function readProgress (records: readonly string[]): Map<string, SavedText> {
  const texts = new Map<string, SavedText>()
  for (const record of records) {
    for (const { step, item, from, events, last, versions } of readEntry(record)) {
      const key = progressKey(step, item)
      const known = texts.get(key)?.events ?? []
      if (from <= known.length) texts.set(key, { events: [...known.slice(0, from), ...events], last, versions })
    }
  }
  return texts
}

function readEntry (record: string): ProgressPart[] {
  let parsed: unknown
  try {
    parsed = JSON.parse(record)
  } catch {
    return []
  }
  const entry = entrySchema.safeParse(parsed)
  return entry.success ? entry.data : []
}
