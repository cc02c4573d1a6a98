/** Delivery of samples by the fold: exactly once, and within the staleness limit. */

import { expect } from 'chai'
import fc from 'fast-check'
import type { FoldState } from '../../../src/core/common/fold/fold.ts'
import { restore, snapshot } from '../../../src/core/common/fold/fold.ts'
import type { Batch } from '../../../src/core/common/fold/subscriptions.ts'
import type { Result } from '../../../src/base/common/resultCode.ts'
import { command, fold, pull, sampleOf, samples, stateWithSubscription, submit } from '../../support/records.ts'

function batchOf (result: unknown): string[] {
  const batch = result as Result<Batch>
  return batch.ok ? batch.value.groups.map(({ group }) => group) : [batch.code]
}

function addFilledGroup (state: FoldState, group: string, version: number, count = 2): void {
  fold(state, submit(group, count), samples(...Array.from({ length: count }, (_, index) => sampleOf(group, index, version))))
}

describe('delivery of samples', () => {
  it('delivers a group once all its slots are filled', () => {
    const state = stateWithSubscription()
    fold(state, submit('g', 2), samples(sampleOf('g', 0, 1)))
    expect(fold(state, pull(0, 1)).map(batchOf)).to.deep.equal([[]])
    fold(state, samples(sampleOf('g', 1, 1)))
    expect(fold(state, pull(0, 1)).map(batchOf)).to.deep.equal([['g']])
  })

  it('keeps the first record of a slot and counts later ones', () => {
    const state = stateWithSubscription()
    fold(state, submit('g', 1), samples(sampleOf('g', 0, 1)), samples(sampleOf('g', 0, 2)))
    expect(state.subscriptions.drafts?.groups.g?.slots[0]?.segments[0]?.version).to.equal(1)
    expect(state.subscriptions.drafts?.duplicates).to.equal(1)
  })

  /*
   * Guards against lost samples: the response to a pull is lost and the trainer repeats it at another
   * host. A host that answers from its own deliveries does not know the first pull and returns other
   * samples.
   */
  it('returns the same batch for a repeated pull', () => {
    const state = stateWithSubscription()
    addFilledGroup(state, 'g', 1)
    const first = fold(state, pull(0, 1)).map(batchOf)
    addFilledGroup(state, 'h', 1)
    expect(fold(state, pull(0, 1)).map(batchOf)).to.deep.equal(first)
  })

  it('acknowledges a batch by the next cursor and rejects older and unknown cursors', () => {
    const state = stateWithSubscription()
    addFilledGroup(state, 'g', 1)
    addFilledGroup(state, 'h', 1)
    expect(fold(state, pull(0, 1, 2), pull(1, 1, 2), pull(0, 1, 2), pull(5, 1, 2)).map(batchOf)).to.deep.equal([['g'], ['h'], ['cursorBehind'], ['cursorAhead']])
  })

  /*
   * Guards against stale samples: a batch is delivered but its response is lost, new weights are
   * published, and the pull is repeated. Repeating the earlier decision would apply the old version.
   */
  it('decides a repeated pull again when newer weights are known', () => {
    const state = stateWithSubscription(0)
    addFilledGroup(state, 'g', 1)
    expect(fold(state, pull(0, 1)).map(batchOf)).to.deep.equal([['g']])
    fold(state, command({ verb: 'load', pool: 'drafter', version: 2 }))
    expect(fold(state, pull(0, 1)).map(batchOf)).to.deep.equal([[]])
    expect(state.subscriptions.drafts?.groups.g?.slots).to.deep.equal([null, null])
    expect(state.subscriptions.drafts?.rejected).to.equal(2)
  })

  it('determines the staleness of a sample by its oldest segment', () => {
    const state = stateWithSubscription(1)
    const mixed = { ...sampleOf('g', 0, 1), segments: [{ version: 1, from: 0, to: 5 }, { version: 3, from: 5, to: 9 }] }
    fold(state, submit('g', 1), samples(mixed))
    expect(fold(state, pull(0, 3)).map(batchOf)).to.deep.equal([[]])
  })

  it('does not start an acknowledged group again when it is submitted again', () => {
    const state = stateWithSubscription()
    addFilledGroup(state, 'g', 1)
    fold(state, pull(0, 1), pull(1, 1))
    fold(state, submit('g', 2))
    expect(state.subscriptions.drafts?.groups).to.deep.equal({})
  })

  it('rejects a group with a known id and different contents', () => {
    const state = stateWithSubscription()
    fold(state, submit('g', 2))
    expect(fold(state, { ...submit('g', 2), digest: 'other' }).map(batchOf)).to.deep.equal([['groupMismatch']])
  })

  /*
   * Combines samples of several versions, duplicate records, pulls whose responses are lost, weight
   * changes, and checkpoints between any two records. A trainer that continues only from responses
   * that it received must get every slot exactly once and none too old.
   */
  it('delivers each slot exactly once within the staleness limit, whatever is lost in between', () => {
    const groups = ['g0', 'g1', 'g2', 'g3']
    const step = fc.oneof(
      fc.record({ type: fc.constant('sample' as const), group: fc.constantFrom(...groups), index: fc.nat(1), lag: fc.nat(2), twice: fc.boolean() }),
      fc.record({ type: fc.constant('weights' as const) }),
      fc.record({ type: fc.constant('pull' as const), lost: fc.boolean(), maximum: fc.integer({ min: 1, max: 5 }) }),
      fc.record({ type: fc.constant('checkpoint' as const) })
    )
    fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      let state = stateWithSubscription(1)
      let newest = 1
      let cursor = 0
      const deliveries = new Map<string, number>()
      fold(state, ...groups.map((group) => submit(group, 2)))
      const pullBatch = (maximum: number, lost: boolean): number => {
        const [result] = fold(state, pull(cursor, newest, maximum))
        const batch = result as Result<Batch>
        if (!batch.ok) throw new Error(batch.code)
        for (const { slots } of batch.value.groups) {
          for (const slot of slots) expect(Math.min(...slot.segments.map(({ version }) => version))).to.be.at.least(newest - 1)
        }
        if (lost) return batch.value.groups.length
        for (const { group, slots } of batch.value.groups) slots.forEach((_, index) => { deliveries.set(`${group}/${index}`, (deliveries.get(`${group}/${index}`) ?? 0) + 1) })
        cursor = batch.value.nextCursor
        return batch.value.groups.length
      }
      for (const step of steps) {
        if (step.type === 'sample') {
          const record = samples(sampleOf(step.group, step.index, Math.max(0, newest - step.lag)))
          fold(state, record, ...(step.twice ? [record] : []))
        } else if (step.type === 'weights') {
          fold(state, command({ verb: 'load', pool: 'drafter', version: ++newest }))
        } else if (step.type === 'pull') {
          pullBatch(step.maximum, step.lost)
        } else {
          const restored = restore(snapshot(state))
          if (restored.ok) state = restored.value
        }
      }
      for (let round = 0; round < 8; round++) {
        fold(state, samples(...groups.flatMap((group) => [sampleOf(group, 0, newest), sampleOf(group, 1, newest)])))
        pullBatch(100, false)
      }
      expect([...deliveries.values()]).to.deep.equal(Array.from({ length: 8 }, () => 1))
    }), { seed: 11, numRuns: 400 })
  })
})
