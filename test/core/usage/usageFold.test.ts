import { expect } from 'chai'
import { asWorkspaceName } from '../../../src/base/common/ids.ts'
import { UsageFold } from '../../../src/core/common/usage/usageFold.ts'
import type { UsageStep } from '../../../src/core/common/usage/usagePlan.ts'
import { nextUsageStep, windowAt } from '../../../src/core/common/usage/usagePlan.ts'
import type { UsageCounts } from '../../../src/core/common/usage/usageRecords.ts'
import { countsRecord, readUsageRecord, reportedRecord, sealRecord } from '../../../src/core/common/usage/usageRecords.ts'
import type { KeyedRecord } from '../../../src/ports/common/keyedLog.ts'

const times = { windowMs: 5000, dueMs: 10_000 }
const END_OF_8 = 9 * 5000
const counts = (details: Record<string, number>): UsageCounts => new Map(Object.entries(details).map(([name, count]) => [asWorkspaceName(name), count]))

function foldOf (records: readonly KeyedRecord[]): UsageFold {
  const fold = new UsageFold()
  fold.apply(records.map((record, offset) => ({ ...record, offset })))
  return fold
}

function told (step: UsageStep): string {
  switch (step.type) {
    case 'seal': return `seal ${step.window} ${JSON.stringify(Object.fromEntries(step.counts))}`
    case 'report': return `report ${step.report.window} ${JSON.stringify(Object.fromEntries(step.report.counts))}`
    case 'close': return `close through ${step.through}, ${step.keys.length} keys`
    case 'wait': return 'wait'
  }
}

const next = (fold: UsageFold, wallMs: number, acknowledged: readonly number[] = []): string => told(nextUsageStep(fold, { acknowledged: new Set(acknowledged), firstWindow: 8 }, wallMs, times))

describe('the fold of usage', () => {
  it('adds up what hosts hand in, each record once, however often it was written', () => {
    const one = countsRecord(8, counts({ a: 2 }), 'host-1/x', 0)
    expect(foldOf([one, countsRecord(8, counts({ a: 1, b: 3 }), 'host-2/y', 0), one, countsRecord(8, counts({ a: 1 }), 'host-1/x', 1)]).total(8)).to.deep.equal(counts({ a: 4, b: 3 }))
  })

  it('keeps the first of two seals, and tells what came after it', () => {
    const fold = foldOf([sealRecord(8, counts({ a: 1 }), 'n1'), sealRecord(8, counts({ a: 2 }), 'n2'), countsRecord(8, counts({ a: 5 }), 'host-1/x', 0)])
    expect(fold.unreported).to.deep.equal([{ window: 8, counts: counts({ a: 1 }) }])
    expect([fold.takeLate(), fold.takeLate()]).to.deep.equal([5, 0])
  })

  it('never opens a window again that is reported: a seal that was carried out late would be sent as a second report', () => {
    const fold = foldOf([sealRecord(8, counts({ a: 1 }), 'n1'), reportedRecord(8), sealRecord(8, counts({ a: 2 }), 'n2'), countsRecord(7, counts({ a: 2 }), 'host-1/x', 0), reportedRecord(6)])
    expect([fold.unreported, fold.oldestOpen, fold.reportedThrough]).to.deep.equal([[], undefined, 8])
  })

  it('reads nothing from what other writers leave', () => {
    const values = ['', '{}', '{"a":-1}', '{"a":1.5}', '{"a":1e300}', '{"a":"1"}', '[]', 'x']
    expect(values.map((value) => `${value}: ${readUsageRecord({ key: 'counts/8/h/0', value, offset: 0 }).kind}`)).toMatchSnapshot()
    expect(['counts', 'counts/x/h/0', 'seal//n', 'other/8'].map((key) => readUsageRecord({ key, value: '{}', offset: 0 }).kind)).to.deep.equal(['none', 'none', 'none', 'none'])
  })

  it('does not count beyond what a number holds', () => {
    const most = counts({ a: Number.MAX_SAFE_INTEGER })
    expect(foldOf([countsRecord(8, most, 'h1', 0), countsRecord(8, most, 'h2', 0)]).total(8)).to.deep.equal(most)
  })
})

describe('the plan of usage reports', () => {
  it('seals a window once hosts have had time to hand in, reports what is sealed, and closes it', () => {
    const handed = [countsRecord(8, counts({ a: 2 }), 'h1', 0)]
    const sealed = [...handed, sealRecord(8, counts({ a: 2 }), 'n')]
    expect([
      next(foldOf(handed), END_OF_8),
      next(foldOf(handed), END_OF_8 + 5000),
      next(foldOf(sealed), END_OF_8 + 5000),
      next(foldOf(sealed), END_OF_8 + 5000, [8]),
      next(foldOf([...sealed, reportedRecord(8)]), END_OF_8 + 5000),
      next(foldOf([...sealed, reportedRecord(8)]), END_OF_8 + 10_000)
    ]).toMatchSnapshot()
  })

  it('reports windows in which nothing ran, and begins with the one in which the duty was first held', () => {
    expect(next(foldOf([]), END_OF_8 + 5000)).to.equal('seal 8 {}')
    expect(next(foldOf([countsRecord(6, counts({ a: 1 }), 'h1', 0)]), END_OF_8)).to.equal('seal 6 {"a":1}')
  })

  it('goes on from the last report after an outage, and leaves out an empty gap that is too long', () => {
    expect(next(foldOf([reportedRecord(8)]), END_OF_8 + 60_000)).to.equal('seal 9 {}')
    expect(next(foldOf([reportedRecord(8)]), END_OF_8 + 10_000_000)).to.equal(`seal ${windowAt(END_OF_8 + 10_000_000, 5000) - 120} {}`)
  })
})
