/**
 * Lower bound for all policies: the earliest time at which each group of a step could be complete if all lengths and
 * disruptions were known in advance, no other work were running, and every step were submitted as planned.
 */

import type { DayDraws, Interval } from './draws.ts'
import type { DayShape } from './shape.ts'

/** Returns the minimum times from the submission of a step until each of its groups is listed, in milliseconds and ascending order. */
export function minGroupCompletionMs (shape: DayShape, draws: DayDraws, stepNumber: number): number[] {
  const { trainer, engines } = shape
  const submittedMs = stepNumber * trainer.interval_s * 1000
  const longestByGroup = new Map<string, number>()
  for (const { group, events } of draws.steps[stepNumber] ?? []) longestByGroup.set(group, Math.max(longestByGroup.get(group) ?? 0, events))
  return [...longestByGroup.values()].sort((a, b) => a - b).map((events) => {
    const generatedMs = completionTime(submittedMs, engines.start_ms + events * engines.event_ms, draws.holderLosses)
    return completionTime(generatedMs, engines.finish_ms, draws.storeOutages) - submittedMs
  })
}

/** Returns when work of the given duration is complete if it pauses during the intervals. */
function completionTime (startMs: number, durationMs: number, intervals: readonly Interval[]): number {
  let end = startMs + durationMs
  for (const { fromMs, untilMs } of [...intervals].sort((a, b) => a.fromMs - b.fromMs)) {
    if (fromMs < end && untilMs > startMs) end += untilMs - Math.max(fromMs, startMs)
  }
  return end
}
