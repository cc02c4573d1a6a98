/** Texts of listed results while the store is unavailable: they are fetched from the host that wrote them. */

import { expect } from 'chai'
import { PeerContentReader, registerContentHandlers } from '../../../src/actors/common/steps/peerContentReader.ts'
import { StepContents } from '../../../src/actors/common/steps/stepContents.ts'
import { GroupAppender } from '../../../src/actors/common/store/groupAppender.ts'
import type { CounterName } from '../../../src/base/common/metricNames.ts'
import type { Result } from '../../../src/base/common/resultCode.ts'
import { failure, success } from '../../../src/base/common/resultCode.ts'
import { resultRecord, submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import { StepFold } from '../../../src/core/common/steps/stepFold.ts'
import type { PeerHandlers, Peers } from '../../../src/ports/common/peers.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { newItem, newSubmission } from '../../support/steps.ts'

describe('texts while the store is unavailable', () => {
  let clock: ManualClock
  let log: MemoryKeyedLog
  let handlers: Map<string, (parameters: never) => Promise<unknown>>
  let alive: boolean
  let calls: number
  let counters: Map<CounterName, number>

  beforeEach(() => {
    clock = new ManualClock()
    log = new MemoryKeyedLog()
    handlers = new Map()
    alive = true
    calls = 0
    counters = new Map()
  })

  const peers = {
    call: async (address: string, method: string, parameters: unknown): Promise<Result<unknown>> => {
      calls++
      await new Promise<void>((resolve) => { clock.after(5, resolve) })
      const handler = handlers.get(`${address} ${method}`)
      return alive && handler !== undefined ? success(await handler(parameters as never)) : failure('targetUnreachable', 'connection refused')
    }
  } as Peers

  function createContents (name: string): StepContents {
    let drawn = 0
    const metrics = { ...noopMetrics, count: (counter: CounterName, by = 1) => { counters.set(counter, (counters.get(counter) ?? 0) + by) } }
    const services = { log, clock, chance: { id: () => `${name}-${drawn++}`, next: () => 0.5 }, metrics, stateLog: noopStateLog }
    const holders = new PeerContentReader({ peers, metrics, failureDomainOf: (address) => address === 'http://writer' ? 'a' : 'b' }, { address: `http://${name}`, place: name === 'writer' ? 'a' : 'b' })
    const contents = new StepContents({ ...services, peerContent: holders, appender: new GroupAppender(services, { maxCallCharacters: 1_000_000 }) })
    registerContentHandlers({ handle: (method, handler) => { handlers.set(`http://${name} ${method}`, handler as never) } } satisfies PeerHandlers, contents)
    return contents
  }

  async function advanceAndAwait<T> (asked: Promise<T>, milliseconds = 500): Promise<T> {
    await clock.advance(milliseconds)
    return await asked
  }

  it('are fetched from the host that wrote them by a host that never read them', async () => {
    // Guards against reads of listed results being refused for the whole outage of the store although the hosts that wrote
    // the texts are alive. Sequence: a result is listed, the store fails, and the trainer reads at another host, which
    // knows the location of the text but requested it from the store only.
    const writer = createContents('writer')
    const reader = createContents('reader')
    const saved = await advanceAndAwait(writer.saveText('s', 'a', 'a text', 1000))
    if (!saved.ok) throw new Error('the text is not saved')
    expect(saved.value.from).to.equal('http://writer')
    log.down = true
    expect(await advanceAndAwait(reader.texts('s', [saved.value]))).to.deep.equal(['a text'])
    expect(counters.get('steps.texts_from_hosts')).to.equal(1)
    expect(counters.get('steps.characters_between_places')).to.equal('"a text"'.length)
  })

  it('are reported as missing immediately if the writer is gone', async () => {
    const writer = createContents('writer')
    const reader = createContents('reader')
    const saved = await advanceAndAwait(writer.saveText('s', 'a', 'a text', 1000))
    if (!saved.ok) throw new Error('the text is not saved')
    log.down = true
    alive = false
    const began = clock.now
    let tookMs: number | undefined
    const read = reader.texts('s', [saved.value]).finally(() => { tookMs = clock.now - began })
    expect(await advanceAndAwait(read)).to.deep.equal([undefined])
    expect(tookMs).to.be.at.most(50)
  })

  it('cost the writer one call at a time from each host, however many readers that host serves', async () => {
    const writer = createContents('writer')
    const reader = createContents('reader')
    const saved = await Promise.all(['a', 'b', 'c'].map(async (id) => await advanceAndAwait(writer.saveText('s', id, `text of ${id}`, 1000))))
    const references = saved.flatMap((result) => result.ok ? [result.value] : [])
    log.down = true
    const reads = Array.from({ length: 20 }, async () => await reader.texts('s', references))
    expect(await advanceAndAwait(Promise.all(reads))).to.deep.equal(reads.map(() => ['text of a', 'text of b', 'text of c']))
    expect(calls).to.equal(1)
  })

  it('are read from the store alone while it answers', async () => {
    const writer = createContents('writer')
    const reader = createContents('reader')
    const saved = await advanceAndAwait(writer.saveText('s', 'a', 'a text', 1000))
    if (!saved.ok) throw new Error('the text is not saved')
    expect(await advanceAndAwait(reader.texts('s', [saved.value]))).to.deep.equal(['a text'])
    expect(calls).to.equal(0)
  })

  it('name their writer in the listed result, and results without a writer are still read', () => {
    const fold = new StepFold()
    const { outline } = submissionRecords(newSubmission('s', ['a', 'b'].map((id) => newItem(id, 'g'))), 1, 'n')
    const listed = (id: string, from: string | undefined) => resultRecord('s', { item: id, state: 'complete', versions: [1], score: undefined, textKey: `text of ${id}`, textFrom: from }, 'n')
    fold.apply([...outline, listed('a', 'http://writer'), listed('b', undefined)].map((record, offset) => ({ ...record, offset })))
    expect(fold.step('s')?.results.map(({ textFrom }) => textFrom)).to.deep.equal(['http://writer', undefined])
  })
})
