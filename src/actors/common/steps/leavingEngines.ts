/**
 * Moves items off engines that leave at a known time and would not finish them. The text of an item goes with it, so that it
 * resumes elsewhere; an item that is broken off by the end of its engine loses the time until the break is noticed.
 */

import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { ItemLengthEstimator } from '../../../core/common/steps/itemLengthEstimator.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import type { ItemPlacement } from './itemPlacement.ts'
import { refusableItem } from './itemPlacement.ts'
import type { ItemWork, StepWork } from './stepWork.ts'

export interface LeavingEnginesServices {
  readonly placement: Pick<ItemPlacement, 'freeEngines'>
  readonly lengths: Pick<ItemLengthEstimator, 'remainingEvents' | 'remainingMs'>
  /** Whether targets of a service are rented. */
  readonly isRented: (service: string) => boolean
  readonly clock: Clock
  readonly stateLog: StateLog
  readonly mechanisms: Pick<Mechanisms, 'rented_targets'>
}

/** An item moves if it would end less than this before its engine. Announced ends and expected times are not exact, and a late move costs the item its time at the engine. */
const MOVE_MARGIN_MS = 200

/** Returns whether an item would not be finished before its engine leaves. */
export function outlastsEngine (remainingMs: number, timeLeftMs: number): boolean {
  return remainingMs + MOVE_MARGIN_MS > timeLeftMs
}

export class LeavingEngines {
  constructor (private readonly services: LeavingEnginesServices) {}

  /** Stops the runs that should resume on another engine with a free slot, the longest first; there are no more of them than free slots. */
  moveItems (work: StepWork, route: Route): void {
    if (!this.services.mechanisms.rented_targets) return
    const leaving = [...work.items.values()].flatMap((itemWork) => this.findMove(itemWork) ?? [])
    if (leaving.length === 0) return
    leaving.sort((a, b) => b.remainingMs - a.remainingMs)
    const free = this.services.placement.freeEngines(work, route).map(({ engine, slots, running, version, accepts }) => ({ engine, version, accepts, freeSlots: slots - running }))
    for (const { itemWork, remainingMs, leftMs } of leaving) {
      const target = free.find(({ freeSlots, version, accepts }) => freeSlots > 0 && accepts(refusableItem(work, itemWork)) && mayResume(itemWork, route, version))
      if (target === undefined) continue
      target.freeSlots--
      this.services.stateLog.decided('run moved off a leaving engine', { item: itemWork.item.id, step: work.step.submission.id, engine: itemWork.engine?.id ?? '', leftMs: Math.round(leftMs), remainingMs: Math.round(remainingMs), events: itemWork.text.events.length })
      itemWork.state = 'waiting'
      itemWork.runCancellation?.abort()
    }
  }

  private findMove (itemWork: ItemWork): { readonly itemWork: ItemWork, readonly remainingMs: number, readonly leftMs: number } | undefined {
    const { engine } = itemWork
    const leavesAtMs = engine?.target.definition.leavesAtMs
    if (itemWork.state !== 'running' || engine === undefined || leavesAtMs === undefined || !this.services.isRented(engine.target.definition.service)) return undefined
    const now = this.services.clock.monotonic()
    const length = { expectedTokens: itemWork.item.expectedTokens, events: itemWork.text.events.length }
    const eventMs = engine.pace.recentIntervalMs(now) ?? engine.pace.baselineIntervalMs
    const remainingMs = eventMs === undefined ? this.services.lengths.remainingMs(length) : this.services.lengths.remainingEvents(length) * eventMs
    const leftMs = leavesAtMs - now
    return outlastsEngine(remainingMs, leftMs) ? { itemWork, remainingMs, leftMs } : undefined
  }
}

/** Where a sample must come from a single version, a text can only be continued by an engine that has this version. */
function mayResume ({ text }: ItemWork, { singleVersion }: Route, version: number): boolean {
  return !singleVersion || text.versions.every((known) => known === version)
}
