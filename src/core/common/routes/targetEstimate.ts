/**
 * Estimates when a target answers, and whether it has room for another request, from what one host
 * knows of it: the load that the target last reported, this host's own sends since, and its pace.
 *
 * Two kinds of services are told apart. Where no target reports how slowly it currently works, a
 * report counts in full for a fixed time. Where one has reported it, a report is aged by what the target
 * has answered since, and its slowdown by how soon slowdowns change.
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
  /** Number of requests that this host has sent since the report. */
  readonly sentSinceReport: number
  /** Moving average of the time to an answer at usual speed, in milliseconds; absent before the first answer. */
  readonly answerMs: number | undefined
  /** Whether the target recently failed to answer. */
  readonly suspect: boolean
  /** Whether a target of the service has reported a slowdown. */
  readonly reportsSlowdown: boolean
}

/** How long a load report is used if targets report no slowdown. After about the duration of a request it no longer reflects the load. */
const REPORT_VALID_MS = 400
/** Assumed answer time of a target that has not answered yet, which is that of a short look-up. */
export const INITIAL_ANSWER_MS = 40
/** Cost of a round trip to another failure domain, set slightly above the round-trip times specified for sites. */
const CROSS_DOMAIN_LATENCY_MS = 4
/** Penalty of a suspect target. It exceeds any queueing time, so a suspect is used only if no other target is left. */
const SUSPECT_PENALTY_MS = 60_000
/** Time after which targets draw a new slowdown. A report of this age says nothing about the present one. */
const SLOWDOWN_LIFETIME_MS = 600
/** Bounds of a slowdown. A report outside them would make a target look free of cost, or its pace too small to ever be corrected. */
const MIN_SLOWDOWN = 0.1
const MAX_SLOWDOWN = 10
/**
 * Requests that may queue at a target. Two keep its slots busy while the news of a free slot travels to this host
 * and the next request travels back; further ones could no longer be overtaken by an urgent call.
 */
export const MAX_QUEUED_AT_TARGET = 2

/** Returns a reported slowdown within its bounds; 1 if none is reported. */
export function boundedSlowdown (reported: number | undefined): number {
  return reported === undefined ? 1 : Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, reported))
}

/** Returns the fraction of a slowdown's distance from 1 that is still expected after the given time. */
export function slowdownWeight (ageMs: number): number {
  return Math.max(0, 1 - ageMs / SLOWDOWN_LIFETIME_MS)
}

/** Returns the slowdown that is expected now; 1 if the report is old or states none. */
export function presentSlowdown ({ report, reportAgeMs }: Pick<TargetLoad, 'report' | 'reportAgeMs'>): number {
  if (report?.slowdown === undefined) return 1
  return 1 + (boundedSlowdown(report.slowdown) - 1) * slowdownWeight(reportAgeMs)
}

/** Returns the time that a single request takes at a target now, in milliseconds, without the requests ahead of it. */
function presentPaceMs (load: TargetLoad): number {
  return (load.answerMs ?? INITIAL_ANSWER_MS) * presentSlowdown(load)
}

/** Returns the expected number of requests that the target has not answered yet. */
export function requestsAhead (load: TargetLoad): number {
  const { definition, inFlight, report, reportAgeMs } = load
  if (!load.reportsSlowdown) return Math.max(inFlight, report !== undefined && reportAgeMs < REPORT_VALID_MS ? report.running + report.waiting : 0)
  if (report === undefined) return inFlight
  const answered = reportAgeMs / Math.max(1, presentPaceMs(load)) * Math.max(1, definition.slots)
  const remaining = Math.max(0, report.running + report.waiting - answered)
  // A request that was answered without a report is no longer ahead.
  return Math.max(inFlight, remaining + Math.min(load.sentSinceReport, inFlight))
}

/** Returns the expected time until a target answers, in milliseconds. */
export function expectedAnswerMs (load: TargetLoad, place: string | undefined): number {
  const { definition } = load
  const ahead = requestsAhead(load)
  const fullRounds = Math.floor(ahead / Math.max(1, definition.slots))
  const utilization = ahead / Math.max(1, definition.slots)
  return presentPaceMs(load) * (1 + fullRounds + utilization) + (definition.place === place ? 0 : CROSS_DOMAIN_LATENCY_MS) + (load.suspect ? SUSPECT_PENALTY_MS : 0)
}

/** Returns whether a target can take another request now rather than queue it for long. */
export function hasRoom (load: TargetLoad): boolean {
  return requestsAhead(load) < load.definition.slots + MAX_QUEUED_AT_TARGET
}
