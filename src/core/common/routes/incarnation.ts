/**
 * What it means that a target tells of another life than the one that is known. The one place where
 * incarnations are compared: entries arrive late, repeated or from other writers, reports are some
 * hundred milliseconds old, and nothing of an earlier life may pass for the present one.
 */

import type { Incarnation } from '../../../base/common/ids.ts'

/**
 * `same`: the known life. `newer`: the target has started again, so nothing learned of it holds.
 * `older`: it says nothing about the present life. `untold`: no life is named where targets name theirs.
 */
export type LifeVerdict = 'same' | 'newer' | 'older' | 'untold'

/** Compares what is told with what is known; where neither names a life, an id has one life. */
export function judgeLife (known: Incarnation | undefined, told: Incarnation | undefined): LifeVerdict {
  if (told === undefined) return known === undefined ? 'same' : 'untold'
  if (known === undefined || told > known) return 'newer'
  return told === known ? 'same' : 'older'
}

/** Ids whose newest life is remembered: far more than a deployment has at once, so that only ids of long ago are forgotten. */
const REMEMBERED_IDS = 10_000

/**
 * The newest life of each id by its entries, also after the entry is gone: an entry that is written
 * late would else bring an earlier life back. Once any entry names a life, one that names none is
 * from another writer.
 */
export class LifeRecord {
  private readonly newest = new Map<string, Incarnation>()
  private told = false

  /** Whether entries name lives here. */
  get areTold (): boolean {
    return this.told
  }

  judge (id: string, told: Incarnation | undefined): LifeVerdict {
    if (told === undefined) return this.told ? 'untold' : 'same'
    this.told = true
    const verdict = judgeLife(this.newest.get(id), told)
    if (verdict === 'newer') this.remember(id, told)
    return verdict
  }

  private remember (id: string, incarnation: Incarnation): void {
    this.newest.delete(id)
    this.newest.set(id, incarnation)
    const [oldest] = this.newest.keys()
    if (this.newest.size > REMEMBERED_IDS && oldest !== undefined) this.newest.delete(oldest)
  }
}
