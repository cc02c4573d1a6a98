/** What a trainer receives when the texts of a step are unavailable. */

import { expect } from 'chai'
import { StepRequestHandler } from '../../../src/actors/common/steps/stepRequestHandler.ts'
import { StepFold } from '../../../src/core/common/steps/stepFold.ts'
import { endRecord, resultRecord, submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import { success } from '../../../src/base/common/resultCode.ts'
import { newRoute } from '../../support/routes.ts'
import { newItem, newSubmission } from '../../support/steps.ts'

describe('a read of a step', () => {
  for (const isLost of [false, true]) {
    it(`that is refused reports how many texts are missing and that the store is ${isLost ? 'lost' : 'reached'}`, async () => {
      // Guards against missing diagnostics: reads of open steps were refused because texts were missing, and the refusal did
      // not show whether all of them were missing or whether this host reached the store.
      const fold = new StepFold()
      const results = ['a', 'b', 'c'].map((id) => resultRecord('s', { item: id, state: 'complete', versions: [1], score: undefined, textKey: `text of ${id}` }, 'n'))
      const { outline } = submissionRecords(newSubmission('s', ['a', 'b', 'c'].map((id) => newItem(id, 'g'))), 1, 'n')
      fold.apply([...outline, ...results].map((record, offset) => ({ ...record, offset })))
      const topic = { step: (id: string) => fold.step(id), isLost }
      const contents = { texts: async () => [undefined, 'text', undefined] }
      const desk = new StepRequestHandler({ topic: topic as never, appender: {} as never, contents: contents as never, clock: new ManualClock(), metrics: noopMetrics, stateLog: noopStateLog, routes: () => undefined }, { acceptTimeoutMs: 1, endTimeoutMs: 1, maxWaitMs: 1, maxSubmissionCharacters: 1 })
      const page = await desk.results({ id: 's', workspace: undefined }, 0, 0, new AbortController().signal)
      expect(page).to.include({ ok: false, code: 'stale', message: `2 of 3 texts are currently unavailable, store ${isLost ? 'lost' : 'reached'}` })
    })
  }

  it('that finds nothing new and does not wait first reads the store to its end', async () => {
    // Guards against a result that seems to disappear: one host returns it, and another, which reads the store at intervals,
    // reports for most of a second that there is none. Trainers send each request to a different host.
    const fold = new StepFold()
    const { outline } = submissionRecords(newSubmission('s', ['a', 'b'].map((id) => newItem(id, 'g'))), 1, 'n')
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
    const desk = new StepRequestHandler({ topic: topic as never, appender: {} as never, contents: contents as never, clock: new ManualClock(), metrics: noopMetrics, stateLog: noopStateLog, routes: () => undefined }, { acceptTimeoutMs: 1, endTimeoutMs: 1, maxWaitMs: 1, maxSubmissionCharacters: 1 })
    const page = await desk.results({ id: 's', workspace: undefined }, 0, 0, new AbortController().signal)
    expect(page.ok && page.value.results.map(({ item: id }) => id)).to.deep.equal(['a'])
  })

  it('returns no body of an item after another host has confirmed the end of its step', async () => {
    // Guards against a body that a caller receives from a host that reads the steps at intervals, after another host has
    // confirmed to the caller that the step has ended.
    const fold = new StepFold()
    const { outline } = submissionRecords(newSubmission('s', [newItem('a', 'g')]), 1, 'n')
    fold.apply(outline.map((record, offset) => ({ ...record, offset })))
    const topic = {
      step: (id: string) => fold.step(id),
      isLost: false,
      catchUp: async () => {
        fold.apply([{ ...endRecord('s'), offset: 9 }])
        return true
      }
    }
    const contents = { payloads: async () => new Map([['a', { body: 'body' }]]) }
    const desk = new StepRequestHandler({ topic: topic as never, appender: {} as never, contents: contents as never, clock: new ManualClock(), metrics: noopMetrics, stateLog: noopStateLog, routes: () => undefined }, { acceptTimeoutMs: 1, endTimeoutMs: 1, maxWaitMs: 1, maxSubmissionCharacters: 1 })
    expect(await desk.itemBody({ id: 's', workspace: undefined }, 'a')).to.include({ ok: false, code: 'notFound' })
  })
})

describe('a submission with an item that no engine can hold', () => {
  const route = newRoute({ kind: 'steps', host: 'steps.example', pathPrefix: '/steps/', destinations: [{ service: 'engines', weight: 1 }, { service: 'former', weight: 0 }] })
  const routes = (memoryTokens: number | undefined): RouteTable => new RouteTable({ version: 1, routes: [route], services: [{ name: 'engines', maximumConnections: 9, engine: { slots: 4, models: ['m'], memoryTokens } }, { name: 'former', maximumConnections: 9, engine: { slots: 4, models: ['m'], memoryTokens: 90_000 } }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
  const submission = newSubmission('s', [newItem('small', 'g'), { ...newItem('large', 'g'), tokens: 50_001 }])

  async function submit (memoryTokens: number | undefined, acceptedElsewhere = false): Promise<{ readonly outcome: string, readonly message: string, readonly writes: number }> {
    const fold = new StepFold()
    let writes = 0
    const topic = {
      step: (id: string) => fold.step(id),
      position: 0,
      catchUp: async () => {
        if (acceptedElsewhere) fold.apply(submissionRecords(submission, 1, 'n').outline.map((record, offset) => ({ ...record, offset })))
        return true
      }
    }
    const write = async () => success(writes++)
    const handler = new StepRequestHandler({ topic: topic as never, appender: { append: write } as never, contents: { nonce: () => 'n', save: write } as never, clock: new ManualClock(), metrics: noopMetrics, stateLog: noopStateLog, routes: () => routes(memoryTokens) }, { acceptTimeoutMs: 1, endTimeoutMs: 1, maxWaitMs: 1, maxSubmissionCharacters: 100_000 })
    const accepted = await handler.submit(submission)
    return { outcome: accepted.ok ? 'accepted' : accepted.code, message: accepted.ok ? '' : accepted.message, writes }
  }

  it('is rejected at once, with the item and its size', async () => {
    // Guards against a step that waits until its time is over for an item that no engine can ever run.
    expect(await submit(50_000)).to.deep.equal({ outcome: 'exceedsMemory', message: 'item large needs 50001 tokens, and an engine of route r holds 50000', writes: 0 })
  })

  it('is accepted if an engine can hold it, or if the configuration states no size', async () => {
    // Guards against the rejection of steps that engines can run.
    for (const memoryTokens of [50_001, undefined]) expect(await submit(memoryTokens)).to.deep.equal({ outcome: 'accepted', message: '', writes: 2 })
  })

  it('is confirmed again if another host accepted it under an earlier configuration', async () => {
    // Guards against a step that its trainer takes for rejected while it runs.
    expect(await submit(50_000, true)).to.deep.equal({ outcome: 'accepted', message: '', writes: 0 })
  })
})
