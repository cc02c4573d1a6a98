/** Short makers of records and states for tests of the fold. */

import type { Command } from '../../src/core/common/fold/command.ts'
import type { FoldState, Verdict } from '../../src/core/common/fold/fold.ts'
import { emptyState, foldEntry } from '../../src/core/common/fold/fold.ts'
import type { ControlRecord, RecordOf, SampleRecord } from '../../src/core/common/fold/records.ts'
import { encodeEnvelope } from '../../src/core/common/fold/records.ts'

let next = 0
export const START = 1_000_000_000

export function base (at = START): { id: string, at: number } {
  return { id: `record-${next++}`, at }
}

/** Folds records as one entry. */
export function fold (state: FoldState, ...records: ControlRecord[]): Verdict['result'][] {
  return foldEntry(state, state.offset, encodeEnvelope(records)).map(({ result }) => result)
}

export function command (order: Command, by = 'layla', at = START): RecordOf<'command'> {
  return { kind: 'command', ...base(at), by, command: order }
}

export function claim (request: string, attempt: string, issuedAt = START, at = START): RecordOf<'claim'> {
  return { kind: 'claim', ...base(at), caller: 'records', request, attempt, issuedAt, holder: `host of ${attempt}` }
}

export function release (request: string, attempt: string): RecordOf<'release'> {
  return { kind: 'release', ...base(), caller: 'records', request, attempt, issuedAt: START }
}

export function outcome (request: string, attempt: string): RecordOf<'outcome'> {
  return { kind: 'outcome', ...base(), caller: 'records', request, attempt, issuedAt: START, outcome: { state: 'answered', status: 200, contentType: 'text/plain', body: attempt, truncated: false } }
}

export function submit (group: string, samples: number, at = START): RecordOf<'submit'> {
  return { kind: 'submit', ...base(at), subscription: 'drafts', group, step: 0, samples, issuedAt: at, digest: group, payload: { offset: 0, item: 0 } }
}

export function sampleOf (group: string, index: number, version: number): SampleRecord {
  return { group, index, segments: [{ version, from: 0, to: 10 }], score: 0, payload: { offset: index, item: 0 } }
}

export function samples (...items: SampleRecord[]): RecordOf<'samples'> {
  return { kind: 'samples', ...base(), subscription: 'drafts', items }
}

export function pull (cursor: number, version: number, maximum = 512): RecordOf<'pull'> {
  return { kind: 'pull', ...base(), subscription: 'drafts', cursor, version, maximum }
}

/** A state with a pool and a subscription whose samples may be one version behind. */
export function stateWithSubscription (staleness = 1): FoldState {
  const state = emptyState()
  fold(state,
    command({ verb: 'create', kind: 'pool', name: 'drafter', properties: { copies: 2 } }),
    command({ verb: 'create', kind: 'subscription', name: 'drafts', properties: { pool: 'drafter', trainer: 'trainer', staleness } }))
  return state
}
