/**
 * Manages the texts of unfinished items: saves them periodically while they are generated, retains them if their
 * step ends first, and restores the text from which a waiting item can resume.
 */

import { asTextId } from '../../../base/common/ids.ts'
import type { ProgressPart, SavedText } from '../../../core/common/steps/progress.ts'
import { progressKey, versionsOf } from '../../../core/common/steps/progress.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { UnsavedPart } from './itemText.ts'
import { ItemText } from './itemText.ts'
import type { ProgressStore } from './progressStore.ts'
import type { ItemWork, StepWork } from './stepWork.ts'

export interface UnfinishedTextsServices {
  readonly progress: ProgressStore
  readonly clock: Clock
  readonly metrics: Metrics
  /** Returns a string that is unique across hosts and calls. */
  readonly nonce: () => string
}

/** Saved texts by progress key, which names step and item. */
export type SavedTexts = ReadonlyMap<string, SavedText>

/** Enough for the unfinished items of several steps. */
const MAX_RETAINED_TEXTS = 500

export class UnfinishedTexts {
  /** Texts of items whose steps ended before the items were complete, by request key. */
  private readonly retained = new Map<string, SavedText>()
  /** Saved texts being loaded from the store since this host claimed the duty. */
  private ahead: Promise<SavedTexts> | undefined

  constructor (private readonly services: UnfinishedTextsServices) {}

  /** Starts loading saved texts before it is known whether this host obtains the duty. */
  readAhead (hasOpenSteps: boolean): void {
    this.ahead = this.load(hasOpenSteps)
  }

  /** Returns the saved texts of running items for a host that takes over; nothing is read if no step is open. */
  async loadSaved (hasOpenSteps: boolean): Promise<SavedTexts> {
    const saved = this.ahead ?? this.load(hasOpenSteps)
    this.ahead = undefined
    return await saved
  }

  createText (): ItemText {
    return new ItemText(() => asTextId(this.services.nonce()))
  }

  /**
   * Resumes an item from the longest known text whose model versions are recent enough. `saved` contains the texts from
   * the store, `headStart` a text that was generated before the step requested the item. A former holder of the duty may
   * have a shorter or a longer text in memory than the store.
   */
  restore (work: StepWork, itemWork: ItemWork, saved: SavedTexts, singleVersion: boolean, headStart?: SavedText): void {
    const { submission } = work.step
    const requestKey = itemRequestKey(work, itemWork.item.id)
    const candidates = [headStart, saved.get(progressKey(submission.id, itemWork.item.id)), requestKey === undefined ? undefined : this.retained.get(requestKey)]
    const compatible = candidates.filter((text) => text !== undefined).filter(({ events }) => versionsOf(events).every((version) => version >= submission.minimumVersion))
    const longest = compatible.sort((a, b) => b.events.length - a.events.length)[0]
    if (longest === undefined || longest.events.length === 0 || singleVersion || itemWork.state !== 'waiting') return
    itemWork.text.restore(longest)
    this.services.metrics.count('steps.resumed')
  }

  /** Retains the unfinished texts of a step, as a later step may contain the same groups. */
  retain (work: StepWork): void {
    for (const { item, text } of work.items.values()) {
      const requestKey = itemRequestKey(work, item.id)
      const { generated } = text
      if (generated === undefined || requestKey === undefined) continue
      this.retained.delete(requestKey)
      this.retained.set(requestKey, generated)
    }
    for (const requestKey of [...this.retained.keys()].slice(0, -MAX_RETAINED_TEXTS)) this.retained.delete(requestKey)
  }

  /** Saves the events added since the last save, batched for all running items; `force` saves before the interval has elapsed. */
  async save (works: Iterable<StepWork>, force = false): Promise<void> {
    if (!this.services.progress.isDue && !force) return
    const parts: ProgressPart[] = []
    const submittedParts: { readonly text: ItemText, readonly part: UnsavedPart }[] = []
    const takenAt = this.services.clock.monotonic()
    for (const { step, items } of works) {
      for (const { item, text, state } of items.values()) {
        const unsaved = state === 'running' ? text.unsavedPart(takenAt) : undefined
        if (unsaved === undefined) continue
        parts.push({ step: step.submission.id, item: item.id, ...unsaved })
        submittedParts.push({ text, part: unsaved })
      }
    }
    if (parts.length === 0 || !await this.services.progress.save(parts)) return
    for (const { text, part } of submittedParts) text.markSaved(part, takenAt)
  }

  private async load (hasOpenSteps: boolean): Promise<SavedTexts> {
    return hasOpenSteps ? await this.services.progress.load() : new Map()
  }
}

/**
 * Identifies the request that an engine receives for an item; `undefined` while the payload has not been read. The
 * item's id alone is not enough: if a later step reuses the id, the item would resume from the text of another prompt.
 */
export function itemRequestKey ({ step: { submission: { host, model } }, payloads }: StepWork, item: string): string | undefined {
  const payload = payloads?.get(item)
  if (payload === undefined) return undefined
  const headers = Object.entries(payload.headers).sort(([a], [b]) => a < b ? -1 : 1)
  return JSON.stringify([item, host, model, payload.path, headers, payload.body])
}
