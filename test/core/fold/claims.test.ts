/** At most once: who may dispatch, decided by the order of the log. */

import { expect } from 'chai'
import fc from 'fast-check'
import { claimKey } from '../../../src/core/common/fold/claims.ts'
import type { FoldState } from '../../../src/core/common/fold/fold.ts'
import { WINDOW_MS, emptyState } from '../../../src/core/common/fold/fold.ts'
import type { ControlRecord } from '../../../src/core/common/fold/records.ts'
import { START, base, claim, fold, outcome, release } from '../../support/records.ts'

function code (result: unknown): string {
  const outcome = result as { ok: boolean, code?: string }
  return outcome.ok ? 'accepted' : outcome.code ?? ''
}

interface Case {
  readonly name: string
  readonly records: readonly ControlRecord[]
  readonly verdicts: readonly string[]
}

const cases: readonly Case[] = [
  { name: 'the first claim in log order wins', records: [claim('r', 'a'), claim('r', 'b')], verdicts: ['accepted', 'inProgress'] },
  { name: 'a claim appended twice is the same claim', records: [claim('r', 'a'), claim('r', 'a')], verdicts: ['accepted', 'accepted'] },
  { name: 'after a release another attempt may claim', records: [claim('r', 'a'), release('r', 'a'), claim('r', 'b')], verdicts: ['accepted', 'accepted', 'accepted'] },
  { name: 'a release by another attempt releases nothing', records: [claim('r', 'a'), release('r', 'b'), claim('r', 'c')], verdicts: ['accepted', 'accepted', 'inProgress'] },
  { name: 'a claim that lands after its own release stays released', records: [release('r', 'a'), claim('r', 'a'), claim('r', 'b')], verdicts: ['accepted', 'repeatLater', 'accepted'] },
  { name: 'a late copy of a released claim does not take it from the next', records: [claim('r', 'a'), release('r', 'a'), claim('r', 'b'), claim('r', 'a')], verdicts: ['accepted', 'accepted', 'accepted', 'repeatLater'] },
  { name: 'an outcome of another attempt is not recorded', records: [claim('r', 'a'), outcome('r', 'b')], verdicts: ['accepted', 'requestExpired'] },
  { name: 'a claim that has reported cannot be released', records: [claim('r', 'a'), outcome('r', 'a'), release('r', 'a'), claim('r', 'b')], verdicts: ['accepted', 'accepted', 'unknownOutcome', 'inProgress'] },
  { name: 'an id older than the window is refused', records: [{ kind: 'tick', ...base(START + WINDOW_MS + 1) }, claim('r', 'a', START)], verdicts: ['accepted', 'requestExpired'] },
  { name: 'an id from the future is refused', records: [claim('r', 'a', START + WINDOW_MS)], verdicts: ['malformed'] }
]

describe('claims', () => {
  for (const { name, records, verdicts } of cases) {
    it(name, () => {
      expect(fold(emptyState(), ...records).map(code)).to.deep.equal(verdicts)
    })
  }

  it('keeps the ids of two callers apart', () => {
    const state = emptyState()
    const mine = claim('r', 'a')
    const theirs = { ...claim('r', 'b'), caller: 'other' }
    expect(fold(state, mine, theirs).map(code)).to.deep.equal(['accepted', 'accepted'])
  })

  /*
   * Symptom: a ledger entry is doubled though the claim was refused at first.
   * Sequence: an id runs; the window passes and its claim is forgotten; a repeat with the same time
   * of issue arrives.
   * Cause: without the check of the time of issue a forgotten id looks like a new one.
   */
  it('never runs an id again after its claim was forgotten', () => {
    const state = emptyState()
    fold(state, claim('r', 'a'), outcome('r', 'a'))
    fold(state, { kind: 'tick', ...base(START + 2 * WINDOW_MS) })
    expect(state.claims[claimKey('records', 'r')]).to.equal(undefined)
    expect(fold(state, claim('r', 'b')).map(code)).to.deep.equal(['requestExpired'])
  })

  it('agrees with a naive reading of the whole history', () => {
    const attempt = fc.constantFrom('a', 'b', 'c')
    const step = fc.tuple(fc.constantFrom('claim', 'release', 'outcome'), attempt)
    fc.assert(fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      const state = emptyState()
      fold(state, ...steps.map(([kind, by]) => kind === 'claim' ? claim('r', by) : kind === 'release' ? release('r', by) : outcome('r', by)))
      expect(holderIn(state)).to.equal(naiveHolder(steps))
    }), { seed: 7, numRuns: 500 })
  })
})

function holderIn (state: FoldState): string | undefined {
  return state.claims[claimKey('records', 'r')]?.attempt
}

/** Reads the history from the start for each question. */
function naiveHolder (steps: readonly (readonly [string, string])[]): string | undefined {
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
