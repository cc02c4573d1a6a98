/** Log lines about the positions of results. */

import { expect } from 'chai'
import { logResults } from '../../../src/actors/common/steps/resultLogging.ts'
import { StepTopic } from '../../../src/actors/common/store/stepTopic.ts'
import { toDisposable } from '../../../src/base/common/lifecycle.ts'
import { resultRecord, submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import { RouteTable } from '../../../src/core/common/routes/routeConfiguration.ts'
import type { PhaseTimes } from '../../../src/core/common/steps/itemPhases.ts'
import { noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { RecordedLog } from '../../support/recordedLog.ts'
import { newItem, newSubmission } from '../../support/steps.ts'

const result = (id: string, nonce: string) => resultRecord('s', { item: id, state: 'complete', versions: [1], score: undefined, textKey: undefined }, nonce)

describe('the position of results', () => {
  // Guards against missing diagnostics: a step could not be read after all hosts had restarted, and no log line gave the
  // position of a result or showed whether a host that reloaded the topic found the results in another order than before.
  let clock: ManualClock
  let store: MemoryKeyedLog
  let log: RecordedLog
  let topic: StepTopic
  let parts: number

  beforeEach(async () => {
    clock = new ManualClock()
    store = new MemoryKeyedLog()
    log = new RecordedLog()
    const { outline } = submissionRecords(newSubmission('s', [newItem('a', 'g'), newItem('b', 'g'), newItem('c', 'h')]), 1, 'n')
    parts = outline.length
    store.write(outline)
    const polled = {
      append: store.append.bind(store),
      readSome: store.readSome.bind(store),
      newest: store.newest.bind(store),
      read: async (from: number, waitMs: number) => {
        if (waitMs > 0) await new Promise<void>((resolve) => { clock.after(20, resolve) })
        return await store.read(from)
      }
    }
    topic = new StepTopic({ log: polled, clock, metrics: noopMetrics, stateLog: log, onRegained: () => toDisposable(() => undefined) }, { name: 't', pace: () => ({ type: 'long-polls', waitMs: 1000, pauseMs: 0 }) })
    topic.start()
    await clock.advance(50)
  })
  afterEach(() => { topic.dispose() })

  it('is logged for each result by the holder of the duty, and by no other host', async () => {
    const duty = { holds: false, term: 4 }
    const notes = logResults({ topic, duty, clock, metrics: noopMetrics, stateLog: log, routes: () => undefined, phasesOf: () => undefined })
    store.write([result('a', '1')])
    await clock.advance(50)
    duty.holds = true
    store.write([result('c', '1'), result('a', '2'), result('b', '1')])
    await clock.advance(50)
    notes.dispose()
    expect(log.detailsOf('result listed')).to.deep.equal([
      { step: 's', item: 'c', position: 1, offset: parts + 1, term: 4 },
      { step: 's', item: 'b', position: 2, offset: parts + 3, term: 4 }
    ])
  })

  it('is logged with the time spent in each phase, and once with the groups that the trainer waited for', async () => {
    // Guards against missing diagnostics: a step was late, and no log line showed which item it had waited for, or whether
    // that item had waited for the store, a free slot, its engine or its scorer.
    // The topic is read every 20 ms, and the clock starts at 1,000,000.
    const tookMs = 1_000_060 - 1
    const spent: Record<string, PhaseTimes> = { a: { payloads: 30, waiting: 200, running: 900 }, b: { running: 40 } }
    const timings: [string, number][] = []
    const metrics = { ...noopMetrics, timing: (name: string, milliseconds: number) => { timings.push([name, milliseconds]) } }
    const route = { name: 'r', host: 'steps.example', pathPrefix: '/', kind: 'steps', destinations: [], timeoutMs: 1, objectiveMs: 1, priority: 0, attempts: 1, resumable: true, dueMs: 7500, retentionMs: 1, singleVersion: false, isPublic: false } as const
    const routes = new RouteTable({ version: 1, routes: [route], services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
    const notes = logResults({ topic, duty: { holds: true, term: 4 }, clock, metrics, stateLog: log, routes: () => routes, phasesOf: (_, of) => spent[of] })
    store.write([result('b', '1'), result('c', '1'), result('a', '1')])
    await clock.advance(50)
    notes.dispose()
    expect(log.detailsOf('result listed').map(({ item, payloads, waiting, running }) => [item, payloads, waiting, running])).to.deep.equal([['b', undefined, undefined, 40], ['c', undefined, undefined, undefined], ['a', 30, 200, 900]])
    expect(log.detailsOf('wanted groups listed')).to.deep.equal([{ step: 's', number: 0, model: 'm', tookMs, dueMs: 7500, listed: 3, item: 'a', payloads: 30, waiting: 200, running: 900 }])
    expect(timings).to.deep.equal([['steps.running', 40], ['steps.payloads', 30], ['steps.waiting', 200], ['steps.running', 900], ['steps.wanted', tookMs]])
  })

  it('is logged by a host that finds it changed when it reloads the topic', async () => {
    store.write([result('a', '1'), result('b', '1')])
    await clock.advance(50)
    store.write([result('a', '1'), result('c', '1')])
    store.first = store.entries.length
    await clock.advance(50)
    expect(log.detailsOf('results stand otherwise than before')).to.deep.equal([
      { step: 's', item: 'a', former: 0, present: 1, moved: 2 },
      { step: 's', item: 'b', former: 1, present: 0, moved: 2 }
    ])
  })

  it('is not logged by a host that finds it unchanged', async () => {
    store.write([result('a', '1'), result('b', '1')])
    await clock.advance(50)
    store.write([result('c', '1')])
    store.first = store.entries.length
    await clock.advance(50)
    expect(topic.step('s')?.results).to.have.length(3)
    expect(log.detailsOf('results stand otherwise than before')).to.deep.equal([])
  })
})
