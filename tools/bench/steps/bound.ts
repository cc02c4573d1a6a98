/**
 * What no policy can beat: how soon each group of a step could be whole if all lengths and all troubles were known
 * beforehand, nothing else were under way, and every step were asked when it was planned.
 */

import type { DayDraws, Interval } from './draws.ts'
import type { Shape } from './shape.ts'

/** Least times from the submission of a step until its groups are listed, in milliseconds, the soonest first. */
export function leastGroupMs (shape: Shape, draws: DayDraws, number: number): number[] {
  const { trainer, engines } = shape
  const beganMs = number * trainer.interval_s * 1000
  const longest = new Map<string, number>()
  for (const { group, events } of draws.steps[number] ?? []) longest.set(group, Math.max(longest.get(group) ?? 0, events))
  return [...longest.values()].sort((a, b) => a - b).map((events) => {
    const ranMs = after(beganMs, engines.start_ms + events * engines.event_ms, draws.holderLost)
    return after(ranMs, engines.finish_ms, draws.storeAway) - beganMs
  })
}

/** When something is done that takes so long and stands still in these intervals. */
function after (beganMs: number, tookMs: number, intervals: readonly Interval[]): number {
  let end = beganMs + tookMs
  for (const { fromMs, untilMs } of [...intervals].sort((a, b) => a.fromMs - b.fromMs)) {
    if (fromMs < end && untilMs > beganMs) end += untilMs - Math.max(fromMs, beganMs)
  }
  return end
}
