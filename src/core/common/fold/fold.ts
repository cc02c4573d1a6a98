/**
 * The fold of the control stream. Every host that has read the log up to an offset holds the same
 * state, so every race (operators, once-only requests, leases, trainers' pulls) is decided by the
 * order of the log and nowhere else. Nothing here reads a clock or a random source: a host with
 * another clock would fold differently and hosts would part for good.
 *
 * The fold owns its state and changes it in place; `snapshot` gives the text of a checkpoint.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { Command } from './command.ts'
import type { Configuration } from './configuration.ts'
import { applyCommand, emptyConfiguration, findObject } from './configuration.ts'
import type { ClaimContext, Claims } from './claims.ts'
import { applyClaim, applyOutcome, applyRelease, outsideWindow, pruneClaims } from './claims.ts'
import type { Leases } from './leases.ts'
import { applyLease, applyLeaseEnd } from './leases.ts'
import type { Batch, SubscriptionState, Subscriptions } from './subscriptions.ts'
import { applyMoved, applyPull, applySamples, applySubmit, emptySubscription, pruneFinished } from './subscriptions.ts'
import type { ControlRecord, RecordOf } from './records.ts'
import { decodeEnvelope } from './records.ts'

/** Format of a checkpoint; a host refuses one that it does not know. */
export const STATE_FORMAT = 1
/** How long ids of requests, commands and groups are remembered, in milliseconds. */
export const WINDOW_MS = 10 * 60_000
/** Share of the window after which old ids are looked for. */
const PRUNE_EVERY_MS = WINDOW_MS / 20
const AUDIT_LENGTH = 500

/** One line of the audit trail. */
export interface AuditEntry {
  readonly at: number
  readonly by: string
  readonly command: Command
  readonly offset: number
  readonly revision: number
  readonly verdict: string
}

/** The folded state; JSON as it stands. */
export interface FoldState {
  readonly format: typeof STATE_FORMAT
  /** Offset of the next entry to fold. */
  offset: number
  /** Records folded so far: the revision number of whatever a record changes. */
  sequence: number
  /** Latest author's stamp seen. */
  time: number
  prunedAt: number
  /** Records and envelopes that could not be read. */
  skipped: number
  /** Revision of the last accepted command. */
  configurationRevision: number
  configuration: Configuration
  commands: Record<string, { readonly at: number, readonly verdict: Result<number> }>
  claims: Claims
  leases: Leases
  subscriptions: Subscriptions
  audit: AuditEntry[]
}

/** What the fold decided on one record. */
export interface Verdict {
  readonly record: ControlRecord
  readonly result: Result<number | Batch | void>
}

export function emptyState (): FoldState {
  return {
    format: STATE_FORMAT,
    offset: 0,
    sequence: 0,
    time: 0,
    prunedAt: 0,
    skipped: 0,
    configurationRevision: 0,
    configuration: emptyConfiguration(),
    commands: {},
    claims: {},
    leases: {},
    subscriptions: {},
    audit: []
  }
}

/** Folds one entry of the log; entries must come without gaps, in order. */
export function foldEntry (state: FoldState, offset: number, data: string): Verdict[] {
  if (offset !== state.offset) throw new Error(`entry ${offset} where ${state.offset} is due`)
  const { records, skipped } = decodeEnvelope(data)
  state.skipped += skipped
  const verdicts = records.map((record) => ({ record, result: foldRecord(state, record) }))
  state.offset = offset + 1
  return verdicts
}

function foldRecord (state: FoldState, record: ControlRecord): Verdict['result'] {
  state.sequence++
  if (record.at > state.time) state.time = record.at
  prune(state)
  switch (record.kind) {
    case 'command': return foldCommand(state, record)
    case 'claim': return applyClaim(state.claims, record, claimContext(state))
    case 'release': return applyRelease(state.claims, record, claimContext(state))
    case 'outcome': return applyOutcome(state.claims, record)
    case 'lease': return applyLease(state.leases, record, state.sequence)
    case 'lease-end': return applyLeaseEnd(state.leases, record, state.sequence)
    case 'submit': return foldSubmit(state, record)
    case 'samples': return withSubscription(state, record.subscription, (found) => applySamples(found, record.items))
    case 'moved': return withSubscription(state, record.subscription, (found) => applyMoved(found, record))
    case 'pull': return foldPull(state, record)
    case 'tick': return success(undefined)
    default: return unreachable(record)
  }
}

/** The window in which ids are remembered, as the state has it now. */
export function claimContext (state: FoldState): ClaimContext {
  return { time: state.time, windowMs: WINDOW_MS }
}

function foldCommand (state: FoldState, record: RecordOf<'command'>): Result<number> {
  const earlier = state.commands[record.id]
  if (earlier !== undefined) return earlier.verdict
  const expired = record.at < state.time - WINDOW_MS
  const verdict = expired
    ? failure('commandExpired', 'the command reached the log too late')
    : applyCommand(state.configuration, record.command, { by: record.by, revision: state.sequence })
  if (!expired) state.commands[record.id] = { at: record.at, verdict }
  if (verdict.ok) {
    state.configurationRevision = state.sequence
    if (record.command.verb === 'remove' && record.command.kind === 'subscription') delete state.subscriptions[record.command.name]
  }
  state.audit.push({
    at: record.at,
    by: record.by,
    command: record.command,
    offset: state.offset,
    revision: state.sequence,
    verdict: verdict.ok ? 'accepted' : verdict.code
  })
  if (state.audit.length > AUDIT_LENGTH) state.audit.shift()
  return verdict
}

function foldSubmit (state: FoldState, record: RecordOf<'submit'>): Result<void> {
  const refused = outsideWindow(record.issuedAt, claimContext(state))
  if (refused !== undefined) return refused
  return withSubscription(state, record.subscription, (found) => applySubmit(found, record))
}

function foldPull (state: FoldState, record: RecordOf<'pull'>): Result<Batch> {
  const subscription = findObject(state.configuration, 'subscription', record.subscription)
  const pool = subscription && findObject(state.configuration, 'pool', subscription.properties.pool)
  const newest = pool?.properties.weights ?? 0
  const staleness = subscription?.properties.staleness ?? 0
  return withSubscription(state, record.subscription, (found) => applyPull(found, record, { newest, staleness }))
}

function withSubscription<T> (state: FoldState, name: string, decide: (found: SubscriptionState) => Result<T>): Result<T> {
  if (findObject(state.configuration, 'subscription', name) === undefined) {
    return failure('notFound', `there is no subscription ${name}`)
  }
  state.subscriptions[name] ??= emptySubscription()
  return decide(state.subscriptions[name])
}

function prune (state: FoldState): void {
  if (state.time - state.prunedAt < PRUNE_EVERY_MS) return
  state.prunedAt = state.time
  pruneClaims(state.claims, claimContext(state))
  for (const found of Object.values(state.subscriptions)) pruneFinished(found, state.time - WINDOW_MS)
  for (const [id, command] of Object.entries(state.commands)) {
    if (command.at < state.time - WINDOW_MS) delete state.commands[id]
  }
}

/** Text of the state: alike on all hosts at one offset. */
export function snapshot (state: FoldState): string {
  return JSON.stringify(state)
}

/** Reads a snapshot; a format of another version of the program is refused. */
export function restore (text: string): Result<FoldState> {
  let parsed: FoldState
  try {
    parsed = JSON.parse(text) as FoldState
  } catch (error) {
    return failure('malformed', `checkpoint: ${String(error)}`)
  }
  return parsed.format === STATE_FORMAT ? success(parsed) : failure('malformed', `checkpoint of format ${String(parsed.format)}`)
}
