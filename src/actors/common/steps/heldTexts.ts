/**
 * Texts of items that are not finished: saves them now and then while they grow, keeps them when their
 * step ends before them, and gives an item that is to run the text from which it may go on.
 */

import type { ProgressPart, SavedText } from '../../../core/common/steps/progress.ts'
import { progressKey } from '../../../core/common/steps/progress.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { ItemText } from './itemRun.ts'
import type { ProgressKeeper } from './progressKeeper.ts'
import type { ItemWork, StepWork } from './stepWork.ts'

export interface HeldTextsServices {
  readonly progress: ProgressKeeper
  readonly metrics: Metrics
}

/** Texts by the key of their step and item. */
export type SavedTexts = ReadonlyMap<string, SavedText>

/** Unfinished texts that are kept: those of some steps. */
const KEPT_UNFINISHED = 500

export class HeldTexts {
  /** Texts of items whose steps ended before them. */
  private readonly unfinished = new Map<string, SavedText>()

  constructor (private readonly services: HeldTextsServices) {}

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
    const counts: { readonly text: ItemText, readonly count: number }[] = []
    for (const { step, items } of works) {
      for (const { item, text, state } of items.values()) {
        const unsaved = state === 'running' ? text.unsaved() : undefined
        if (unsaved === undefined) continue
        parts.push({ step: step.submission.id, item: item.id, ...unsaved })
        counts.push({ text, count: unsaved.from + unsaved.events.length })
      }
    }
    if (parts.length === 0 || !await this.services.progress.save(parts)) return
    for (const { text, count } of counts) text.saved = Math.max(text.saved, Math.min(count, text.events.length))
  }
}
