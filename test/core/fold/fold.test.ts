/** The fold of the control stream: all hosts reach the same state, whatever the log contains. */

import { expect } from 'chai'
import fc from 'fast-check'
import { emptyState, foldEntry, restore, snapshot } from '../../../src/core/common/fold/fold.ts'
import { encodeEnvelope } from '../../../src/core/common/fold/records.ts'
import type { ControlRecord } from '../../../src/core/common/fold/records.ts'
import { START_TIME_MS, newRecordBase, claim, command, fold, pull, sampleOf, samples, submit } from '../../support/records.ts'

const createPool = command({ verb: 'create', kind: 'pool', name: 'drafter', properties: { copies: 1 } })
const createTarget = (name: string): ControlRecord => command({ verb: 'create', kind: 'target', name, properties: { pool: 'drafter', address: 'http://127.0.0.1:1', place: 'Abdali' } })

describe('the fold', () => {
  it('throws if an entry is missing', () => {
    expect(() => foldEntry(emptyState(), 3, encodeEnvelope([]))).to.throw('unexpected log entry 3: expected offset 0')
  })

  const unreadableEntries: readonly (readonly [string, string])[] = [
    ['not JSON', '{'],
    ['another version', JSON.stringify({ v: 2, records: [] })],
    ['an unknown kind', JSON.stringify({ v: 1, records: [{ kind: 'unheard-of', id: 'x', at: 1 }] })],
    ['a missing field', JSON.stringify({ v: 1, records: [{ kind: 'pull', id: 'x', at: 1 }] })],
    ['a name that all objects inherit', JSON.stringify({ v: 1, records: [{ ...submit('g', 1), group: '__proto__' }] })]
  ]
  for (const [name, data] of unreadableEntries) {
    /*
     * Guards against an unreadable record that stops every host at the same offset, again after
     * each restart, because a reader that throws on it can never get past it.
     */
    it(`skips and counts a record with ${name}`, () => {
      const state = emptyState()
      foldEntry(state, 0, data)
      expect({ offset: state.offset, skipped: state.skipped }).to.deep.equal({ offset: 1, skipped: 1 })
    })
  }

  it('reads the other records of an entry that has one bad record', () => {
    const state = emptyState()
    foldEntry(state, 0, JSON.stringify({ v: 1, records: [{ kind: 'bad' }, createPool] }))
    expect(Object.keys(state.configuration.pool)).to.deep.equal(['drafter'])
  })

  it('reaches the same state from a checkpoint as from the whole log', () => {
    const record = fc.constantFrom<ControlRecord>(
      createPool, createTarget('a'), createTarget('b'),
      command({ verb: 'create', kind: 'subscription', name: 'drafts', properties: { pool: 'drafter', trainer: 't' } }),
      command({ verb: 'load', pool: 'drafter', version: 3 }),
      command({ verb: 'remove', kind: 'pool', name: 'drafter' }),
      claim('r', 'a'), claim('r', 'b'), submit('g', 1), samples(sampleOf('g', 0, 3)), pull(0, 3), pull(1, 3),
      { kind: 'lease', ...newRecordBase(), shard: 's', holder: 'h', ifEpoch: 0, durationMs: 10 },
      { kind: 'tick', ...newRecordBase(START_TIME_MS + 400_000) }
    )
    fc.assert(fc.property(fc.array(record, { maxLength: 40 }), fc.nat(40), (records, cut) => {
      const whole = emptyState()
      for (const item of records) fold(whole, item)
      const before = emptyState()
      for (const item of records.slice(0, cut)) fold(before, item)
      const restored = restore(snapshot(before))
      if (!restored.ok) throw new Error(restored.message)
      for (const item of records.slice(cut)) fold(restored.value, item)
      expect(snapshot(restored.value)).to.equal(snapshot(whole))
    }), { seed: 3, numRuns: 300 })
  })

  describe('commands', () => {
    it('reports the winning revision to the operator whose concurrent change is rejected', () => {
      const state = emptyState()
      fold(state, createPool)
      const [first, second] = fold(state,
        command({ verb: 'set', kind: 'pool', name: 'drafter', properties: { copies: 3 }, ifRevision: 1 }, 'layla'),
        command({ verb: 'set', kind: 'pool', name: 'drafter', properties: { copies: 4 }, ifRevision: 1 }, 'omar'))
      expect(first).to.deep.equal({ ok: true, value: 2 })
      expect(second).to.deep.equal({ ok: false, code: 'revisionConflict', message: 'drafter is at revision 2, changed by layla', revision: 2 })
    })

    it('returns the first verdict for a repeated command', () => {
      const state = emptyState()
      expect(fold(state, createPool, createPool)).to.deep.equal([{ ok: true, value: 1 }, { ok: true, value: 1 }])
    })

    /*
     * Guards against two targets on one licence. Two operators take the last copy at the same time
     * through two hosts, both of which see it as free, so only the order of the log can decide.
     */
    it('gives the last licensed copy to only one of two targets', () => {
      const state = emptyState()
      fold(state, createPool)
      const codes = fold(state, createTarget('a'), createTarget('b')).map((result) => result.ok ? 'accepted' : result.code)
      expect(codes).to.deep.equal(['accepted', 'licenceExceeded'])
    })

    it('rejects a change to older weights', () => {
      const state = emptyState()
      fold(state, createPool, command({ verb: 'load', pool: 'drafter', version: 5 }))
      const [late] = fold(state, command({ verb: 'load', pool: 'drafter', version: 4 }))
      expect(late).to.include({ ok: false, code: 'versionBehind' })
      expect(state.configuration.pool.drafter?.properties.weights).to.equal(5)
    })

    it('records the author and the verdict of each command in the audit trail', () => {
      const state = emptyState()
      fold(state, createPool, command({ verb: 'drain', target: 'nothing' }, 'omar'))
      expect(state.audit.map(({ by, verdict, revision }) => ({ by, verdict, revision }))).to.deep.equal([
        { by: 'layla', verdict: 'accepted', revision: 1 }, { by: 'omar', verdict: 'notFound', revision: 2 }
      ])
    })
  })

  describe('leases', () => {
    const lease = (holder: string, ifEpoch: number): ControlRecord => ({ kind: 'lease', ...newRecordBase(), shard: 's', holder, ifEpoch, durationMs: 1000 })

    it('raises the fencing token for a new holder and keeps it on renewal', () => {
      const state = emptyState()
      const results = fold(state, lease('a', 0), lease('a', 1), lease('b', 2))
      expect(results).to.deep.equal([{ ok: true, value: 1 }, { ok: true, value: 1 }, { ok: true, value: 3 }])
    })

    it('rejects a take-over if the holder renewed first', () => {
      const state = emptyState()
      const [, , late] = fold(state, lease('a', 0), lease('a', 1), lease('b', 1))
      expect(late).to.include({ ok: false, code: 'revisionConflict', revision: 2 })
    })
  })
})
