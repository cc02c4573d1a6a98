/**
 * Comparison of target incarnations; a target that restarts gets a new incarnation. This is the only
 * place where incarnations are compared. Entries arrive late, repeatedly or from other writers, and
 * reports are some hundred milliseconds old, so data of an earlier incarnation must never be
 * attributed to the current one.
 */

import type { Incarnation } from '../../../base/common/ids.ts'

/**
 * The order of a reported incarnation relative to the known one.
 * `same`: it is the known incarnation. `newer`: the target has restarted, so nothing known about it applies any longer.
 * `older`: the report does not concern the current incarnation. `untold`: no incarnation is given although one is known.
 */
export type IncarnationOrder = 'same' | 'newer' | 'older' | 'untold'

/** Compares a reported incarnation with the known one. If neither is given, an id has a single incarnation. */
export function compareIncarnations (known: Incarnation | undefined, reported: Incarnation | undefined): IncarnationOrder {
  if (reported === undefined) return known === undefined ? 'same' : 'untold'
  if (known === undefined || reported > known) return 'newer'
  return reported === known ? 'same' : 'older'
}

/** Maximum number of tracked ids. It is far above the number of concurrent targets, so only ids unused for a long time are evicted. */
const MAX_TRACKED_IDS = 10_000

/**
 * Tracks the newest incarnation of each id, even after its entry is removed, as an entry that is
 * written late would otherwise restore an earlier incarnation.
 */
export class IncarnationTracker {
  private readonly newest = new Map<string, Incarnation>()

  /** Compares a reported incarnation with the newest one of this id. What is reported for other ids has no influence. */
  observe (id: string, reported: Incarnation | undefined): IncarnationOrder {
    const order = compareIncarnations(this.newest.get(id), reported)
    if (order === 'newer' && reported !== undefined) this.track(id, reported)
    return order
  }

  forget (id: string): void {
    this.newest.delete(id)
  }

  private track (id: string, reported: Incarnation): void {
    this.newest.delete(id)
    this.newest.set(id, reported)
    const [oldest] = this.newest.keys()
    if (this.newest.size > MAX_TRACKED_IDS && oldest !== undefined) this.newest.delete(oldest)
  }
}
