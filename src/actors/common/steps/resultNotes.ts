/**
 * Lines and measures about results as the holder of the duty reads them back: where each stands, in whose term it was
 * read, where the time of its item went, and when a step has what its trainer waits for.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { ItemPhase, PhaseTimes } from '../../../core/common/steps/itemPhases.ts'
import type { StepChange } from '../../../core/common/steps/stepFold.ts'
import { carriedOverGroups, hasWantedGroups } from '../../../core/common/steps/wantedGroups.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { DutyKeeper } from '../duties/dutyKeeper.ts'
import type { StepTopic } from '../store/stepTopic.ts'

export interface ResultNotesServices {
  readonly topic: Pick<StepTopic, 'onChange' | 'steps'>
  readonly duty: Pick<DutyKeeper, 'holds' | 'term'>
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
  readonly routes: () => RouteTable | undefined
  /** Where the time of an item went; `undefined` where this host did not run it. */
  readonly phasesOf: (step: string, item: string) => PhaseTimes | undefined
}

/** Writes a line for each result, while this host holds the duty, until the outcome is disposed. */
export function noteResults (services: ResultNotesServices): Disposable {
  return services.topic.onChange((change) => {
    if (change.type === 'listed' && services.duty.holds) noteResult(services, change)
  })
}

function noteResult (services: ResultNotesServices, change: Extract<StepChange, { type: 'listed' }>): void {
  const { duty, metrics, stateLog } = services
  const { step, result: { item }, position, offset } = change
  const phases = services.phasesOf(step.submission.id, item)
  stateLog.decided('result listed', { step: step.submission.id, item, position, offset, term: duty.term, ...phases })
  for (const [phase, spent] of Object.entries(phases ?? {})) metrics.timing(`steps.${phase as ItemPhase}`, spent)
  noteWanted(services, change, phases)
}

/** Tells when the last group that the trainer waits for is whole: everything after that costs the trainer nothing. */
function noteWanted ({ topic, routes, clock, metrics, stateLog }: ResultNotesServices, { step, result, position }: Extract<StepChange, { type: 'listed' }>, phases: PhaseTimes | undefined): void {
  const { id, number, model, host, path } = step.submission
  // At most results too few groups are whole, whichever were carried; those are looked up among all steps.
  if (!hasWantedGroups(step, position + 1, new Set())) return
  const carried = carriedOverGroups(step, topic.steps())
  // The step may have more results by now than this one: they are read many at a time.
  if (hasWantedGroups(step, position, carried) || !hasWantedGroups(step, position + 1, carried)) return
  const tookMs = clock.wall() - step.submittedAt
  metrics.timing('steps.wanted', tookMs)
  stateLog.decided('wanted groups listed', { step: id, number, model, tookMs, dueMs: routes()?.findRoute(host, path)?.dueMs ?? 0, listed: position + 1, item: result.item, ...phases })
}
