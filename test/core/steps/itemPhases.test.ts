/** Phases of an item, and when a step has what its trainer waits for. */

import { expect } from 'chai'
import { PhaseTimer } from '../../../src/core/common/steps/itemPhases.ts'
import { StepFold } from '../../../src/core/common/steps/stepFold.ts'
import { resultRecord, submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import { carriedOverGroups, hasWantedGroups } from '../../../src/core/common/steps/wantedGroups.ts'
import { newItem, newSubmission } from '../../support/steps.ts'

describe('the phases of an item', () => {
  it('cover its whole time without overlap and add up when repeated', () => {
    const timer = new PhaseTimer(100)
    timer.enter('waiting', 130.4)
    timer.enter('running', 150.4)
    timer.enter('waiting', 250.4)
    timer.enter('running', 260.4)
    expect(timer.times(300.4)).to.deep.equal({ payloads: 30, waiting: 30, running: 140 })
    expect(timer.times(310.4)).to.deep.equal({ payloads: 30, waiting: 30, running: 150 })
  })
})

describe('wanted groups', () => {
  const fold = new StepFold()
  const submitted = (id: string, at: number, groups: string, wantedGroups: number) => submissionRecords(newSubmission(id, [...groups].map((group, index) => newItem(`${id}${index}`, group)), { wantedGroups }), at, id).outline
  const records = [
    ...submitted('s', 1, 'abcd', 2),
    ...submitted('t', 2, 'daef', 2),
    ...['t2', 't3', 't1', 't0'].flatMap((id) => [resultRecord('t', { item: id, state: id === 't2' ? 'lost' : 'complete', versions: [1], score: undefined, textKey: undefined }, id)])
  ]
  fold.apply(records.map(({ key, value }, offset) => ({ key, value, offset })))

  it('are those left over by an earlier step, and others up to the wanted number', () => {
    const [first, second] = [...fold.steps()]
    if (first === undefined || second === undefined) throw new Error('two steps')
    expect([...carriedOverGroups(first, fold.steps())]).to.deep.equal([])
    const carried = carriedOverGroups(second, fold.steps())
    expect([...carried].sort()).to.deep.equal(['a', 'd'])
    expect([0, 1, 2, 3, 4].map((count) => hasWantedGroups(second, count, carried))).to.deep.equal([false, false, false, false, true])
    expect([0, 1, 2, 3, 4].map((count) => hasWantedGroups(second, count, new Set()))).to.deep.equal([false, false, true, true, true])
  })
})
