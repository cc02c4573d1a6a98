/**
 * Texts of items that are not finished: saves them now and then while they grow, keeps them when their
 * step ends before them, and gives an item that is to run the text from which it may go on.
 */

import { asTextId } from '../../../base/common/ids.ts'
import type { ProgressPart, SavedText } from '../../../core/common/steps/progress.ts'
import { progressKey } from '../../../core/common/steps/progress.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { UnsavedPart } from './itemText.ts'
import { ItemText } from './itemText.ts'
import type { ProgressKeeper } from './progressKeeper.ts'
import type { ItemWork, StepWork } from './stepWork.ts'

export interface HeldTextsServices {
  readonly progress: ProgressKeeper
  readonly clock: Clock
  readonly metrics: Metrics
  /** Makes a text that no other host and no other call gives. */
  readonly nonce: () => string
}

/** Texts by the key of their step and item. */
export type SavedTexts = ReadonlyMap<string, SavedText>

/** Unfinished texts that are kept: those of some steps. */
const KEPT_UNFINISHED = 500

export class HeldTexts {
  /** Texts of items whose steps ended before them, by what was asked. */
  private readonly unfinished = new Map<string, SavedText>()
  /** What the store has, read since this host asked for the duty. */
  private ahead: Promise<SavedTexts> | undefined

  constructor (private readonly services: HeldTextsServices) {}

  /** Begins to read what the store has, while it is not known yet whether this host gets the duty. */
  readAhead (wanted: boolean): void {
    this.ahead = this.read(wanted)
  }

  /** What the store has of running items, for a host that takes over; nothing is read where no step is open. */
  async saved (wanted: boolean): Promise<SavedTexts> {
    const saved = this.ahead ?? this.read(wanted)
    this.ahead = undefined
    return await saved
  }

  /** An empty text for an item. */
  begin (): ItemText {
    return new ItemText(() => asTextId(this.services.nonce()))
  }

  /**
   * Goes on from what is held of an item's text, if its versions fit; `saved` is what the store has of its
   * step, `ahead` what was made for it before it was asked. A host that held the duty before may know less of an item than the store, or more: the longer counts.
   */
  restore (work: StepWork, itemWork: ItemWork, saved: SavedTexts, singleVersion: boolean, ahead?: SavedText): void {
    const { submission } = work.step
    const asked = askedKey(work, itemWork.item.id)
    const found = [ahead, saved.get(progressKey(submission.id, itemWork.item.id)), asked === undefined ? undefined : this.unfinished.get(asked)]
    const fitting = found.filter((text) => text !== undefined).filter(({ versions }) => versions.every((version) => version >= submission.minimumVersion))
    const longest = fitting.sort((a, b) => b.events.length - a.events.length)[0]
    if (longest === undefined || longest.events.length === 0 || singleVersion || itemWork.state !== 'waiting') return
    itemWork.text.restore(longest)
    this.services.metrics.count('steps.resumed')
  }

  /** Keeps the unfinished texts of a step: its groups may come again. */
  keep (work: StepWork): void {
    for (const { item, text } of work.items.values()) {
      const asked = askedKey(work, item.id)
      if (text.last === undefined || asked === undefined) continue
      this.unfinished.delete(asked)
      this.unfinished.set(asked, { events: [...text.events], last: text.last, versions: [...text.versions] })
    }
    for (const asked of [...this.unfinished.keys()].slice(0, -KEPT_UNFINISHED)) this.unfinished.delete(asked)
  }

  /** Saves what came since the last time, in one record for all running items; `force` does so before it is due. */
  async save (works: Iterable<StepWork>, force = false): Promise<void> {
    if (!this.services.progress.due && !force) return
    const parts: ProgressPart[] = []
    const taken: { readonly text: ItemText, readonly part: UnsavedPart }[] = []
    const since = this.services.clock.monotonic()
    for (const { step, items } of works) {
      for (const { item, text, state } of items.values()) {
        const unsaved = state === 'running' ? text.unsaved(since) : undefined
        if (unsaved === undefined) continue
        parts.push({ step: step.submission.id, item: item.id, ...unsaved })
        taken.push({ text, part: unsaved })
      }
    }
    if (parts.length === 0 || !await this.services.progress.save(parts)) return
    for (const { text, part } of taken) text.noteSaved(part, since)
  }

  private async read (wanted: boolean): Promise<SavedTexts> {
    return wanted ? await this.services.progress.load() : new Map()
  }
}

/**
 * What an engine is asked for an item; `undefined` while its payload is not read. An id alone would let an
 * item go on from the text of another prompt, where a later step uses the id again.
 */
export function askedKey ({ step: { submission: { host, model } }, payloads }: StepWork, item: string): string | undefined {
  const payload = payloads?.get(item)
  if (payload === undefined) return undefined
  const headers = Object.entries(payload.headers).sort(([a], [b]) => a < b ? -1 : 1)
  return JSON.stringify([item, host, model, payload.path, headers, payload.body])
}
