import { expect } from 'chai'
import { asWorkspaceName } from '../../../src/base/common/ids.ts'
import { UsageFold } from '../../../src/core/common/usage/usageFold.ts'
import type { UsageAction } from '../../../src/core/common/usage/usagePlan.ts'
import { nextUsageAction, windowAt } from '../../../src/core/common/usage/usagePlan.ts'
import type { UsageCounts } from '../../../src/core/common/usage/usageRecords.ts'
import { countsRecord, readUsageRecord, reportedRecord, sealRecord } from '../../../src/core/common/usage/usageRecords.ts'
import type { KeyedRecord } from '../../../src/ports/common/keyedLog.ts'

const times = { windowMs: 5000, dueMs: 10_000 }
const END_OF_8 = 9 * 5000
const counts = (details: Record<string, number>): UsageCounts => new Map(Object.entries(details).map(([name, count]) => [asWorkspaceName(name), count]))

function createFold (records: readonly KeyedRecord[]): UsageFold {
  const fold = new UsageFold()
  fold.apply(records.map((record, offset) => ({ ...record, offset })))
  return fold
}

function describeAction (action: UsageAction): string {
  switch (action.type) {
    case 'seal': return `seal ${action.window} ${JSON.stringify(Object.fromEntries(action.counts))}`
    case 'report': return `report ${action.report.window} ${JSON.stringify(Object.fromEntries(action.report.counts))}`
    case 'close': return `close through ${action.through}, ${action.keys.length} keys`
    case 'wait': return 'wait'
  }
}

const nextAction = (fold: UsageFold, wallMs: number, acknowledged: readonly number[] = []): string => describeAction(nextUsageAction(fold, { acknowledged: new Set(acknowledged), firstWindow: 8 }, wallMs, times))

describe('the fold of usage', () => {
  it('adds up the counts of all hosts, each record once, however often it is written', () => {
    const one = countsRecord(8, counts({ a: 2 }), 'host-1/x', 0)
    expect(createFold([one, countsRecord(8, counts({ a: 1, b: 3 }), 'host-2/y', 0), one, countsRecord(8, counts({ a: 1 }), 'host-1/x', 1)]).totalCounts(8)).to.deep.equal(counts({ a: 4, b: 3 }))
  })

  it('keeps the first of two seals and reports the number of later counts', () => {
    const fold = createFold([sealRecord(8, counts({ a: 1 }), 'n1'), sealRecord(8, counts({ a: 2 }), 'n2'), countsRecord(8, counts({ a: 5 }), 'host-1/x', 0)])
    expect(fold.unreported).to.deep.equal([{ window: 8, counts: counts({ a: 1 }) }])
    expect([fold.takeLateCount(), fold.takeLateCount()]).to.deep.equal([5, 0])
  })

  // Guards against a seal that is applied late and would be sent as a second report.
  it('never reopens a reported window', () => {
    const fold = createFold([sealRecord(8, counts({ a: 1 }), 'n1'), reportedRecord(8), sealRecord(8, counts({ a: 2 }), 'n2'), countsRecord(7, counts({ a: 2 }), 'host-1/x', 0), reportedRecord(6)])
    expect([fold.unreported, fold.oldestOpenWindow, fold.reportedThrough]).to.deep.equal([[], undefined, 8])
  })

  it('ignores invalid records of other writers', () => {
    const values = ['', '{}', '{"a":-1}', '{"a":1.5}', '{"a":1e300}', '{"a":"1"}', '[]', 'x']
    expect(values.map((value) => `${value}: ${readUsageRecord({ key: 'counts/8/h/0', value, offset: 0 }).kind}`)).toMatchSnapshot()
    expect(['counts', 'counts/x/h/0', 'seal//n', 'other/8'].map((key) => readUsageRecord({ key, value: '{}', offset: 0 }).kind)).to.deep.equal(['none', 'none', 'none', 'none'])
  })

  it('limits counts to the largest safe integer', () => {
    const maximum = counts({ a: Number.MAX_SAFE_INTEGER })
    expect(createFold([countsRecord(8, maximum, 'h1', 0), countsRecord(8, maximum, 'h2', 0)]).totalCounts(8)).to.deep.equal(maximum)
  })
})

describe('the plan of usage reports', () => {
  it('seals a window after the time for submissions, reports the sealed counts, and closes it', () => {
    const counted = [countsRecord(8, counts({ a: 2 }), 'h1', 0)]
    const sealed = [...counted, sealRecord(8, counts({ a: 2 }), 'n')]
    expect([
      nextAction(createFold(counted), END_OF_8),
      nextAction(createFold(counted), END_OF_8 + 5000),
      nextAction(createFold(sealed), END_OF_8 + 5000),
      nextAction(createFold(sealed), END_OF_8 + 5000, [8]),
      nextAction(createFold([...sealed, reportedRecord(8)]), END_OF_8 + 5000),
      nextAction(createFold([...sealed, reportedRecord(8)]), END_OF_8 + 10_000)
    ]).toMatchSnapshot()
  })

  it('reports windows without counts, starting with the one in which the duty was first held', () => {
    expect(nextAction(createFold([]), END_OF_8 + 5000)).to.equal('seal 8 {}')
    expect(nextAction(createFold([countsRecord(6, counts({ a: 1 }), 'h1', 0)]), END_OF_8)).to.equal('seal 6 {"a":1}')
  })

  it('continues from the last report after an outage, and skips an empty gap that is too long', () => {
    expect(nextAction(createFold([reportedRecord(8)]), END_OF_8 + 60_000)).to.equal('seal 9 {}')
    expect(nextAction(createFold([reportedRecord(8)]), END_OF_8 + 10_000_000)).to.equal(`seal ${windowAt(END_OF_8 + 10_000_000, 5000) - 120} {}`)
  })
})
