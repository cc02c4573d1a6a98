/** Targets that register, drain, leave, and lapse while the store is away. */

import { expect } from 'chai'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { quietLog } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { targetDefinition } from '../../support/routes.ts'

describe('the table of targets', () => {
  let clock: ManualClock
  let table: TargetTable
  const available = (): string[] => table.available('s').map(({ definition }) => definition.id)
  const longAgo = Number.NEGATIVE_INFINITY

  beforeEach(() => {
    clock = new ManualClock()
    table = new TargetTable({ clock, stateLog: quietLog })
    for (const id of ['a', 'b']) table.set(targetDefinition({ id }))
    table.set(targetDefinition({ id: 'other', service: 'o' }))
  })

  it('gives the targets of a service', () => { expect(available()).to.deep.equal(['a', 'b']) })

  it('gives none that drains', () => {
    table.set(targetDefinition({ id: 'a', draining: true }))
    expect(available()).to.deep.equal(['b'])
    expect(table.all('s')).to.have.length(2)
  })

  it('gives none whose entry is gone', () => {
    table.remove('a', longAgo)
    expect(available()).to.deep.equal(['b'])
  })

  it('keeps a target whose entry lapsed in an outage, until two seconds after the return of the store', async () => {
    // Symptom: after an outage all engines stood idle for two seconds. Their entries had lapsed while
    // the store was away, and were taken for gone before they could be written again.
    const regainedAt = clock.now
    table.replace([targetDefinition({ id: 'b' }), targetDefinition({ id: 'other', service: 'o' })], regainedAt)
    expect(available()).to.deep.equal(['a', 'b'])
    await clock.advance(2000)
    expect(available()).to.deep.equal(['a', 'b'])
    await clock.advance(400)
    expect(available()).to.deep.equal(['b'])
  })

  it('keeps it for good if its entry comes back, and what was learned of it', async () => {
    table.get('a')?.answered(70)
    table.remove('a', clock.now)
    await clock.advance(1000)
    table.set(targetDefinition({ id: 'a' }))
    await clock.advance(5000)
    expect(available()).to.deep.equal(['a', 'b'])
    expect(table.get('a')?.answerMs).to.equal(70)
  })

  it('does not wait for one that drained before', () => {
    table.set(targetDefinition({ id: 'a', draining: true }))
    table.remove('a', clock.now)
    expect(table.get('a')).to.equal(undefined)
  })

  it('suspects a target for longer with each failure in a row, until it answers', async () => {
    const target = table.get('a')
    target?.failed()
    await clock.advance(550)
    expect(target?.suspect).to.equal(false)
    for (let failure = 0; failure < 9; failure++) target?.failed()
    await clock.advance(3900)
    expect(target?.suspect).to.equal(true)
    target?.answered(30)
    expect(target?.suspect).to.equal(false)
  })

  it('suspects a target that was silent twice with no answer between', () => {
    const target = table.get('a')
    for (let round = 0; round < 2; round++) {
      target?.silent()
      expect(target?.suspect).to.equal(false)
      target?.answered(30)
    }
    target?.silent()
    target?.silent()
    expect(target?.suspect).to.equal(true)
  })
})
