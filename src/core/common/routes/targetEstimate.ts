/** Estimates from what a host knows of a target's load. */

import type { TargetLoad } from './targetChoice.ts'

/** How long a load report is used. After about the duration of a request it no longer reflects the load. */
const REPORT_VALID_MS = 400
/** Requests that may wait at a target. They keep its slots busy while the news of a free slot travels to a host and the next request back; requests beyond them could no longer be overtaken by an urgent one. */
const TARGET_QUEUE = 2

/** Whether a target is expected to start one more request soon. */
export function hasRoom ({ definition, inFlight, report, reportAgeMs }: TargetLoad): boolean {
  const reportedLoad = report !== undefined && reportAgeMs < REPORT_VALID_MS ? report.running + report.waiting : 0
  return Math.max(inFlight, reportedLoad) < definition.slots + TARGET_QUEUE
}
