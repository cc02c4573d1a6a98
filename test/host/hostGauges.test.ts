/** Gauges that a scrape reports for the duty, the targets and the items of a host. */

import { expect } from 'chai'
import { TargetTable } from '../../src/actors/common/routes/targetTable.ts'
import { newItemWork } from '../../src/actors/common/steps/stepWork.ts'
import type { ItemState } from '../../src/actors/common/steps/stepWork.ts'
import { countItems, setGauges } from '../../src/host/node/hostGauges.ts'
import type { Metrics } from '../../src/ports/common/observation.ts'
import { noopStateLog, noopMetrics } from '../support/fakeHost.ts'
import { ManualClock } from '../support/manualClock.ts'
import { newTargetDefinition } from '../support/routes.ts'
import { newItem } from '../support/steps.ts'
import { newText } from '../support/texts.ts'

describe('host gauges', () => {
  it('report the states of the duty, of targets and of items separately', () => {
    // Guards against a scrape that reports only the term and a single item count: during an incident it
    // does not show whether the holder is sure of the duty, suspects its targets, or waits for the store.
    const targets = new TargetTable({ clock: new ManualClock(), stateLog: noopStateLog })
    for (const id of ['a', 'b', 'c']) targets.set(newTargetDefinition({ id }))
    targets.get('b')?.recordFailure()
    const states: ItemState[] = ['waiting', 'waiting', 'running', 'scoring', 'scoring', 'scoring', 'listing']
    const items = countItems(states.map((state, index) => ({ ...newItemWork({ item: newItem(`i${index}`, 'g'), rank: 'wanted' }, newText(), 0), state })))
    const set: Record<string, number> = {}
    const metrics: Metrics = { ...noopMetrics, gauge: (name, value) => { set[name] = value } }
    setGauges(metrics, { duty: { term: 3, alone: true }, requests: 5, items, held: 1, queued: 6, backlog: 4, usageReportedThrough: 200, targets: targets.counts })
    expect(set).to.deep.equal({
      'usage.reported': 200,
      'duty.alone': 1,
      'duty.term': 3,
      'front.requests': 5,
      'items.listing': 1,
      'items.running': 1,
      'items.scoring': 3,
      'items.waiting': 2,
      'held.requests': 1,
      'queue.waiting': 6,
      'store.backlog': 4,
      'targets.known': 3,
      'targets.suspect': 1
    })
    setGauges(metrics, { duty: { term: 3, alone: false }, requests: 0, items: countItems([]), held: 1, backlog: 0, targets: { known: 0, suspect: 0 } })
    expect(set).to.include({ 'duty.alone': 0, 'items.waiting': 0, 'targets.known': 0 })
  })
})
