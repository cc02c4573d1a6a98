/** The text of one item while it grows: its events in order, the versions that made them, and what of it is saved. */

import type { TextId } from '../../../base/common/ids.ts'
import type { ProgressPart, SavedText } from '../../../core/common/steps/progress.ts'
import { FULL_SAVE_AGE_MS } from '../../../core/common/steps/progress.ts'
import type { StreamEvent } from '../../../ports/common/protocols.ts'

/** Events of a text that are to be saved. */
export type UnsavedPart = Omit<ProgressPart, 'step' | 'item'>

/**
 * What is held of an item's text. It is a new text whenever it begins empty or goes on from what
 * another host saved: two hosts that go on from the same events get different ones after them.
 */
export class ItemText {
  private id: TextId
  readonly events: string[] = []
  readonly versions = new Set<number>()
  /** Events of this text that the store has. */
  private saved = 0
  /** When the store was last given this text from its first event on. */
  private wholeAt = Number.NEGATIVE_INFINITY
  /** Number of the newest event held. */
  last: number | undefined
  /** Version under which the next event is made, unless it says otherwise. */
  private version: number | undefined
  private most = 0

  /** `newId` makes an id that no text had before. */
  constructor (private readonly newId: () => TextId) {
    this.id = newId()
  }

  /** Most events that any run of the item has come to, also where its text began anew since. */
  get furthest (): number {
    return this.most
  }

  beginRun (version: number | undefined): void {
    this.version = version
  }

  /** Adds an event; false if it does not follow the last one. */
  add (event: StreamEvent): boolean {
    const due = (this.last ?? event.id - 1) + 1
    if (event.id !== due) return false
    if (event.version !== undefined) this.version = event.version
    if (this.version !== undefined) this.versions.add(this.version)
    this.events.push(event.data)
    this.last = event.id
    this.most = Math.max(this.most, this.events.length)
    return true
  }

  /** Takes over what another run has left. */
  restore ({ events, last, versions }: SavedText): void {
    this.clear()
    this.events.push(...events)
    this.last = last
    this.most = Math.max(this.most, events.length)
    for (const version of versions) this.versions.add(version)
  }

  /** Events that are not saved yet, or all if the first were saved too long ago; `undefined` if there are none. */
  unsaved (now: number): UnsavedPart | undefined {
    const from = now - this.wholeAt < FULL_SAVE_AGE_MS ? this.saved : 0
    if (this.last === undefined || this.events.length <= from) return undefined
    return { text: this.id, from, events: this.events.slice(from), last: this.last, versions: [...this.versions] }
  }

  /**
   * The store has a part that was to be saved since then. The text may have begun anew meanwhile: the part
   * then says nothing of it, and counting its events here would leave out the first of the new text.
   */
  noteSaved (part: UnsavedPart, since: number): void {
    if (part.text !== this.id) return
    this.saved = Math.max(this.saved, part.from + part.events.length)
    if (part.from === 0) this.wholeAt = since
  }

  clear (): void {
    this.id = this.newId()
    this.saved = 0
    this.wholeAt = Number.NEGATIVE_INFINITY
    this.events.length = 0
    this.versions.clear()
    this.last = undefined
  }

  get text (): string {
    return this.events.join('\n')
  }
}
