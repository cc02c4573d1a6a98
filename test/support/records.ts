/** Factories for control records and fold states. */

import type { Command } from '../../src/core/common/fold/command.ts'
import type { FoldState, Verdict } from '../../src/core/common/fold/fold.ts'
import { emptyState, foldEntry } from '../../src/core/common/fold/fold.ts'
import type { ControlRecord, RecordOf, SampleRecord } from '../../src/core/common/fold/records.ts'
import { encodeEnvelope } from '../../src/core/common/fold/records.ts'

let nextRecordNumber = 0
export const START_TIME_MS = 1_000_000_000

export function newRecordBase (at = START_TIME_MS): { id: string, at: number } {
  return { id: `record-${nextRecordNumber++}`, at }
}

/** Folds records as a single log entry. */
export function fold (state: FoldState, ...records: ControlRecord[]): Verdict['result'][] {
  return foldEntry(state, state.offset, encodeEnvelope(records)).map(({ result }) => result)
}

export function command (order: Command, by = 'layla', at = START_TIME_MS): RecordOf<'command'> {
  return { kind: 'command', ...newRecordBase(at), by, command: order }
}

export function claim (request: string, attempt: string, issuedAt = START_TIME_MS, at = START_TIME_MS): RecordOf<'claim'> {
  return { kind: 'claim', ...newRecordBase(at), caller: 'records', request, attempt, issuedAt, holder: `host of ${attempt}` }
}

export function release (request: string, attempt: string): RecordOf<'release'> {
  return { kind: 'release', ...newRecordBase(), caller: 'records', request, attempt, issuedAt: START_TIME_MS }
}

export function outcome (request: string, attempt: string): RecordOf<'outcome'> {
  return { kind: 'outcome', ...newRecordBase(), caller: 'records', request, attempt, issuedAt: START_TIME_MS, outcome: { state: 'answered', status: 200, contentType: 'text/plain', body: attempt, truncated: false } }
}

export function submit (group: string, samples: number, at = START_TIME_MS): RecordOf<'submit'> {
  return { kind: 'submit', ...newRecordBase(at), subscription: 'drafts', group, step: 0, samples, issuedAt: at, digest: group, payload: { offset: 0, item: 0 } }
}

export function sampleOf (group: string, index: number, version: number): SampleRecord {
  return { group, index, segments: [{ version, from: 0, to: 10 }], score: 0, payload: { offset: index, item: 0 } }
}

export function samples (...items: SampleRecord[]): RecordOf<'samples'> {
  return { kind: 'samples', ...newRecordBase(), subscription: 'drafts', items }
}

export function pull (cursor: number, version: number, maximum = 512): RecordOf<'pull'> {
  return { kind: 'pull', ...newRecordBase(), subscription: 'drafts', cursor, version, maximum }
}

/** Creates a state with a pool and a subscription whose samples may be `staleness` versions old. */
export function stateWithSubscription (staleness = 1): FoldState {
  const state = emptyState()
  fold(state,
    command({ verb: 'create', kind: 'pool', name: 'drafter', properties: { copies: 2 } }),
    command({ verb: 'create', kind: 'subscription', name: 'drafts', properties: { pool: 'drafter', trainer: 'trainer', staleness } }))
  return state
}
