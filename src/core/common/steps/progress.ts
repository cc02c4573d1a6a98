/**
 * Progress of running items, saved periodically by the host that runs them. The longest item of a step runs for
 * nearly as long as the step may take, so a run that restarts from the beginning after its host was lost is late.
 * A host that takes over resumes from the newest saved event.
 */

import { z } from 'zod'
import type { TextId } from '../../../base/common/ids.ts'
import { asTextId } from '../../../base/common/ids.ts'

/** An event that is made under another version than the preceding one of its part names its version; `null` if it is unknown. */
const eventSchema = z.union([z.string(), z.tuple([z.string(), z.number().nullable()])])

const partSchema = z.object({
  step: z.string(),
  item: z.string(),
  /** Id of the text the events belong to. Events of different texts are never joined, wherever they are stored. */
  text: z.string().transform(asTextId),
  /** Number of events of the text that precede these. */
  from: z.number().int().nonnegative(),
  events: z.array(eventSchema),
  /** Number that the target assigned to the last of the events. */
  last: z.number().int(),
  /** Versions of all events of the text so far, in records of hosts that do not name the version of each event. */
  versions: z.array(z.number()).optional()
})

const entrySchema = z.array(partSchema)

type EncodedEvent = z.infer<typeof eventSchema>
type EncodedPart = z.infer<typeof partSchema>

/** One event of a text. */
export interface TextEvent {
  readonly data: string
  /** Version of the weights that generated it; `undefined` if the engine names none. */
  readonly version: number | undefined
}

/** Events of one item since the previous save. */
export interface ProgressPart extends Pick<EncodedPart, 'step' | 'item' | 'text' | 'from' | 'last'> {
  readonly events: readonly TextEvent[]
}

/** Saved text of an unfinished item. */
export interface SavedText {
  readonly events: readonly TextEvent[]
  /** Id of the last event. */
  readonly last: number
}

/** Returns the versions of the weights that generated the events, without duplicates, in the order of their first event. */
export function versionsOf (events: readonly TextEvent[]): number[] {
  return [...new Set(events.flatMap(({ version }) => version ?? []))]
}

/** Returns a text without its newest events. */
export function withoutNewestEvents ({ events, last }: SavedText, count: number): SavedText {
  return { events: events.slice(0, Math.max(0, events.length - count)), last: last - Math.min(count, events.length) }
}

export function encodeProgress (parts: readonly ProgressPart[]): string {
  return JSON.stringify(parts.map(({ events, ...part }) => ({ ...part, events: events.map((event, index) => encodeEvent(event, events[index - 1])) })))
}

function encodeEvent ({ data, version }: TextEvent, preceding: TextEvent | undefined): EncodedEvent {
  return preceding !== undefined && preceding.version === version ? data : [data, version ?? null]
}

/** Returns the part with the version of each event; `undefined` if the record does not tell which event has which version. */
function decodePart ({ events, versions, ...part }: EncodedPart): ProgressPart | undefined {
  if (versions === undefined ? typeof events[0] === 'string' : versions.length > 1) return undefined
  let version = versions?.[0]
  return {
    ...part,
    events: events.map((event): TextEvent => {
      if (typeof event === 'string') return { data: event, version }
      version = event[1] ?? undefined
      return { data: event[0], version }
    })
  }
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

function encodedCharacters (events: readonly TextEvent[], begin: number, index: number): number {
  const event = events[index]
  return event === undefined ? 0 : JSON.stringify(encodeEvent(event, index === begin ? undefined : events[index - 1])).length + 1
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
      size += encodedCharacters(part.events, begin, end)
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
function mergePart (known: SavedText | undefined, { from, events, last }: ProgressPart): SavedText | undefined {
  const before = known?.events ?? []
  if (from > before.length || from + events.length <= before.length) return known
  return { events: [...before.slice(0, from), ...events], last }
}

function parseEntry (record: string): ProgressPart[] {
  let parsed: unknown
  try {
    parsed = JSON.parse(record)
  } catch {
    return []
  }
  const entry = entrySchema.safeParse(parsed)
  return entry.success ? entry.data.flatMap((part) => decodePart(part) ?? []) : []
}
