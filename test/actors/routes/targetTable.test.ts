/** Targets that register, drain, leave, and expire while the store is unavailable. */

import { expect } from 'chai'
import { TargetTable } from '../../../src/actors/common/routes/targetTable.ts'
import { allMechanisms } from '../../../src/core/common/mechanisms.ts'
import type { TargetDefinition } from '../../../src/core/common/routes/target.ts'
import { noopStateLog } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { RecordedLog } from '../../support/recordedLog.ts'
import { newTargetDefinition } from '../../support/routes.ts'

describe('TargetTable', () => {
  let clock: ManualClock
  let table: TargetTable
  const available = (): string[] => table.available('s').map(({ definition }) => definition.id)
  const longAgo = Number.NEGATIVE_INFINITY

  beforeEach(() => {
    clock = new ManualClock()
    table = new TargetTable({ clock, stateLog: noopStateLog })
    for (const id of ['a', 'b']) table.set(newTargetDefinition({ id }))
    table.set(newTargetDefinition({ id: 'other', service: 'o' }))
  })

  it('returns the targets of a service', () => { expect(available()).to.deep.equal(['a', 'b']) })

  it('returns no draining target as available', () => {
    table.set(newTargetDefinition({ id: 'a', draining: true }))
    expect(available()).to.deep.equal(['b'])
    expect(table.all('s')).to.have.length(2)
  })

  it('returns no target whose entry is gone', () => {
    table.remove('a', longAgo)
    expect(available()).to.deep.equal(['b'])
  })

  it('keeps a target whose entry expired in an outage until two seconds after the return of the store', async () => {
    // Guards against engines that idle for two seconds after an outage: their entries expired while the
    // store was unavailable, and were considered removed before they could be written again.
    const regainedAt = clock.now
    table.removeAllBut(new Set(['b', 'other']), regainedAt)
    expect(available()).to.deep.equal(['a', 'b'])
    await clock.advance(2000)
    expect(available()).to.deep.equal(['a', 'b'])
    await clock.advance(400)
    expect(available()).to.deep.equal(['b'])
  })

  it('keeps it with its statistics if its entry returns', async () => {
    table.get('a')?.recordAnswerTime(70)
    table.remove('a', clock.now)
    await clock.advance(1000)
    table.set(newTargetDefinition({ id: 'a' }))
    await clock.advance(5000)
    expect(available()).to.deep.equal(['a', 'b'])
    expect(table.get('a')?.answerMs).to.equal(70)
  })

  it('does not wait for the return of a target that was draining', () => {
    table.set(newTargetDefinition({ id: 'a', draining: true }))
    table.remove('a', clock.now)
    expect(table.get('a')).to.equal(undefined)
  })

  it('suspects a target for longer with each consecutive failure, until it answers', async () => {
    const target = table.get('a')
    target?.recordFailure()
    await clock.advance(550)
    expect(target?.suspect).to.equal(false)
    for (let failure = 0; failure < 9; failure++) target?.recordFailure()
    await clock.advance(3900)
    expect(target?.suspect).to.equal(true)
    target?.recordAnswerTime(30)
    expect(target?.suspect).to.equal(false)
  })

  it('logs the targets of its first reading in one line, and each later one in its own', () => {
    // Guards against flooding the log after a restart: 84 hosts each wrote a line for each target that was already
    // in the topic, and displaced log lines of the preceding hour.
    const log = new RecordedLog()
    const read = new TargetTable({ clock, stateLog: log })
    const first = [newTargetDefinition({ id: 'a' }), newTargetDefinition({ id: 'b', draining: true }), newTargetDefinition({ id: 'other', service: 'o' })]
    const replace = (definitions: readonly TargetDefinition[]): void => {
      read.reload(() => {
        for (const definition of definitions) read.set(definition)
        read.removeAllBut(new Set(definitions.map(({ id }) => id)), longAgo)
      })
    }
    replace(first)
    expect(log.lines).to.deep.equal([{ what: 'targets known', details: { targets: 3, draining: 1, services: 'o:1 s:2' } }])
    read.set(newTargetDefinition({ id: 'c' }))
    replace([...first, newTargetDefinition({ id: 'c', draining: true }), newTargetDefinition({ id: 'd' })])
    read.remove('d', longAgo)
    expect(log.lines.slice(1).map(({ what, details }) => `${what} ${String(details.target)}`)).to.deep.equal(['target registered c', 'target drains c', 'target registered d', 'target gone d'])
  })

  it('suspects a target that was silent twice without an answer in between', () => {
    const target = table.get('a')
    for (let round = 0; round < 2; round++) {
      target?.recordSilence()
      expect(target?.suspect).to.equal(false)
      target?.recordAnswerTime(30)
    }
    target?.recordSilence()
    target?.recordSilence()
    expect(target?.suspect).to.equal(true)
  })

  describe('with targets that report slowdowns', () => {
    const report = { running: 2, waiting: 0, slots: 6 }

    it('treats a service as uneven once one of its targets has reported one, and no other service', () => {
      // Guards against a deployment without such reports whose requests are placed otherwise than before.
      table.get('a')?.recordLoad(report)
      expect([table.get('a')?.reportsSlowdown, table.get('b')?.reportsSlowdown]).to.deep.equal([false, false])
      table.get('a')?.recordLoad({ ...report, slowdown: 1 })
      expect([table.get('a')?.reportsSlowdown, table.get('b')?.reportsSlowdown, table.get('other')?.reportsSlowdown]).to.deep.equal([true, true, false])
      table.get('a')?.recordLoad(report)
      expect(table.get('b')?.reportsSlowdown).to.equal(true)
    })

    it('does not learn a temporary slowdown as the pace of a target', () => {
      // Guards against a target that is avoided for seconds after a slow phase of 600 ms.
      const target = table.get('a')
      target?.recordAnswerTime(30, { ...report, slowdown: 1 })
      for (let answer = 0; answer < 10; answer++) target?.recordAnswerTime(75, { ...report, slowdown: 2.5 })
      expect(target?.answerMs).to.be.closeTo(30, 1e-9)
    })

    it('learns the pace of a slow target that always reports its usual speed', () => {
      // Guards against a false figure that is never corrected.
      const target = table.get('a')
      for (let answer = 0; answer < 30; answer++) target?.recordAnswerTime(75, { ...report, slowdown: 1 })
      target?.recordLoad({ ...report, slowdown: 1 })
      expect(target?.presentAnswerMs).to.be.closeTo(75, 1e-9)
    })

    it('counts own sends since the newest report', async () => {
      const target = table.get('a')
      target?.recordSend()
      target?.recordLoad({ ...report, slowdown: 2 })
      target?.recordSend()
      expect([target?.inFlight, target?.sentSinceReport, target?.slowdown]).to.deep.equal([2, 1, 2])
      await clock.advance(300)
      expect(target?.slowdown).to.equal(1.5)
    })

    it('counts a load report that cannot be read, and keeps the last readable one', () => {
      const counted: string[] = []
      const counting = new TargetTable({ clock, stateLog: noopStateLog, metrics: { count: (name) => { counted.push(name) } } })
      counting.set(newTargetDefinition({ id: 'a' }))
      counting.get('a')?.recordHead({ load: { ...report, slowdown: 2 } })
      counting.get('a')?.recordHead({ load: undefined, isLoadUnreadable: true })
      counting.get('a')?.recordHead({ load: undefined })
      expect([counted, counting.get('a')?.report?.slowdown]).to.deep.equal([['targets.unreadable_loads'], 2])
    })

    it('takes all for usual if the mechanism is disabled', () => {
      const ablated = new TargetTable({ clock, stateLog: noopStateLog, mechanisms: { ...allMechanisms, target_slowdown: false } })
      ablated.set(newTargetDefinition({ id: 'a' }))
      ablated.get('a')?.recordLoad({ ...report, slowdown: 2.5 })
      ablated.get('a')?.recordAnswerTime(75, { ...report, slowdown: 2.5 })
      expect([ablated.get('a')?.slowdown, ablated.get('a')?.answerMs]).to.deep.equal([1, 75])
    })
  })
})
