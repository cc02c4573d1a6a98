/** The number of slots that open steps need from a service, now and in the recent past. */

/** Time within which an earlier demand still counts; its weight decreases evenly to zero. Steps of a trainer follow each other within this time, and targets should not come and go with each step. */
const DEMAND_FADE_MS = 10_000
/** Time for which a surplus must last before targets are given up. */
export const SURPLUS_MS = 60_000

/** An open step: what its unfinished items still need from an engine's slot, and the time until the step is due. */
export interface OpenWork {
  readonly remainingMs: readonly number[]
  readonly timeLeftMs: number
}

/** Part of the time left in which items do not run: engines load weights for 0.85 s after a version is named, and texts are scored and written at the end. */
const RESERVED_MS = 1000

/**
 * Returns a number of slots with which the items are finished in time. Items that start as soon as a slot is free end within
 * the total work divided by the slots, plus the longest item. Some of the longest items may be given slots of their own, as one
 * item that takes nearly all the time would otherwise demand a slot for each of the others; the best such number is used.
 */
export function slotsNeeded ({ remainingMs, timeLeftMs }: OpenWork): number {
  const usableMs = timeLeftMs - RESERVED_MS
  const longestFirst = [...remainingMs].sort((a, b) => b - a)
  let restMs = longestFirst.reduce((sum, ms) => sum + ms, 0)
  return longestFirst.reduce((least, longestMs, ownSlots) => {
    const slots = longestMs < usableMs ? ownSlots + Math.ceil(restMs / (usableMs - longestMs)) : least
    restMs -= longestMs
    return Math.min(least, slots)
  }, longestFirst.length)
}

interface DemandSample {
  readonly atMs: number
  readonly slots: number
}

/** Records the demand of one service. */
export class FleetDemand {
  private recent: DemandSample[] = []
  private readonly past: DemandSample[] = []
  private recordedSinceMs: number | undefined

  /** Records the demand at a time; `undefined` if it is not known, and everything before then no longer justifies giving up targets. */
  record (slots: number | undefined, nowMs: number): void {
    if (slots === undefined) {
      this.recordedSinceMs = undefined
      this.past.length = 0
      return
    }
    this.recordedSinceMs ??= nowMs
    this.recent = [...this.recent.filter(({ atMs }) => nowMs - atMs < DEMAND_FADE_MS), { atMs: nowMs, slots }]
    // Samples that are followed by a larger one never become the largest again.
    while ((this.past.at(-1)?.slots ?? Number.POSITIVE_INFINITY) <= slots) this.past.pop()
    this.past.push({ atMs: nowMs, slots })
    while ((this.past[0]?.atMs ?? nowMs) < nowMs - SURPLUS_MS) this.past.shift()
  }

  /** The largest demand of the last 10 s, each weighted by its age. */
  current (nowMs: number): number {
    return this.recent.reduce((largest, { atMs, slots }) => Math.max(largest, Math.ceil(slots * (1 - (nowMs - atMs) / DEMAND_FADE_MS))), 0)
  }

  /** The largest demand of the last 60 s; `undefined` if the demand has not been known for so long. */
  largest (nowMs: number): number | undefined {
    if (this.recordedSinceMs === undefined || nowMs - this.recordedSinceMs < SURPLUS_MS) return undefined
    return this.past[0]?.slots ?? 0
  }
}
