/**
 * Progress of running items, as the host that runs them saves it now and then. Load pattern: the
 * longest item of a step runs nearly as long as the step may take, so a run that begins anew after
 * its host was lost is late. A host that takes over goes on from the newest saved event.
 */

import { z } from 'zod'
import type { TextId } from '../../../base/common/ids.ts'
import { asTextId } from '../../../base/common/ids.ts'

const partSchema = z.object({
  step: z.string(),
  item: z.string(),
  /** The text whose events these are: events of two texts are never joined, wherever they stand. */
  text: z.string().transform(asTextId),
  /** Events of that text that stand before these. */
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

/** How long saved progress is kept, in milliseconds: longer than most items run, as steps are due within 8 s and dropped within 12. */
export const KEPT_MS = 15_000

/**
 * Age of its first part, in milliseconds, from which on a text is saved whole again: without its first part
 * the later ones say nothing, and an item that runs for longer than progress is kept would begin anew
 * after a takeover. Half of that time leaves the rest for a store that takes nothing.
 */
export const WHOLE_AGAIN_MS = KEPT_MS / 2

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
 * Puts together what records of progress say. Parts of one text are joined where they meet; a part that
 * comes again, or late, adds nothing, and one that follows a part that is not there is passed over.
 * Of several texts of an item, the one that began last counts: the others were given up for it, or
 * it went on from one of them, or they are of a holder that does not know yet that it lost the duty.
 */
export function readProgress (records: readonly string[]): Map<string, SavedText> {
  const texts = new Map<string, Map<TextId, SavedText>>()
  for (const record of records) {
    for (const part of readEntry(record)) {
      const key = progressKey(part.step, part.item)
      const ofItem = texts.get(key) ?? new Map<TextId, SavedText>()
      const joined = join(ofItem.get(part.text), part)
      if (joined !== undefined) texts.set(key, ofItem.set(part.text, joined))
    }
  }
  return new Map([...texts].flatMap(([key, ofItem]) => [...ofItem.values()].slice(-1).map((newest) => [key, newest])))
}

/** A text with one more part; as it was where the part adds nothing or does not meet it. */
function join (known: SavedText | undefined, { from, events, last, versions }: ProgressPart): SavedText | undefined {
  const before = known?.events ?? []
  if (from > before.length || from + events.length <= before.length) return known
  return { events: [...before.slice(0, from), ...events], last, versions }
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
