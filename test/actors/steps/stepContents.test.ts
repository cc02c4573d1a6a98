/** Payloads and texts of steps: held by hosts that ran when they were written, read from the store by others. */

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
import { noHolders } from '../../support/noHolders.ts'
import { quietLog, quietMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { item, submission } from '../../support/steps.ts'

describe('the contents of steps', () => {
  let clock: ManualClock
  let log: MemoryKeyedLog
  let hosts: number
  let pages: number
  let stretches: number
  beforeEach(() => {
    clock = new ManualClock()
    log = new MemoryKeyedLog()
    hosts = 0
    pages = 0
    stretches = 0
  })

  function counted (): KeyedLog {
    return {
      append: async (records) => await log.append(records),
      read: async (from) => await log.read(from),
      readSome: async (from, kilobytes) => {
        stretches++
        return await log.readSome(from, kilobytes)
      },
      newest: async (after): Promise<Result<NewestPage>> => {
        pages++
        return await log.newest(after)
      }
    }
  }

  function host (keyed: KeyedLog = counted()): StepContents {
    let drawn = 0
    const own = hosts++
    const id = (): string => {
      drawn++
      return `${own}-nonce-${drawn}`
    }
    const services = { log: keyed, clock, chance: { id, next: () => 0.5 }, metrics: quietMetrics, stateLog: quietLog }
    return new StepContents({ ...services, holders: noHolders, appender: new GroupAppender(services, { maxCallCharacters: 1_000_000 }) })
  }

  async function soon<T> (asked: Promise<T>): Promise<T> {
    await clock.advance(500)
    return await asked
  }

  function stepOf (id: string): { readonly step: FoldedStep, readonly payloads: ReturnType<typeof submissionRecords>['payloads'] } {
    const records = submissionRecords(submission(id, [item('a', 'g', 10, 'score-a'), item('b', 'g')]), 1, 'n')
    const fold = new StepFold()
    fold.apply(records.outline.map((record, offset) => ({ ...record, offset })))
    const step = fold.step(id)
    if (step === undefined) throw new Error('the step is not folded')
    return { step, payloads: records.payloads }
  }

  it('are not loaded by a host that starts, and found when somebody asks', async () => {
    // Symptom: after all hosts had been killed each read everything that was kept, ten of them for a second and 84 for
    // six, before the steps went on.
    for (let number = 0; number < 30; number++) log.write(stepOf(`other${number}`).payloads)
    const { step, payloads } = stepOf('s')
    log.write(payloads)
    log.write([textRecord('s', 'a', 'text of a', 'x')])
    const contents = host()
    expect(pages).to.equal(0)
    const found = await soon(contents.payloads(step))
    expect(found?.get('a')).to.deep.include({ path: '/items/a', scorer: { requestId: 'score-a', host: 'calls.example', path: '/score', body: '' } })
    expect(found?.get('b')?.body).to.equal(btoa('prompt of b'))
    expect(await soon(contents.texts('s', [{ key: textRecord('s', 'a', '', 'x').key, at: undefined }]))).to.deep.equal(['text of a'])
    // One page each: those of other steps are passed over.
    expect(pages).to.equal(2)
  })

  /** Writes a text and gives where it stands. */
  async function saved (writer: StepContents, item: string, text: string): Promise<ContentReference> {
    const result = await soon(writer.saveText('s', item, text, 1000))
    if (!result.ok) throw new Error(result.message)
    return result.value
  }

  it('are read at their places by other hosts, without a search among the newest records', async () => {
    const [writer, reader] = [host(), host()]
    await soon(writer.save(stepOf('other').payloads, 1000))
    const [a, b] = [await saved(writer, 'a', 'text of a'), await saved(writer, 'b', 'text of b')]
    expect(await soon(reader.texts('s', [b, a]))).to.deep.equal(['text of b', 'text of a'])
    log.down = true
    expect(await soon(writer.texts('s', [a, b]))).to.deep.equal(['text of a', 'text of b'])
    expect(pages).to.equal(0)
  })

  it('that a host holds are not read again with one that it does not', async () => {
    // A trainer that reads a step from its start costs a host one call for each text that stands alone; the next read, of
    // one text more, cost all of them again.
    const [writer, reader] = [host(), host()]
    const references: ContentReference[] = []
    for (let index = 0; index < 12; index++) {
      references.push(await saved(writer, `i${index}`, 'text'))
      log.write(Array.from({ length: 20 }, (_, other) => textRecord(`other${other}`, `i${index}`, 'y', 'n')))
    }
    await soon(reader.texts('s', references.slice(0, 11)))
    const before = stretches
    expect(await soon(reader.texts('s', references))).to.deep.equal(Array(12).fill('text'))
    expect([before, stretches - before]).to.deep.equal([11, 1])
  })

  it('older than the history of the store are searched for once a step, however they are asked for', async () => {
    // The texts of a step that had ended a minute before were read one page after the other, and each page searched for what it
    // wanted among the newest records, a megabyte at a time, and held nothing else of what it found.
    const records = Array.from({ length: 30 }, (_, index) => textRecord('s', `i${String(index).padStart(2, '0')}`, 'x', 'n'))
    log.write(records)
    log.first = log.entries.length
    const reader = host()
    for (const [offset, { key }] of records.entries()) expect(await soon(reader.texts('s', [{ key, at: { offset, characters: 3 } }]))).to.deep.equal(['x'])
    expect(pages).to.equal(10)
    expect(stretches).to.be.at.most(1)
  })

  it('do not keep readers of one step in a line while the store is silent', async () => {
    // Eight trainers read one step from one host in an outage, and the last was refused after 14 s: each began to ask
    // when the one before had given up.
    const silence = async <T>(): Promise<Result<T>> => {
      await new Promise<void>((resolve) => { clock.after(900, resolve) })
      return failure('commandUnknown', 'silent')
    }
    const reader = host({ ...counted(), readSome: silence, newest: silence })
    const began = clock.now
    const ends: number[] = []
    for (let index = 0; index < 8; index++) reader.texts('s', [{ key: `text/s/i${index}/n`, at: { offset: index, characters: 10 } }]).then(() => ends.push(clock.now - began), () => undefined)
    await clock.advance(4000)
    expect(ends).to.have.length(8)
    expect(Math.max(...ends)).to.be.at.most(1800)
  })

  it('of a step that is being read stay until all are found, whatever is held meanwhile', async () => {
    // A step was called missing while it was searched for: texts of other steps took the place of what had been found.
    const slow: KeyedLog = {
      ...counted(),
      newest: async (after) => {
        await new Promise<void>((resolve) => { clock.after(50, resolve) })
        return await log.newest(after)
      }
    }
    const records = Array.from({ length: 9 }, (_, index) => textRecord('s', `i${index}`, 'x', 'n'))
    log.write(records)
    const reader = host(slow)
    const reading = reader.texts('s', records.map(({ key }) => ({ key, at: undefined })))
    await clock.advance(120)
    for (let index = 0; index < 17; index++) reader.save([textRecord(`other${index}`, 'i', 'z'.repeat(999_000), 'n')], 1000).catch(() => undefined)
    expect(await soon(reading)).to.deep.equal(Array(9).fill('x'))
  })

  it('are found among the newest records once the store has no history of their places', async () => {
    const [writer, reader] = [host(), host()]
    const reference = await saved(writer, 'a', 'text of a')
    log.first = log.entries.length
    expect(await soon(reader.texts('s', [reference]))).to.deep.equal(['text of a'])
    expect(pages).to.equal(1)
  })

  it('that the store does not have are not searched for again at once, nor among those of other steps', async () => {
    // A host that needs a record asks several times a second. Where the record was not in the store, each
    // question read the topic from its beginning to its end, and so took the store's readers what others waited for.
    for (let number = 0; number < 40; number++) log.write(stepOf(`other${number}`).payloads)
    const contents = host()
    for (let question = 0; question < 9; question++) {
      expect(await soon(contents.payloads(stepOf('s').step))).to.equal(undefined)
      await clock.advance(100)
    }
    expect(pages).to.be.at.most(6)
    log.write(stepOf('s').payloads)
    await clock.advance(1000)
    expect((await soon(contents.payloads(stepOf('s').step)))?.size).to.equal(2)
  })

  it('are absent, not wrong, while the store is away', async () => {
    const { step, payloads } = stepOf('s')
    log.write(payloads)
    const contents = host()
    log.down = true
    expect(await soon(contents.payloads(step))).to.equal(undefined)
    log.down = false
    expect((await soon(contents.payloads(step)))?.size).to.equal(2)
  })

  it('are gone from the store once they are dropped', async () => {
    const contents = host()
    const { step, payloads } = stepOf('s')
    await soon(contents.save(payloads, 1000))
    await soon(contents.drop(step.payloadKeys))
    expect(log.newestEntries()).to.deep.equal([])
  })

  it('are what was written, of any size and with any characters', () => {
    const text = fc.oneof(fc.string({ unit: 'grapheme', maxLength: 50 }), fc.constant(''), fc.constant('é"\\\n'.repeat(40_000)))
    fc.assert(fc.property(fc.array(text, { minLength: 1, maxLength: 4 }), (bodies) => {
      const items = bodies.map((body, index) => ({ ...item(`i${index}`, 'g'), body }))
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
