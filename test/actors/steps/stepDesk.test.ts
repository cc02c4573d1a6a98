/** What a trainer is told when the texts of a step cannot be had. */

import { expect } from 'chai'
import { StepDesk } from '../../../src/actors/common/steps/stepDesk.ts'
import { StepFold } from '../../../src/core/common/steps/stepFold.ts'
import { resultRecord, submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import { quietLog, quietMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { item, submission } from '../../support/steps.ts'

describe('a read of a step', () => {
  for (const isLost of [false, true]) {
    it(`that is refused says how many texts are missing, and that the store is ${isLost ? 'lost' : 'there'}`, async () => {
      // In an incident reads of open steps were refused since texts were missing. The line of the refusal
      // did not tell whether all of them were, nor whether this host reached the store.
      const fold = new StepFold()
      const results = ['a', 'b', 'c'].map((id) => resultRecord('s', { item: id, state: 'complete', versions: [1], score: undefined, textKey: `text of ${id}` }, 'n'))
      const { outline } = submissionRecords(submission('s', ['a', 'b', 'c'].map((id) => item(id, 'g'))), 1, 'n')
      fold.apply([...outline, ...results].map((record, offset) => ({ ...record, offset })))
      const topic = { step: (id: string) => fold.step(id), isLost }
      const contents = { texts: async () => [undefined, 'text', undefined] }
      const desk = new StepDesk({ topic: topic as never, appender: {} as never, contents: contents as never, clock: new ManualClock(), metrics: quietMetrics, stateLog: quietLog }, { acceptMs: 1, endMs: 1, longestWaitMs: 1, submissionCharacters: 1 })
      const page = await desk.results({ id: 's', workspace: undefined }, 0, 0, new AbortController().signal)
      expect(page).to.include({ ok: false, code: 'stale', message: `2 of 3 texts cannot be had now, store ${isLost ? 'lost' : 'reached'}` })
    })
  }

  it('that finds nothing new and does not wait reads the store to its end first', async () => {
    // Symptom that is kept away: one host gives a result, and another one, which reads the store with pauses, says for most of a
    // second that nothing stands there. Trainers ask another host each time.
    const fold = new StepFold()
    const { outline } = submissionRecords(submission('s', ['a', 'b'].map((id) => item(id, 'g'))), 1, 'n')
    const listed = resultRecord('s', { item: 'a', state: 'complete', versions: [1], score: undefined, textKey: 'text of a' }, 'n')
    fold.apply(outline.map((record, offset) => ({ ...record, offset })))
    const topic = {
      step: (id: string) => fold.step(id),
      isLost: false,
      catchUp: async () => {
        fold.apply([{ ...listed, offset: 9 }])
        return true
      }
    }
    const contents = { texts: async () => ['text'] }
    const desk = new StepDesk({ topic: topic as never, appender: {} as never, contents: contents as never, clock: new ManualClock(), metrics: quietMetrics, stateLog: quietLog }, { acceptMs: 1, endMs: 1, longestWaitMs: 1, submissionCharacters: 1 })
    const page = await desk.results({ id: 's', workspace: undefined }, 0, 0, new AbortController().signal)
    expect(page.ok && page.value.results.map(({ item: id }) => id)).to.deep.equal(['a'])
  })
})
