/** Payloads and texts of steps: cached by the hosts that wrote them, read from the store by others. */

import { expect } from 'chai'
import fc from 'fast-check'
import { GroupAppender } from '../../../src/actors/common/store/groupAppender.ts'
import type { ContentReference } from '../../../src/actors/common/steps/stepContents.ts'
import { StepContents } from '../../../src/actors/common/steps/stepContents.ts'
import { payloadRecords, parsePayloads, parseText, textRecord } from '../../../src/core/common/steps/contentRecords.ts'
import { StepFold } from '../../../src/core/common/steps/stepFold.ts'
import type { FoldedStep } from '../../../src/core/common/steps/stepFold.ts'
import { submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import type { KeyedLog, NewestPage } from '../../../src/ports/common/keyedLog.ts'
import type { Result } from '../../../src/base/common/resultCode.ts'
import { failure } from '../../../src/base/common/resultCode.ts'
import { noContentHolders } from '../../support/noHolders.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { newItem, newSubmission } from '../../support/steps.ts'

describe('the contents of steps', () => {
  let clock: ManualClock
  let log: MemoryKeyedLog
  let hosts: number
  let pageReads: number
  let rangeReads: number
  beforeEach(() => {
    clock = new ManualClock()
    log = new MemoryKeyedLog()
    hosts = 0
    pageReads = 0
    rangeReads = 0
  })

  function countingLog (): KeyedLog {
    return {
      append: async (records) => await log.append(records),
      read: async (from) => await log.read(from),
      readSome: async (from, kilobytes) => {
        rangeReads++
        return await log.readSome(from, kilobytes)
      },
      newest: async (after): Promise<Result<NewestPage>> => {
        pageReads++
        return await log.newest(after)
      }
    }
  }

  function createContents (keyed: KeyedLog = countingLog()): StepContents {
    let drawn = 0
    const own = hosts++
    const id = (): string => {
      drawn++
      return `${own}-nonce-${drawn}`
    }
    const services = { log: keyed, clock, chance: { id, next: () => 0.5 }, metrics: noopMetrics, stateLog: noopStateLog }
    return new StepContents({ ...services, peerContent: noContentHolders, appender: new GroupAppender(services, { maxCallCharacters: 1_000_000 }) })
  }

  async function advanceAndAwait<T> (asked: Promise<T>): Promise<T> {
    await clock.advance(500)
    return await asked
  }

  function stepOf (id: string): { readonly step: FoldedStep, readonly payloads: ReturnType<typeof submissionRecords>['payloads'] } {
    const records = submissionRecords(newSubmission(id, [newItem('a', 'g', 10, 'score-a'), newItem('b', 'g')]), 1, 'n')
    const fold = new StepFold()
    fold.apply(records.outline.map((record, offset) => ({ ...record, offset })))
    const step = fold.step(id)
    if (step === undefined) throw new Error('the step is missing after the fold')
    return { step, payloads: records.payloads }
  }

  it('are not loaded at startup, and are found on request', async () => {
    // Guards against a slow restart: after all hosts had been killed, each read all retained contents before the steps
    // continued, which took a second with ten hosts and six seconds with 84.
    for (let number = 0; number < 30; number++) log.write(stepOf(`other${number}`).payloads)
    const { step, payloads } = stepOf('s')
    log.write(payloads)
    log.write([textRecord('s', 'a', 'text of a', 'x')])
    const contents = createContents()
    expect(pageReads).to.equal(0)
    const found = await advanceAndAwait(contents.payloads(step))
    expect(found?.get('a')).to.deep.include({ path: '/items/a', scorer: { requestId: 'score-a', host: 'calls.example', path: '/score', body: '' } })
    expect(found?.get('b')?.body).to.equal(btoa('prompt of b'))
    expect(await advanceAndAwait(contents.texts('s', [{ key: textRecord('s', 'a', '', 'x').key, at: undefined }]))).to.deep.equal(['text of a'])
    // One page for each read: the records of other steps are skipped.
    expect(pageReads).to.equal(2)
  })

  /** Writes a text and returns the reference to it. */
  async function saveText (writer: StepContents, item: string, text: string): Promise<ContentReference> {
    const result = await advanceAndAwait(writer.saveText('s', item, text, 1000))
    if (!result.ok) throw new Error(result.message)
    return result.value
  }

  it('are read by other hosts at their offsets, without a search among the newest records', async () => {
    const [writer, reader] = [createContents(), createContents()]
    await advanceAndAwait(writer.save(stepOf('other').payloads, 1000))
    const [a, b] = [await saveText(writer, 'a', 'text of a'), await saveText(writer, 'b', 'text of b')]
    expect(await advanceAndAwait(reader.texts('s', [b, a]))).to.deep.equal(['text of b', 'text of a'])
    log.down = true
    expect(await advanceAndAwait(writer.texts('s', [a, b]))).to.deep.equal(['text of a', 'text of b'])
    expect(pageReads).to.equal(0)
  })

  it('that are cached are not read again together with one that is not', async () => {
    // Guards against repeated reads: a trainer that reads a step from the start costs one call for each text that is not
    // adjacent to others, and the next read, with one more text, repeated all of these calls.
    const [writer, reader] = [createContents(), createContents()]
    const references: ContentReference[] = []
    for (let index = 0; index < 12; index++) {
      references.push(await saveText(writer, `i${index}`, 'text'))
      log.write(Array.from({ length: 20 }, (_, other) => textRecord(`other${other}`, `i${index}`, 'y', 'n')))
    }
    await advanceAndAwait(reader.texts('s', references.slice(0, 11)))
    const before = rangeReads
    expect(await advanceAndAwait(reader.texts('s', references))).to.deep.equal(Array(12).fill('text'))
    expect([before, rangeReads - before]).to.deep.equal([11, 1])
  })

  it('older than the history of the store are searched once for each step, however they are requested', async () => {
    // Guards against repeated searches: the texts of a step that had ended a minute before were read page by page, and each
    // page searched the newest records, a megabyte at a time, without caching the other records that it found.
    const records = Array.from({ length: 30 }, (_, index) => textRecord('s', `i${String(index).padStart(2, '0')}`, 'x', 'n'))
    log.write(records)
    log.first = log.entries.length
    const reader = createContents()
    for (const [offset, { key }] of records.entries()) expect(await advanceAndAwait(reader.texts('s', [{ key, at: { offset, characters: 3 } }]))).to.deep.equal(['x'])
    expect(pageReads).to.equal(10)
    expect(rangeReads).to.be.at.most(1)
  })

  it('do not make the readers of one step queue while the store does not answer', async () => {
    // Guards against time-outs that add up: during an outage, eight trainers read one step from one host, and the last was
    // refused after 14 s because each read started when the one before had timed out.
    const silence = async <T>(): Promise<Result<T>> => {
      await new Promise<void>((resolve) => { clock.after(900, resolve) })
      return failure('commandUnknown', 'silent')
    }
    const reader = createContents({ ...countingLog(), readSome: silence, newest: silence })
    const began = clock.now
    const ends: number[] = []
    for (let index = 0; index < 8; index++) reader.texts('s', [{ key: `text/s/i${index}/n`, at: { offset: index, characters: 10 } }]).then(() => ends.push(clock.now - began), () => undefined)
    await clock.advance(4000)
    expect(ends).to.have.length(8)
    expect(Math.max(...ends)).to.be.at.most(1800)
  })

  it('of a step that is being read stay cached until all are found, whatever else is cached meanwhile', async () => {
    // Guards against a step reported as missing during the search for it: texts of other steps evicted the records already found.
    const slow: KeyedLog = {
      ...countingLog(),
      newest: async (after) => {
        await new Promise<void>((resolve) => { clock.after(50, resolve) })
        return await log.newest(after)
      }
    }
    const records = Array.from({ length: 9 }, (_, index) => textRecord('s', `i${index}`, 'x', 'n'))
    log.write(records)
    const reader = createContents(slow)
    const reading = reader.texts('s', records.map(({ key }) => ({ key, at: undefined })))
    await clock.advance(120)
    for (let index = 0; index < 17; index++) reader.save([textRecord(`other${index}`, 'i', 'z'.repeat(999_000), 'n')], 1000).catch(() => undefined)
    expect(await advanceAndAwait(reading)).to.deep.equal(Array(9).fill('x'))
  })

  it('are found among the newest records when the store no longer has the history at their offsets', async () => {
    const [writer, reader] = [createContents(), createContents()]
    const reference = await saveText(writer, 'a', 'text of a')
    log.first = log.entries.length
    expect(await advanceAndAwait(reader.texts('s', [reference]))).to.deep.equal(['text of a'])
    expect(pageReads).to.equal(1)
  })

  it('that the store does not have are not searched again immediately, nor among those of other steps', async () => {
    // Guards against overload by missing records: a host that needs a record asks several times a second. If the record was
    // not in the store, each request read the topic from beginning to end and used up the read throughput of other hosts.
    for (let number = 0; number < 40; number++) log.write(stepOf(`other${number}`).payloads)
    const contents = createContents()
    for (let question = 0; question < 9; question++) {
      expect(await advanceAndAwait(contents.payloads(stepOf('s').step))).to.equal(undefined)
      await clock.advance(100)
    }
    expect(pageReads).to.be.at.most(6)
    log.write(stepOf('s').payloads)
    await clock.advance(1000)
    expect((await advanceAndAwait(contents.payloads(stepOf('s').step)))?.size).to.equal(2)
  })

  it('are absent, not wrong, while the store is unavailable', async () => {
    const { step, payloads } = stepOf('s')
    log.write(payloads)
    const contents = createContents()
    log.down = true
    expect(await advanceAndAwait(contents.payloads(step))).to.equal(undefined)
    log.down = false
    expect((await advanceAndAwait(contents.payloads(step)))?.size).to.equal(2)
  })

  it('are deleted from the store by deleteRecords', async () => {
    const contents = createContents()
    const { step, payloads } = stepOf('s')
    await advanceAndAwait(contents.save(payloads, 1000))
    await advanceAndAwait(contents.deleteRecords(step.payloadKeys))
    expect(log.newestEntries()).to.deep.equal([])
  })

  it('are read as written, for any size and any characters', () => {
    const text = fc.oneof(fc.string({ unit: 'grapheme', maxLength: 50 }), fc.constant(''), fc.constant('é"\\\n'.repeat(40_000)))
    fc.assert(fc.property(fc.array(text, { minLength: 1, maxLength: 4 }), (bodies) => {
      const items = bodies.map((body, index) => ({ ...newItem(`i${index}`, 'g'), body }))
      const records = payloadRecords('a/b c', items, 'n')
      for (const { value } of records) expect(Buffer.byteLength(value ?? '')).to.be.lessThan(262_000)
      const read = parsePayloads(records.map(({ value }) => value ?? ''))
      expect(items.map(({ id }) => read?.get(id)?.body)).to.deep.equal(bodies)
      for (const body of bodies) {
        const record = textRecord('s', 'i', body, 'n')
        expect([record.value === '', parseText(record.value ?? '')]).to.deep.equal([false, body])
      }
    }), { numRuns: 40, seed: 5 })
    expect([parseText('{'), parseText('3'), parsePayloads(['['])]).to.deep.equal([undefined, undefined, undefined])
  })
})
