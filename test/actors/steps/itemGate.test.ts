/** Which items may start while engines terminate during the runs of some of them. */

import { expect } from 'chai'
import type { Admission } from '../../../src/actors/common/routes/requestQuarantine.ts'
import { ItemGate } from '../../../src/actors/common/steps/itemGate.ts'
import type { RunOutcome } from '../../../src/actors/common/steps/itemRun.ts'
import type { ItemWork } from '../../../src/actors/common/steps/stepWork.ts'
import { newItemWork } from '../../../src/actors/common/steps/stepWork.ts'
import type { HoldState } from '../../../src/core/common/routes/heldRequestFold.ts'
import { ManualClock, settle } from '../../support/manualClock.ts'
import { newRoute } from '../../support/routes.ts'
import { newItem } from '../../support/steps.ts'
import { newText } from '../../support/texts.ts'

const payload = newItem('i', 'g')
const held: HoldState = { type: 'held', ends: 2, trials: 0, trialUnderWay: false, nextTrialInMs: 0 }

class GateFixture {
  readonly clock = new ManualClock()
  standing: HoldState = held
  admission: Admission | undefined
  asked = 0
  admitted = 0
  answered = 0
  withdrawn = 0
  readonly work: ItemWork = newItemWork({ item: newItem('i', 'g'), rank: 'wanted' }, newText(), 0)
  readonly gate = new ItemGate({
    held: {
      standing: () => this.standing,
      admit: async () => {
        this.asked++
        return this.admission ?? { type: 'trial', trial: { withdraw: () => { this.withdrawn++ } } }
      },
      answered: () => { this.answered++ }
    },
    clock: this.clock,
    onAdmitted: () => { this.admitted++ }
  })

  mayStart (): boolean {
    return this.gate.mayStart('h', newRoute(), this.work, payload)
  }

  end (type: RunOutcome['type']): void {
    this.gate.handleRunEnd('h', this.work, payload, type === 'broken' ? { type, why: '' } : { type })
  }
}

describe('ItemGate', () => {
  it('starts items during which at most one engine terminated', () => {
    const scene = new GateFixture()
    for (const standing of [{ type: 'free' }, { type: 'watched', ends: 1 }] as const) {
      scene.standing = standing
      expect(scene.mayStart(), standing.type).to.equal(true)
    }
    expect(scene.asked).to.equal(0)
  })

  it('holds an item back until it is granted a trial, and requests one trial at a time', async () => {
    const scene = new GateFixture()
    expect([scene.mayStart(), scene.mayStart(), scene.asked]).to.deep.equal([false, false, 1])
    await settle()
    expect([scene.admitted, scene.mayStart(), scene.asked]).to.deep.equal([1, true, 1])
  })

  it('requests a trial again later if none is granted', async () => {
    const scene = new GateFixture()
    scene.admission = { type: 'held', retryAfterMs: 4000 }
    expect(scene.mayStart()).to.equal(false)
    await scene.clock.advance(400)
    expect([scene.mayStart(), scene.asked]).to.deep.equal([false, 1])
    await scene.clock.advance(200)
    expect([scene.mayStart(), scene.asked]).to.deep.equal([false, 2])
  })

  for (const { type, withdrawn, answered } of [
    { type: 'complete', withdrawn: 0, answered: 1 },
    { type: 'impossible', withdrawn: 0, answered: 1 },
    { type: 'failed', withdrawn: 0, answered: 0 },
    { type: 'broken', withdrawn: 0, answered: 0 },
    { type: 'restarted', withdrawn: 0, answered: 0 },
    { type: 'refused', withdrawn: 1, answered: 0 },
    { type: 'moved', withdrawn: 1, answered: 0 },
    { type: 'too-old', withdrawn: 1, answered: 0 }
  ] as const) {
    it(`treats a trial that ended as ${type} as ${withdrawn > 0 ? 'withdrawn' : 'used'}${answered > 0 ? ', and the item as cleared' : ''}`, async () => {
      const scene = new GateFixture()
      scene.mayStart()
      await settle()
      scene.end(type)
      expect([scene.withdrawn, scene.answered]).to.deep.equal([withdrawn, answered])
      // The next run needs its own trial.
      expect([scene.mayStart(), scene.asked]).to.deep.equal([false, 2])
    })
  }

  it('withdraws the trial of an item that is cancelled before or during the run', async () => {
    const before = new GateFixture()
    before.mayStart()
    before.work.cancel.abort()
    await settle()
    expect([before.withdrawn, before.admitted]).to.deep.equal([1, 0])
    const within = new GateFixture()
    within.mayStart()
    await settle()
    within.work.cancel.abort()
    within.end('broken')
    expect(within.withdrawn).to.equal(1)
  })
})
