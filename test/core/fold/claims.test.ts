/** At-most-once execution: the order of the log decides which attempt may dispatch a request. */

import { expect } from 'chai'
import fc from 'fast-check'
import { claimKey } from '../../../src/core/common/fold/claims.ts'
import type { FoldState } from '../../../src/core/common/fold/fold.ts'
import { DEDUPLICATION_WINDOW_MS, emptyState } from '../../../src/core/common/fold/fold.ts'
import type { ControlRecord } from '../../../src/core/common/fold/records.ts'
import { START_TIME_MS, newRecordBase, claim, fold, outcome, release } from '../../support/records.ts'

function verdictOf (result: unknown): string {
  const outcome = result as { ok: boolean, code?: string }
  return outcome.ok ? 'accepted' : outcome.code ?? ''
}

interface Case {
  readonly name: string
  readonly records: readonly ControlRecord[]
  readonly verdicts: readonly string[]
}

const cases: readonly Case[] = [
  { name: 'grants the first claim in log order', records: [claim('r', 'a'), claim('r', 'b')], verdicts: ['accepted', 'inProgress'] },
  { name: 'accepts a claim that is appended twice', records: [claim('r', 'a'), claim('r', 'a')], verdicts: ['accepted', 'accepted'] },
  { name: 'lets another attempt claim after a release', records: [claim('r', 'a'), release('r', 'a'), claim('r', 'b')], verdicts: ['accepted', 'accepted', 'accepted'] },
  { name: 'ignores a release by an attempt that does not hold the claim', records: [claim('r', 'a'), release('r', 'b'), claim('r', 'c')], verdicts: ['accepted', 'accepted', 'inProgress'] },
  { name: 'keeps a claim released if its release precedes it in the log', records: [release('r', 'a'), claim('r', 'a'), claim('r', 'b')], verdicts: ['accepted', 'repeatLater', 'accepted'] },
  { name: 'does not let a delayed copy of a released claim replace the next one', records: [claim('r', 'a'), release('r', 'a'), claim('r', 'b'), claim('r', 'a')], verdicts: ['accepted', 'accepted', 'accepted', 'repeatLater'] },
  { name: 'does not record an outcome of another attempt', records: [claim('r', 'a'), outcome('r', 'b')], verdicts: ['accepted', 'requestExpired'] },
  { name: 'does not release a claim whose outcome was reported', records: [claim('r', 'a'), outcome('r', 'a'), release('r', 'a'), claim('r', 'b')], verdicts: ['accepted', 'accepted', 'unknownOutcome', 'inProgress'] },
  { name: 'rejects an id that is older than the deduplication window', records: [{ kind: 'tick', ...newRecordBase(START_TIME_MS + DEDUPLICATION_WINDOW_MS + 1) }, claim('r', 'a', START_TIME_MS)], verdicts: ['accepted', 'requestExpired'] },
  { name: 'rejects an id from the future', records: [claim('r', 'a', START_TIME_MS + DEDUPLICATION_WINDOW_MS)], verdicts: ['malformed'] }
]

describe('claims', () => {
  for (const { name, records, verdicts } of cases) {
    it(name, () => {
      expect(fold(emptyState(), ...records).map(verdictOf)).to.deep.equal(verdicts)
    })
  }

  it('scopes request ids to the caller', () => {
    const state = emptyState()
    const mine = claim('r', 'a')
    const theirs = { ...claim('r', 'b'), caller: 'other' }
    expect(fold(state, mine, theirs).map(verdictOf)).to.deep.equal(['accepted', 'accepted'])
  })

  /*
   * Guards against a request that runs twice. Once the window has passed, the claim of an id is
   * pruned. Without a check of the time of issue, a repeat of that id looks like a new request.
   */
  it('never runs an id again after its claim was pruned', () => {
    const state = emptyState()
    fold(state, claim('r', 'a'), outcome('r', 'a'))
    fold(state, { kind: 'tick', ...newRecordBase(START_TIME_MS + 2 * DEDUPLICATION_WINDOW_MS) })
    expect(state.claims[claimKey('records', 'r')]).to.equal(undefined)
    expect(fold(state, claim('r', 'b')).map(verdictOf)).to.deep.equal(['requestExpired'])
  })

  it('agrees with a reference implementation that replays the whole history', () => {
    const attempt = fc.constantFrom('a', 'b', 'c')
    const step = fc.tuple(fc.constantFrom('claim', 'release', 'outcome'), attempt)
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      const state = emptyState()
      fold(state, ...steps.map(([kind, by]) => kind === 'claim' ? claim('r', by) : kind === 'release' ? release('r', by) : outcome('r', by)))
      expect(currentHolder(state)).to.equal(replayHolder(steps))
    }), { seed: 7, numRuns: 500 })
  })
})

function currentHolder (state: FoldState): string | undefined {
  return state.claims[claimKey('records', 'r')]?.attempt
}

/** Reference implementation: replays all steps from the start. */
function replayHolder (steps: readonly (readonly [string, string])[]): string | undefined {
  let holder: string | undefined
  let reported = false
  const released = new Set<string>()
  for (const [kind, by] of steps) {
    if (kind === 'claim' && holder === undefined && !released.has(by)) holder = by
    if (kind === 'outcome' && holder === by) reported = true
    if (kind === 'release' && !(holder === by && reported)) {
      released.add(by)
      if (holder === by) holder = undefined
    }
  }
  return holder
}
