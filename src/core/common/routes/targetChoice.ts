/**
 * Which target gets a request next. Load pattern: a few requests a second to services of a few
 * targets, some of which are slow, dark or leaving, seen by hosts that do not tell each other what
 * they send. Each host ranks by the wait that it expects: its own requests in flight and the
 * target's last word on its load, over the target's own time for an answer.
 */

import type { LoadReport, TargetDefinition } from './target.ts'

/** What a host knows of a target's load. */
export interface TargetLoad {
  readonly definition: TargetDefinition
  /** Requests of this host that the target has not answered. */
  readonly inFlight: number
  readonly report: LoadReport | undefined
  /** Age of the report, in milliseconds. */
  readonly reportAgeMs: number
  /** Moving mean of the time to an answer, in milliseconds; absent before the first one. */
  readonly answerMs: number | undefined
  /** Whether it failed to answer lately. */
  readonly suspect: boolean
}

/** A report says little after about as long as a request lasts, in milliseconds. */
const REPORT_VALID_MS = 400
/** Assumed time for an answer of a target that has not answered yet, in milliseconds: that of a short look-up. */
const FIRST_ANSWER_MS = 40
/** What the way to another failure domain and back costs, in milliseconds; a little over what sites name. */
const OTHER_PLACE_MS = 4
/** Added to a suspect: more than any queue, so that it is asked only where no other is left. */
const SUSPECT_MS = 60_000

/** Time until an answer that a target is expected to need, in milliseconds. */
export function expectedMs (load: TargetLoad, place: string | undefined): number {
  const { definition, inFlight, report, reportAgeMs } = load
  const told = report !== undefined && reportAgeMs < REPORT_VALID_MS ? report.running + report.waiting : 0
  const ahead = Math.max(inFlight, told)
  const answerMs = load.answerMs ?? FIRST_ANSWER_MS
  const waves = Math.floor(ahead / Math.max(1, definition.slots))
  const busy = ahead / Math.max(1, definition.slots)
  return answerMs * (1 + waves + busy) + (definition.place === place ? 0 : OTHER_PLACE_MS) + (load.suspect ? SUSPECT_MS : 0)
}

/** The target with the least expected time; equal ones are told apart by `chance`, 0 up to but without 1. */
export function chooseTarget<Load extends TargetLoad> (loads: readonly Load[], place: string | undefined, chance: number): Load | undefined {
  let best: Load[] = []
  let bestMs = Number.POSITIVE_INFINITY
  for (const load of loads) {
    const time = Math.round(expectedMs(load, place))
    if (time < bestMs) {
      best = [load]
      bestMs = time
    } else if (time === bestMs) {
      best.push(load)
    }
  }
  return best[Math.floor(chance * best.length)]
}
