/** What a scrape shows of the duty, the targets and the items of a host. */

import { expect } from 'chai'
import { TargetTable } from '../../src/actors/common/routes/targetTable.ts'
import { newItemWork } from '../../src/actors/common/steps/stepWork.ts'
import type { ItemState } from '../../src/actors/common/steps/stepWork.ts'
import { countItems, setGauges } from '../../src/host/node/hostGauges.ts'
import type { Metrics } from '../../src/ports/common/observation.ts'
import { quietLog, quietMetrics } from '../support/fakeHost.ts'
import { ManualClock } from '../support/manualClock.ts'
import { targetDefinition } from '../support/routes.ts'
import { item } from '../support/steps.ts'
import { newText } from '../support/texts.ts'

describe('the gauges of a host', () => {
  it('tell the states of the duty, of targets and of items apart', () => {
    // In an incident nobody could tell whether the holder of the duty was sure of it, held its targets
    // for suspect, or waited for the store: a scrape had the term and one number of items only.
    const targets = new TargetTable({ clock: new ManualClock(), stateLog: quietLog })
    for (const id of ['a', 'b', 'c']) targets.set(targetDefinition({ id }))
    targets.get('b')?.recordFailure()
    const states: ItemState[] = ['waiting', 'waiting', 'running', 'scoring', 'scoring', 'scoring', 'listing']
    const items = countItems(states.map((state, index) => ({ ...newItemWork({ item: item(`i${index}`, 'g'), rank: 'wanted' }, newText(), 0), state })))
    const set: Record<string, number> = {}
    const metrics: Metrics = { ...quietMetrics, gauge: (name, value) => { set[name] = value } }
    setGauges(metrics, { duty: { term: 3, alone: true }, requests: 5, items, held: 1, backlog: 4, usageReportedThrough: 200, targets: targets.counts })
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
      'store.backlog': 4,
      'targets.known': 3,
      'targets.suspect': 1
    })
    setGauges(metrics, { duty: { term: 3, alone: false }, requests: 0, items: countItems([]), held: 1, backlog: 0, targets: { known: 0, suspect: 0 } })
    expect(set).to.include({ 'duty.alone': 0, 'items.waiting': 0, 'targets.known': 0 })
  })
})
