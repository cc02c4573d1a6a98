/**
 * Texts of items that are not finished: saves them now and then while they grow, keeps them when their
 * step ends before them, and gives an item that is to run the text from which it may go on.
 */

import { asTextId } from '../../../base/common/ids.ts'
import type { ProgressPart, SavedText } from '../../../core/common/steps/progress.ts'
import { progressKey } from '../../../core/common/steps/progress.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { UnsavedPart } from './itemRun.ts'
import { ItemText } from './itemRun.ts'
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
  /** Texts of items whose steps ended before them. */
  private readonly unfinished = new Map<string, SavedText>()

  constructor (private readonly services: HeldTextsServices) {}

  /** An empty text for an item. */
  begin (): ItemText {
    return new ItemText(() => asTextId(this.services.nonce()))
  }

  /** Goes on from what is held of an item's text, if its versions fit; `saved` is what the store has of its step. */
  restore (work: StepWork, itemWork: ItemWork, saved: SavedTexts, singleVersion: boolean): void {
    const { submission } = work.step
    const held = saved.get(progressKey(submission.id, itemWork.item.id)) ?? this.unfinished.get(itemWork.item.id)
    if (held === undefined || held.events.length === 0 || itemWork.state !== 'waiting') return
    if (singleVersion || held.versions.some((version) => version < submission.minimumVersion)) return
    itemWork.text.restore(held)
    this.services.metrics.count('steps.resumed')
  }

  /** Keeps the unfinished texts of a step: its groups may come again. */
  keep (work: StepWork): void {
    for (const { item, text } of work.items.values()) {
      if (text.last !== undefined) this.unfinished.set(item.id, { events: [...text.events], last: text.last, versions: [...text.versions] })
    }
    for (const id of [...this.unfinished.keys()].slice(0, -KEPT_UNFINISHED)) this.unfinished.delete(id)
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
}
