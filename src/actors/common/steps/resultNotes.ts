/** Lines about results as the holder of the duty reads them back: where each stands, and in whose term it was read. */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { StateLog } from '../../../ports/common/observation.ts'
import type { DutyKeeper } from '../duties/dutyKeeper.ts'
import type { StepTopic } from '../store/stepTopic.ts'

export interface ResultNotesServices {
  readonly topic: Pick<StepTopic, 'onChange'>
  readonly duty: Pick<DutyKeeper, 'holds' | 'term'>
  readonly stateLog: StateLog
}

/** Writes a line for each result, while this host holds the duty, until the outcome is disposed. */
export function noteResults ({ topic, duty, stateLog }: ResultNotesServices): Disposable {
  return topic.onChange((change) => {
    if (change.type !== 'listed' || !duty.holds) return
    const { step, result: { item }, position, offset } = change
    stateLog.decided('result listed', { step: step.submission.id, item, position, offset, term: duty.term })
  })
}
