/**
 * The fold of the control stream. All hosts that have read the log up to the same offset hold the
 * same state, so every race (between operators, once-only requests, leases or trainers' pulls) is
 * resolved by the order of the log alone. The fold must be deterministic: code here reads neither a
 * clock nor a random source, since hosts with different clocks would diverge permanently.
 *
 * The fold owns its state and changes it in place; `snapshot` serializes it for a checkpoint.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { Command } from './command.ts'
import type { Configuration } from './configuration.ts'
import { applyCommand, emptyConfiguration, findObject } from './configuration.ts'
import type { ClaimContext, Claims } from './claims.ts'
import { applyClaim, applyOutcome, applyRelease, checkIssueTime, pruneClaims } from './claims.ts'
import type { Leases } from './leases.ts'
import { applyLease, applyLeaseEnd } from './leases.ts'
import type { Batch, SubscriptionState, Subscriptions } from './subscriptions.ts'
import { applyMoved, applyPull, applySamples, applySubmit, emptySubscription, pruneFinished } from './subscriptions.ts'
import type { ControlRecord, RecordOf } from './records.ts'
import { decodeEnvelope } from './records.ts'

/** Format version of the serialized state; a host rejects checkpoints of any other version. */
export const STATE_FORMAT_VERSION = 1
/** How long ids of requests, commands and groups are kept for deduplication. */
export const DEDUPLICATION_WINDOW_MS = 10 * 60_000
/** Interval at which expired ids are pruned. */
const PRUNE_INTERVAL_MS = DEDUPLICATION_WINDOW_MS / 20
const MAX_AUDIT_ENTRIES = 500

/** One entry of the audit trail. */
export interface AuditEntry {
  readonly at: number
  readonly by: string
  readonly command: Command
  readonly offset: number
  readonly revision: number
  readonly verdict: string
}

/** The folded state. It is plain JSON data and is stored as is in checkpoints. */
export interface FoldState {
  readonly format: typeof STATE_FORMAT_VERSION
  /** Offset of the next entry to fold. */
  offset: number
  /** Number of records folded so far. The sequence number of a record is the revision of what it changes. */
  sequence: number
  /** The latest timestamp that any author has written into a record. */
  time: number
  prunedAt: number
  /** Number of records and envelopes that could not be read. */
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

/** The result of folding one record. */
export interface Verdict {
  readonly record: ControlRecord
  readonly result: Result<number | Batch | void>
}

export function emptyState (): FoldState {
  return {
    format: STATE_FORMAT_VERSION,
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

/** Folds one entry of the log. Entries must be folded in order and without gaps. */
export function foldEntry (state: FoldState, offset: number, data: string): Verdict[] {
  if (offset !== state.offset) throw new Error(`unexpected log entry ${offset}: expected offset ${state.offset}`)
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

/** Returns the deduplication window at the current time of the fold. */
export function claimContext (state: FoldState): ClaimContext {
  return { time: state.time, windowMs: DEDUPLICATION_WINDOW_MS }
}

function foldCommand (state: FoldState, record: RecordOf<'command'>): Result<number> {
  const earlier = state.commands[record.id]
  if (earlier !== undefined) return earlier.verdict
  const expired = record.at < state.time - DEDUPLICATION_WINDOW_MS
  const verdict = expired
    ? failure('commandExpired', `the command reached the log more than ${DEDUPLICATION_WINDOW_MS} ms after it was issued`)
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
  if (state.audit.length > MAX_AUDIT_ENTRIES) state.audit.shift()
  return verdict
}

function foldSubmit (state: FoldState, record: RecordOf<'submit'>): Result<void> {
  const outOfWindow = checkIssueTime(record.issuedAt, claimContext(state))
  if (outOfWindow !== undefined) return outOfWindow
  return withSubscription(state, record.subscription, (found) => applySubmit(found, record))
}

function foldPull (state: FoldState, record: RecordOf<'pull'>): Result<Batch> {
  const subscription = findObject(state.configuration, 'subscription', record.subscription)
  const pool = subscription && findObject(state.configuration, 'pool', subscription.properties.pool)
  const newest = pool?.properties.weights ?? 0
  const staleness = subscription?.properties.staleness ?? 0
  return withSubscription(state, record.subscription, (found) => applyPull(found, record, { newest, staleness }))
}

function withSubscription<T> (state: FoldState, name: string, apply: (found: SubscriptionState) => Result<T>): Result<T> {
  if (findObject(state.configuration, 'subscription', name) === undefined) {
    return failure('notFound', `there is no subscription ${name}`)
  }
  state.subscriptions[name] ??= emptySubscription()
  return apply(state.subscriptions[name])
}

function prune (state: FoldState): void {
  if (state.time - state.prunedAt < PRUNE_INTERVAL_MS) return
  state.prunedAt = state.time
  pruneClaims(state.claims, claimContext(state))
  for (const found of Object.values(state.subscriptions)) pruneFinished(found, state.time - DEDUPLICATION_WINDOW_MS)
  for (const [id, command] of Object.entries(state.commands)) {
    if (command.at < state.time - DEDUPLICATION_WINDOW_MS) delete state.commands[id]
  }
}

/** Serializes the state. The text is identical on all hosts at the same offset. */
export function snapshot (state: FoldState): string {
  return JSON.stringify(state)
}

/** Parses a snapshot; one with a different format version is rejected. */
export function restore (text: string): Result<FoldState> {
  let parsed: FoldState
  try {
    parsed = JSON.parse(text) as FoldState
  } catch (error) {
    return failure('malformed', `checkpoint is not valid JSON: ${String(error)}`)
  }
  return parsed.format === STATE_FORMAT_VERSION ? success(parsed) : failure('malformed', `checkpoint has format version ${String(parsed.format)}; expected ${STATE_FORMAT_VERSION}`)
}
