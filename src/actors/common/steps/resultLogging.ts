/**
 * Logs and measures results as the holder of the duty reads them back from the topic: the position of each, the term in which
 * it was read, the time that its item spent in each phase, and when a step has the results that its trainer waits for.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { ItemPhase, PhaseTimes } from '../../../core/common/steps/itemPhases.ts'
import type { StepChange } from '../../../core/common/steps/stepFold.ts'
import { carriedOverGroups, hasWantedGroups } from '../../../core/common/steps/wantedGroups.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { DutyLeaseManager } from '../duties/dutyLeaseManager.ts'
import type { StepTopic } from '../store/stepTopic.ts'

export interface ResultLoggingServices {
  readonly topic: Pick<StepTopic, 'onChange' | 'steps'>
  readonly duty: Pick<DutyLeaseManager, 'holds' | 'term'>
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
  readonly routes: () => RouteTable | undefined
  /** Time that an item spent in each phase; `undefined` if this host did not run it. */
  readonly phasesOf: (step: string, item: string) => PhaseTimes | undefined
}

/** Logs each result while this host holds the duty, until the returned object is disposed. */
export function logResults (services: ResultLoggingServices): Disposable {
  return services.topic.onChange((change) => {
    if (change.type === 'listed' && services.duty.holds) logResult(services, change)
  })
}

function logResult (services: ResultLoggingServices, change: Extract<StepChange, { type: 'listed' }>): void {
  const { duty, metrics, stateLog } = services
  const { step, result: { item }, position, offset } = change
  const phases = services.phasesOf(step.submission.id, item)
  stateLog.decided('result listed', { step: step.submission.id, item, position, offset, term: duty.term, ...phases })
  for (const [phase, spent] of Object.entries(phases ?? {})) metrics.timing(`steps.${phase as ItemPhase}`, spent)
  logWantedGroups(services, change, phases)
}

/** Logs when the last group that the trainer waits for is complete. Later results do not delay the trainer. */
function logWantedGroups ({ topic, routes, clock, metrics, stateLog }: ResultLoggingServices, { step, result, position }: Extract<StepChange, { type: 'listed' }>, phases: PhaseTimes | undefined): void {
  const { id, number, model, host, path } = step.submission
  // For most results, too few groups are complete whichever were carried over. This check avoids the search for carried groups among all steps.
  if (!hasWantedGroups(step, position + 1, new Set())) return
  const carried = carriedOverGroups(step, topic.steps())
  // The step may already contain later results, as results are read in batches.
  if (hasWantedGroups(step, position, carried) || !hasWantedGroups(step, position + 1, carried)) return
  const tookMs = clock.wall() - step.submittedAt
  metrics.timing('steps.wanted', tookMs)
  stateLog.decided('wanted groups listed', { step: id, number, model, tookMs, dueMs: routes()?.findRoute(host, path)?.dueMs ?? 0, listed: position + 1, item: result.item, ...phases })
}
