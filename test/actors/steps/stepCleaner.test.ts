/** When the records of a step are deleted from the store, with clocks that differ between hosts. */

import { expect } from 'chai'
import type { StepCleanerServices } from '../../../src/actors/common/steps/stepCleaner.ts'
import { StepCleaner } from '../../../src/actors/common/steps/stepCleaner.ts'
import { success } from '../../../src/base/common/resultCode.ts'
import { Emitter } from '../../../src/base/common/lifecycle.ts'
import { StepFold } from '../../../src/core/common/steps/stepFold.ts'
import type { StepChange } from '../../../src/core/common/steps/stepFold.ts'
import { endRecord, submissionRecords } from '../../../src/core/common/steps/stepRecords.ts'
import type { KeyedRecord } from '../../../src/ports/common/keyedLog.ts'
import { noopStateLog } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { newItem, newSubmission } from '../../support/steps.ts'

const KEEP_MS = 150_000

describe('StepCleaner', () => {
  let clock: ManualClock
  let fold: StepFold
  let changes: Emitter<StepChange>
  let appended: KeyedRecord[]
  let offset: number
  let cleaner: StepCleaner

  function write (records: readonly KeyedRecord[]): void {
    for (const change of fold.apply(records.map((record) => ({ ...record, offset: offset++ })))) changes.fire(change)
  }

  function accept (id: string, submittedAt: number): void {
    write(submissionRecords(newSubmission(id, [newItem('a', 'g')]), submittedAt, 'n').outline)
  }

  beforeEach(() => {
    clock = new ManualClock()
    fold = new StepFold()
    changes = new Emitter()
    appended = []
    offset = 0
    const services = {
      topic: { steps: () => fold.steps(), keysOf: (step: string) => fold.keysOf(step), contentKeysOf: (step: string) => fold.contentKeysOf(step), onChange: changes.event },
      appender: {
        append: async (make: () => readonly KeyedRecord[]) => {
          appended.push(...make())
          write(make())
          return success(0)
        }
      },
      contents: { deleteRecords: async () => success(0) },
      duty: { holds: true },
      clock,
      stateLog: noopStateLog
    }
    cleaner = new StepCleaner(services as unknown as StepCleanerServices, KEEP_MS)
  })
  afterEach(() => { cleaner.dispose() })

  it('keeps an ended step for the retention time, however far ahead its own clock is', async () => {
    // Guards against a step being deleted seconds after its end: the clock of the host that accepted it was two minutes
    // behind that of the cleaning host, which counted the difference as age of the step.
    accept('s', clock.wall() - 140_000)
    write([endRecord('s')])
    await clock.advance(60_000)
    expect(fold.step('s')).not.to.equal(undefined)
    await clock.advance(KEEP_MS)
    expect(fold.step('s')).to.equal(undefined)
    expect(appended.map(({ key, value }) => [key.split('/')[0], value])).to.deep.equal([['step', undefined], ['end', undefined]])
  })

  it('deletes a step from a host whose clock is ahead after the same time as other steps', async () => {
    // Guards against steps that are never deleted: a host whose clock was an hour ahead had accepted them, so they never reached the age limit.
    accept('s', clock.wall() + 3_600_000)
    write([endRecord('s')])
    await clock.advance(KEEP_MS + 20_000)
    expect(fold.step('s')).to.equal(undefined)
  })

  it('keeps an open step, however old it is', async () => {
    accept('s', clock.wall())
    await clock.advance(10 * KEEP_MS)
    expect(fold.step('s')).not.to.equal(undefined)
  })

  it('measures the age from the first read, not from a later read of the same topic', async () => {
    accept('s', clock.wall() + 3_600_000)
    write([endRecord('s')])
    await clock.advance(KEEP_MS - 30_000)
    const step = fold.step('s')
    if (step === undefined) throw new Error('the step is missing')
    changes.fire({ type: 'accepted', step })
    await clock.advance(60_000)
    expect(fold.step('s')).to.equal(undefined)
  })
})
