/**
 * Selects the target for a request. Load pattern: a few requests per second to services with a few
 * targets, some of which are slow, unreachable or shutting down, from hosts that do not share what
 * they send. Each host ranks targets by the expected time to an answer. It is derived from the host's
 * own requests in flight, the load that the target last reported, and the target's answer time.
 */

import type { LoadReport, TargetDefinition } from './target.ts'

/** A target's load as known to a host. */
export interface TargetLoad {
  readonly definition: TargetDefinition
  /** Number of requests of this host that the target has not answered yet. */
  readonly inFlight: number
  readonly report: LoadReport | undefined
  /** Age of the report, in milliseconds. */
  readonly reportAgeMs: number
  /** Moving average of the time to an answer, in milliseconds; absent before the first answer. */
  readonly answerMs: number | undefined
  /** Whether the target recently failed to answer. */
  readonly suspect: boolean
}

/** How long a load report is used. After about the duration of a request it no longer reflects the load. */
const REPORT_VALID_MS = 400
/** Assumed answer time of a target that has not answered yet, which is that of a short look-up. */
const INITIAL_ANSWER_MS = 40
/** Cost of a round trip to another failure domain, set slightly above the round-trip times specified for sites. */
const CROSS_DOMAIN_LATENCY_MS = 4
/** Penalty of a suspect target. It exceeds any queueing time, so a suspect is used only if no other target is left. */
const SUSPECT_PENALTY_MS = 60_000

/** Returns the expected time until a target answers, in milliseconds. */
export function expectedAnswerMs (load: TargetLoad, place: string | undefined): number {
  const { definition, inFlight, report, reportAgeMs } = load
  const reportedLoad = report !== undefined && reportAgeMs < REPORT_VALID_MS ? report.running + report.waiting : 0
  const ahead = Math.max(inFlight, reportedLoad)
  const answerMs = load.answerMs ?? INITIAL_ANSWER_MS
  const fullRounds = Math.floor(ahead / Math.max(1, definition.slots))
  const utilization = ahead / Math.max(1, definition.slots)
  return answerMs * (1 + fullRounds + utilization) + (definition.place === place ? 0 : CROSS_DOMAIN_LATENCY_MS) + (load.suspect ? SUSPECT_PENALTY_MS : 0)
}

/** Returns the target with the lowest expected time to an answer. Ties are broken by `random`, a number in the range [0, 1). */
export function chooseTarget<Load extends TargetLoad> (loads: readonly Load[], place: string | undefined, random: number): Load | undefined {
  let best: Load[] = []
  let bestMs = Number.POSITIVE_INFINITY
  for (const load of loads) {
    const expected = Math.round(expectedAnswerMs(load, place))
    if (expected < bestMs) {
      best = [load]
      bestMs = expected
    } else if (expected === bestMs) {
      best.push(load)
    }
  }
  return best[Math.floor(random * best.length)]
}
