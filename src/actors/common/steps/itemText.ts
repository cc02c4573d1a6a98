/** The text of one item while it is generated: its events in order, the model versions that produced them, and how much of it is saved. */

import type { TextId } from '../../../base/common/ids.ts'
import type { ProgressPart, SavedText, TextEvent } from '../../../core/common/steps/progress.ts'
import { FULL_SAVE_AGE_MS, versionsOf } from '../../../core/common/steps/progress.ts'
import type { StreamEvent } from '../../../ports/common/protocols.ts'

/** Events of a text that have yet to be saved. */
export type UnsavedPart = Omit<ProgressPart, 'step' | 'item'>

/**
 * The text of an item in memory. It gets a new id whenever it starts empty or resumes from events that another
 * host saved, because two hosts that resume from the same events receive different events after them.
 */
export class ItemText {
  private id: TextId
  readonly events: TextEvent[] = []
  /** Number of events of this text that are in the store. */
  private savedCount = 0
  /** Monotonic time of the last save that contained this text from its first event on. */
  private fullySavedAt = Number.NEGATIVE_INFINITY
  /** Id of the newest event. */
  last: number | undefined
  /** Model version of the next event, unless the event names another one. */
  private version: number | undefined
  private maxEventCount = 0

  /** @param createId returns an id that no other text has */
  constructor (private readonly createId: () => TextId) {
    this.id = createId()
  }

  /** Highest event count that any run of the item has reached, including runs before the text was cleared. */
  get maxEvents (): number {
    return this.maxEventCount
  }

  /** Versions of the weights that generated the events. */
  get versions (): number[] {
    return versionsOf(this.events)
  }

  /** The events generated so far; `undefined` if there are none. */
  get generated (): SavedText | undefined {
    return this.last === undefined ? undefined : { events: [...this.events], last: this.last }
  }

  beginRun (version: number | undefined): void {
    this.version = version
  }

  /** Appends an event; returns false if it does not directly follow the last one. */
  add (event: StreamEvent): boolean {
    const expectedId = (this.last ?? event.id - 1) + 1
    if (event.id !== expectedId) return false
    if (event.version !== undefined) this.version = event.version
    this.events.push({ data: event.data, version: this.version })
    this.last = event.id
    this.maxEventCount = Math.max(this.maxEventCount, this.events.length)
    return true
  }

  /** Replaces the text with the events of an earlier run. */
  restore ({ events, last }: SavedText): void {
    this.clear()
    this.events.push(...events)
    this.last = last
    this.maxEventCount = Math.max(this.maxEventCount, events.length)
  }

  /** Returns the events that are not saved yet, or all events if the last full save is too old; `undefined` if there are none. */
  unsavedPart (now: number): UnsavedPart | undefined {
    const from = now - this.fullySavedAt < FULL_SAVE_AGE_MS ? this.savedCount : 0
    if (this.last === undefined || this.events.length <= from) return undefined
    return { text: this.id, from, events: this.events.slice(from), last: this.last }
  }

  /**
   * Marks a part that was taken at `takenAt` as saved. If the text was cleared in the meantime, the part belongs to an
   * earlier text: counting its events would leave the first events of the new text unsaved.
   */
  markSaved (part: UnsavedPart, takenAt: number): void {
    if (part.text !== this.id) return
    this.savedCount = Math.max(this.savedCount, part.from + part.events.length)
    if (part.from === 0) this.fullySavedAt = takenAt
  }

  clear (): void {
    this.id = this.createId()
    this.savedCount = 0
    this.fullySavedAt = Number.NEGATIVE_INFINITY
    this.events.length = 0
    this.last = undefined
  }

  get text (): string {
    return this.events.map(({ data }) => data).join('\n')
  }
}
