/** Records left in the steps topic by other writers: the fold skips them and continues. */

import { expect } from 'chai'
import fc from 'fast-check'
import { payloadRecords, parsePayloads, parseText } from '../../../src/core/common/steps/contentRecords.ts'
import { parseProgress } from '../../../src/core/common/steps/progress.ts'
import { StepFold } from '../../../src/core/common/steps/stepFold.ts'
import { claimRecord, parseRecord, resultRecord, submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import type { KeyedRecord } from '../../../src/ports/common/keyedLog.ts'
import { newItem, newSubmission } from '../../support/steps.ts'

const text = fc.oneof(fc.string({ unit: 'binary' }), fc.json(), fc.constantFrom('%', '%ff', 's', '0/1:{}', '0/1:null', '0/1:{"submission":{"items":3}}', '0/999999999:x', '4294967294/2:x', '0/0:{}'))
const foreignRecord: fc.Arbitrary<KeyedRecord> = fc.record({
  key: fc.oneof(text, fc.tuple(fc.constantFrom('step', 'result', 'end', 'claim', 'renewal', 'release', 'payload', 'text'), text, text).map((parts) => parts.join('/'))),
  value: fc.option(text, { nil: undefined })
})
const { outline } = submissionRecords(newSubmission('good', [newItem('a', 'g')]), 1, 'n')
const validRecords: readonly KeyedRecord[] = [...outline, resultRecord('good', { item: 'a', state: 'complete', versions: [1], score: 'x', textKey: 't' }, 'n')]

function foldOf (records: readonly KeyedRecord[]): StepFold {
  const fold = new StepFold()
  records.forEach((record, offset) => fold.apply([{ ...record, offset }]))
  return fold
}

describe('step records by other writers', () => {
  it('neither stop the fold nor change valid steps', () => {
    // Failure: a host stopped following the steps. An invalid percent-encoding in a key, a submission without items, or a
    // part that declares millions of others made the fold throw or stall.
    fc.assert(fc.property(fc.array(foreignRecord, { maxLength: 8 }), fc.array(foreignRecord, { maxLength: 8 }), (before, after) => {
      const fold = foldOf([...before, ...validRecords, ...after])
      expect(fold.step('good')?.results.map((result) => result.item)).to.deep.equal(['a'])
    }), { examples: [[[{ key: 'end/%', value: '{}' }], []], [[{ key: 'step/s/0', value: '0/1:null' }], []], [[{ key: 'step/s/0', value: '0/999999999:x' }], []]] })
  })

  it('are skipped if their value does not match their key', () => {
    const claim = { duty: 'd', holder: 'h', term: 1 }
    const submitted = (change: object): KeyedRecord => ({ key: 'step/s/0', value: `0/1:${JSON.stringify({ submission: { ...newSubmission('s', [newItem('a', 'g')]), ...change }, at: 1, payload: { nonce: 'n', parts: 1 } })}` })
    const accepted = (record: KeyedRecord): boolean => foldOf([record]).step('s') !== undefined
    expect(accepted(submitted({}))).to.equal(true)
    expect([{ id: 'another' }, { items: 3 }, { items: [{ id: 1 }] }, { minimumVersion: 'six' }, { model: undefined }].map((change) => accepted(submitted(change)))).to.deep.equal(Array(5).fill(false))
    const kindOf = (change: object): string => parseRecord({ key: 'claim/d/1/n', value: JSON.stringify({ ...claim, ...change }), offset: 0 }).kind
    expect([{}, { term: 1.5 }, { term: 1e300 }, { term: -1 }, { holder: 3 }].map(kindOf)).to.deep.equal(['claim', 'none', 'none', 'none', 'none'])
    expect(foldOf([claimRecord(claim, 'n')]).duty('d')?.holder).to.equal('h')
  })

  it('do not prevent progress from being parsed', () => {
    fc.assert(fc.property(fc.array(text), (records) => {
      const part = JSON.stringify([{ step: 's', item: 'i', text: 't', from: 0, events: ['e'], last: 1, versions: [1] }])
      expect(parseProgress([...records, part]).get('s/i')?.events).to.deep.equal([{ data: 'e', version: 1 }])
    }))
  })

  it('are rejected as payloads and texts if they are malformed', () => {
    // Failure: an item whose payload had no body failed on every engine in turn, and each of them was considered faulty.
    const payload = { path: '/p', headers: { x: 'y' }, body: 'YQ==' }
    const isRead = (value: unknown): boolean => parsePayloads([JSON.stringify(value)]) !== undefined
    expect(isRead([['i', payload]])).to.equal(true)
    expect([{}, 'i', [['i']], [[1, payload]], [['i', { ...payload, body: 3 }]], [['i', { ...payload, path: undefined }]], [['i', { ...payload, headers: { x: 1 } }]], [['i', { ...payload, scorer: 'c' }]]].map(isRead)).to.deep.equal(Array(8).fill(false))
    const items = [{ ...newItem('a', 'g'), path: '/p', headers: {}, body: '', scorer: { requestId: 'c', host: 'h', path: '/s', body: '' } }]
    const read = parsePayloads(payloadRecords('s', items, 'n').map(({ value }) => value ?? ''))
    expect(read?.get('a')).to.deep.equal({ path: '/p', headers: {}, body: '', scorer: items[0]?.scorer })
    fc.assert(fc.property(fc.array(text), text, (values, one) => {
      parsePayloads(values)
      expect(parseText(one) ?? '').to.be.a('string')
    }))
  })
})
