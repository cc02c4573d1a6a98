/** Targets that register, drain, leave, and lapse while the store is away. */

import { expect } from 'chai'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import type { TargetDefinition } from '../../../src/core/common/routes/target.ts'
import { quietLog } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { RecordedLog } from '../../support/recordedLog.ts'
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
    table.removeAllBut(new Set(['b', 'other']), regainedAt)
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

  it('tells of the targets of its first reading in one line, and of each later one in its own', () => {
    // After a restart of 84 hosts each of them wrote a line for each target that stood in the topic
    // already, and lines of an hour before gave way to them.
    const log = new RecordedLog()
    const read = new TargetTable({ clock, stateLog: log })
    const first = [targetDefinition({ id: 'a' }), targetDefinition({ id: 'b', draining: true }), targetDefinition({ id: 'other', service: 'o' })]
    const replace = (definitions: readonly TargetDefinition[]): void => {
      read.readAnew(() => {
        for (const definition of definitions) read.set(definition)
        read.removeAllBut(new Set(definitions.map(({ id }) => id)), longAgo)
      })
    }
    replace(first)
    expect(log.lines).to.deep.equal([{ what: 'targets known', details: { targets: 3, draining: 1, services: 'o:1 s:2' } }])
    read.set(targetDefinition({ id: 'c' }))
    replace([...first, targetDefinition({ id: 'c', draining: true }), targetDefinition({ id: 'd' })])
    read.remove('d', longAgo)
    expect(log.lines.slice(1).map(({ what, details }) => `${what} ${String(details.target)}`)).to.deep.equal(['target registered c', 'target drains c', 'target registered d', 'target gone d'])
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
