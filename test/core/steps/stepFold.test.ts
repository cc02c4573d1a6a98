/** The fold of steps: one result at one position, alike for hosts that followed and hosts that start anew. */

import { expect } from 'chai'
import fc from 'fast-check'
import { StepFold } from '../../../src/core/common/steps/stepFold.ts'
import { dropRecord } from '../../../src/core/common/keyedRecords.ts'
import { claimRecord, endRecord, outlineRecords, releaseRecord, renewalRecord, resultRecord, submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import type { ListedResult } from '../../../src/core/common/steps/step.ts'
import type { KeyedRecord } from '../../../src/ports/common/keyedLog.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'
import { item, submission } from '../../support/steps.ts'

const result = (id: string, text = id, versions = [1]): ListedResult => ({ item: id, state: 'complete', versions, score: `score of ${text}`, textKey: text })
const accepted = (id: string, nonce = 'n') => submissionRecords(submission(id, [item('a', 'g'), item('b', 'g'), item('c', 'h')]), 1, nonce).outline

function foldOf (records: readonly KeyedRecord[]): { live: StepFold, log: MemoryKeyedLog } {
  const log = new MemoryKeyedLog()
  log.write(records)
  const live = new StepFold()
  for (const entry of log.entries) live.apply([entry])
  return { live, log }
}

function anew (log: MemoryKeyedLog): StepFold {
  const fold = new StepFold()
  fold.reset(log.newestEntries().sort((a, b) => a.offset - b.offset))
  return fold
}

const pictureOf = (fold: StepFold): unknown => [...fold.steps()].map(({ submission: { id }, results, ended }) => ({ id, results, ended }))

describe('the fold of steps', () => {
  it('lists the first result of an item and passes over later ones', () => {
    // Two hosts ran the same item after a takeover; both append, and every host must list the same one.
    const { live } = foldOf([...accepted('s'), resultRecord('s', result('a', 'first'), 'n1'), resultRecord('s', result('a', 'second'), 'n2')])
    expect(live.step('s')?.results.map(({ textKey }) => textKey)).to.deep.equal(['first'])
  })

  it('passes over results of items that the step does not have', () => {
    const { live } = foldOf([...accepted('s'), resultRecord('s', result('z'), 'n1')])
    expect(live.step('s')?.results).to.deep.equal([])
  })

  it('takes a long submission from its parts', () => {
    const long = submission('long', Array.from({ length: 1500 }, (_, index) => item(`i${index}`, `g${index}`, 100, `s${index}`)))
    const { outline } = submissionRecords(long, 5, 'n')
    expect(outline.length).to.equal(3)
    const { live } = foldOf(outline)
    const items = long.items.map(({ id, tokens, expectedTokens, group, scoredBy }) => ({ id, tokens, expectedTokens, group, scoredBy }))
    expect(live.step('long')?.submission).to.deep.equal({ ...long, items })
  })

  it('takes a submission whose outline was written again in fewer parts', () => {
    // An accepted step was unknown to every host that started later. Two hosts had taken it and their outlines differed in
    // length by a digit, one in two parts and the later in one; hosts that loaded joined the new part to the old second one.
    const submitted = submission('s', [item('a', 'g')])
    let padding = 0
    const written = (offset: number) => outlineRecords({ ...submitted, path: `/${'x'.repeat(padding)}` }, 1, { nonce: 'n', parts: 1, at: { offset, characters: 9 } })
    while (written(1000).length === 1) padding++
    expect(written(999)).to.have.length(1)
    const { live, log } = foldOf([...written(1000), ...written(999)])
    expect(live.step('s')).not.to.equal(undefined)
    expect(anew(log).step('s')).not.to.equal(undefined)
  })

  it('does not accept a submission of which a part is missing', () => {
    const { outline } = submissionRecords(submission('long', Array.from({ length: 1500 }, (_, index) => item(`i${index}`, 'g'))), 5, 'n')
    expect(foldOf(outline.slice(1)).live.step('long')).to.equal(undefined)
  })

  it('names the payloads and texts of everything that was written for a step', () => {
    // Without those of repeated submissions and results the store would fill up with records that nobody drops.
    const { live, log } = foldOf([...accepted('s', 'n1'), ...accepted('s', 'n2'), resultRecord('s', result('a', 'first'), 'x'), resultRecord('s', result('a', 'second'), 'y')])
    expect(live.step('s')?.payloadKeys).to.deep.equal(['payload/s/n1/0'])
    expect(live.contentKeysOf('s')).to.deep.equal(['payload/s/n1/0', 'payload/s/n2/0', 'first', 'second'])
    expect(anew(log).contentKeysOf('s')).to.include.members(['payload/s/n2/0', 'first', 'second'])
  })

  it('counts an end that lies before its submission', () => {
    // Symptom: an ended step runs. The trainer's end was taken while the submission's append was still
    // under way; after a restart the records come in the order of their writing.
    expect(foldOf([endRecord('s'), ...accepted('s')]).live.step('s')?.ended).to.equal(true)
  })

  it('keeps positions when a submission was written twice', () => {
    // Symptom: a trainer reads the same position twice and gets two results. The submission came to two
    // hosts; its second record replaces the first, which then stands after the results.
    const { live, log } = foldOf([...accepted('s'), resultRecord('s', result('b'), 'n1'), ...accepted('s'), resultRecord('s', result('a'), 'n2')])
    expect(pictureOf(anew(log))).to.deep.equal(pictureOf(live))
  })

  it('gives the same to hosts that start anew, whatever was written in which order', () => {
    const step = fc.constantFrom('s', 't')
    const record = fc.oneof(
      step.map((id) => accepted(id)),
      fc.tuple(step, fc.constantFrom('a', 'b', 'c'), fc.nat(1_000_000)).map(([id, name, nonce]) => [resultRecord(id, result(name, `${name}${nonce}`), `n${nonce}`)]),
      step.map((id) => [endRecord(id)])
    )
    fc.assert(fc.property(fc.array(record, { maxLength: 30 }), (records) => {
      const { live, log } = foldOf(records.flat())
      const sorted = (fold: StepFold): unknown => (pictureOf(fold) as { id: string }[]).sort((a, b) => a.id < b.id ? -1 : 1)
      expect(sorted(anew(log))).to.deep.equal(sorted(live))
    }))
  })

  it('forgets a step whose records are removed', () => {
    const { live } = foldOf([...accepted('s'), dropRecord('step/s/0')])
    expect(live.step('s')).to.equal(undefined)
  })

  it('leaves nothing behind when all records of a step are dropped', () => {
    const { live, log } = foldOf([...accepted('s'), resultRecord('s', result('a'), 'n1'), endRecord('s'), ...accepted('t')])
    expect(live.keysOf('s')).to.have.length(3)
    log.write(live.keysOf('s').map(dropRecord))
    live.apply(log.entries.slice(-3))
    expect([live.step('s'), live.keysOf('s'), live.step('t') === undefined]).to.deep.equal([undefined, [], false])
    expect(pictureOf(anew(log))).to.deep.equal(pictureOf(live))
    expect(log.newestEntries().filter(({ key }) => key.includes('/s'))).to.deep.equal([])
  })

  it('skips what it cannot read', () => {
    const { live } = foldOf([{ key: 'result/s/a/n', value: '{' }, { key: 'step/s/0', value: 'no head' }, { key: 'unheard/of', value: '{}' }, { key: 'claim/d/1/x', value: '{"duty":1}' }, ...accepted('s')])
    expect(live.step('s')?.results).to.deep.equal([])
  })

  it('finds an earlier result whose versions fit', () => {
    const { live } = foldOf([...accepted('s'), ...accepted('t'), resultRecord('s', result('a', 'old', [3, 4]), 'n1')])
    expect(live.earlierResult('a', 't', 3)?.result.textKey).to.equal('old')
    expect(live.earlierResult('a', 't', 4)).to.equal(undefined)
    expect(live.earlierResult('a', 's', 3)).to.equal(undefined)
  })
})

describe('the fold of duties', () => {
  const claim = (holder: string, term: number) => ({ duty: 'd', holder, term })

  it('gives a term to the first claim of it', () => {
    const { live } = foldOf([claimRecord(claim('one', 1), 'x'), claimRecord(claim('two', 1), 'y')])
    expect(live.duty('d')).to.include({ holder: 'one', term: 1 })
  })

  it('passes over claims that skip or repeat a term, and renewals of others', () => {
    const { live } = foldOf([claimRecord(claim('one', 1), 'x'), claimRecord(claim('two', 3), 'y'), renewalRecord(claim('two', 1), 9), renewalRecord(claim('one', 2), 9)])
    expect(live.duty('d')).to.include({ holder: 'one', term: 1, signs: 1, renewed: 0 })
  })

  it('ends a term by a release of its holder only', () => {
    const { live } = foldOf([claimRecord(claim('one', 1), 'x'), releaseRecord(claim('two', 1))])
    expect(live.duty('d')?.released).to.equal(false)
    expect(foldOf([claimRecord(claim('one', 1), 'x'), releaseRecord(claim('one', 1))]).live.duty('d')?.released).to.equal(true)
  })

  it('names the same holder to a host that starts anew, also after old claims were removed', () => {
    const records = [claimRecord(claim('one', 1), 'x'), claimRecord(claim('two', 1), 'y'), renewalRecord(claim('one', 1), 1), claimRecord(claim('two', 2), 'z'), claimRecord(claim('one', 2), 'w')]
    const { live, log } = foldOf(records)
    expect(anew(log).duty('d')).to.include({ holder: 'two', term: 2 })
    expect(live.outdatedClaims('d')).to.deep.equal(['claim/d/1/x', 'claim/d/1/y'])
    log.write(live.outdatedClaims('d').map(dropRecord))
    expect(anew(log).duty('d')).to.include({ holder: 'two', term: 2 })
  })
})
