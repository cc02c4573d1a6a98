/**
 * Progress of running items, saved periodically by the host that runs them. The longest item of a step runs for
 * nearly as long as the step may take, so a run that restarts from the beginning after its host was lost is late.
 * A host that takes over resumes from the newest saved event.
 */

import { z } from 'zod'
import type { TextId } from '../../../base/common/ids.ts'
import { asTextId } from '../../../base/common/ids.ts'

const partSchema = z.object({
  step: z.string(),
  item: z.string(),
  /** Id of the text the events belong to. Events of different texts are never joined, wherever they are stored. */
  text: z.string().transform(asTextId),
  /** Number of events of the text that precede these. */
  from: z.number().int().nonnegative(),
  events: z.array(z.string()),
  /** Number that the target assigned to the last of the events. */
  last: z.number().int(),
  /** Versions of the weights that generated any event so far. */
  versions: z.array(z.number())
})

const entrySchema = z.array(partSchema)

/** Events of one item since the previous save. */
export type ProgressPart = z.infer<typeof partSchema>

/** Saved text of an unfinished item. */
export interface SavedText {
  readonly events: readonly string[]
  readonly last: number
  readonly versions: readonly number[]
}

export function encodeProgress (parts: readonly ProgressPart[]): string {
  return JSON.stringify(parts)
}

/** How long saved progress is retained: longer than most items run, as steps are due within 8 s and dropped within 12 s. */
export const PROGRESS_RETENTION_MS = 15_000

/**
 * Age of a text's first saved part from which on the text is saved in full again. Without the first part the later
 * ones are unusable, and an item that runs for longer than the retention time would restart from the beginning
 * after a takeover. Half of the retention time leaves the other half for a store that accepts no writes.
 */
export const FULL_SAVE_AGE_MS = PROGRESS_RETENTION_MS / 2

/** Maximum number of bytes that a character of a JavaScript string takes in UTF-8. */
const MAX_UTF8_BYTES_PER_CHARACTER = 3

/**
 * Packs parts into records that do not exceed the record size limit. A part whose events do not fit into one
 * record continues in the next. An event that fits into no record ends its part, so the saved text remains a
 * prefix of the actual one.
 */
export function progressRecords (parts: readonly ProgressPart[], recordBytes: number): string[] {
  const limit = Math.floor(recordBytes / MAX_UTF8_BYTES_PER_CHARACTER)
  const records: ProgressPart[][] = []
  let remainingCharacters = 0
  const addPiece = (part: ProgressPart, size: number): void => {
    if (size > remainingCharacters) {
      records.push([])
      remainingCharacters = limit
    }
    records.at(-1)?.push(part)
    remainingCharacters -= size
  }
  for (const part of parts) for (const piece of splitPart(part, limit)) addPiece(piece, encodeProgress([piece]).length)
  return records.map(encodeProgress)
}

/** Splits a part into pieces that each fit into one record. */
function splitPart (part: ProgressPart, limit: number): ProgressPart[] {
  if (encodeProgress([part]).length <= limit) return [part]
  const eventCharacters = limit - encodeProgress([{ ...part, events: [] }]).length
  const pieces: ProgressPart[] = []
  let begin = 0
  while (begin < part.events.length) {
    let end = begin
    for (let size = 0; end < part.events.length; end++) {
      size += JSON.stringify(part.events[end]).length + 1
      if (size > eventCharacters) break
    }
    if (end === begin) break
    pieces.push({ ...part, from: part.from + begin, events: part.events.slice(begin, end), last: part.last - (part.events.length - end) })
    begin = end
  }
  return pieces
}

/** Returns the key of a step's item in the map of saved texts. */
export function progressKey (step: string, item: string): string {
  return `${step}/${item}`
}

/**
 * Reassembles saved texts from progress records. Parts of a text are joined where they are contiguous; a repeated
 * or late part adds nothing, and a part whose predecessor is missing is skipped. Of several texts of an item, the
 * most recently started one is used: the others were abandoned in favor of it, or it continues one of them, or
 * they come from a holder that has lost the duty without knowing it yet.
 */
export function parseProgress (records: readonly string[]): Map<string, SavedText> {
  const texts = new Map<string, Map<TextId, SavedText>>()
  for (const record of records) {
    for (const part of parseEntry(record)) {
      const key = progressKey(part.step, part.item)
      const ofItem = texts.get(key) ?? new Map<TextId, SavedText>()
      const merged = mergePart(ofItem.get(part.text), part)
      if (merged !== undefined) texts.set(key, ofItem.set(part.text, merged))
    }
  }
  return new Map([...texts].flatMap(([key, ofItem]) => [...ofItem.values()].slice(-1).map((newest) => [key, newest])))
}

/** Appends a part to a text; returns the text unchanged if the part adds nothing or is not contiguous. */
function mergePart (known: SavedText | undefined, { from, events, last, versions }: ProgressPart): SavedText | undefined {
  const before = known?.events ?? []
  if (from > before.length || from + events.length <= before.length) return known
  return { events: [...before.slice(0, from), ...events], last, versions }
}

function parseEntry (record: string): ProgressPart[] {
  let parsed: unknown
  try {
    parsed = JSON.parse(record)
  } catch {
    return []
  }
  const entry = entrySchema.safeParse(parsed)
  return entry.success ? entry.data : []
}
