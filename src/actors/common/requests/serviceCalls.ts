/**
 * Calls to plain services. Idempotent calls may be retried at another target. Once-only calls run at
 * most once: the caller's request id is claimed in the log first, only the attempt whose claim is read
 * back as the first one dispatches, and after its first byte no host dispatches the call again.
 */

import type { HostId, TargetName } from '../../../base/common/ids.ts'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, resultCodes, success } from '../../../base/common/resultCode.ts'
import type { Claim } from '../../../core/common/fold/claims.ts'
import { claimKey, checkIssueTime } from '../../../core/common/fold/claims.ts'
import { claimContext } from '../../../core/common/fold/fold.ts'
import type { Outcome, RecordOf } from '../../../core/common/fold/records.ts'
import type { RetryBudget } from '../../../core/common/requests/retryBudget.ts'
import { mayRetry } from '../../../core/common/requests/retryPolicy.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { Service, ServiceResponse } from '../../../ports/common/targets.ts'
import type { Appender } from '../log/appender.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { MembershipView } from '../membership/membership.ts'
import type { GrantClient, HeldGrant } from '../routing/grantClient.ts'
import type { LaneRequest } from './interactiveGrantRequest.ts'
import { interactiveGrantRequest } from './interactiveGrantRequest.ts'

/** A caller's call to a service. */
export interface ServiceRequest extends LaneRequest {
  readonly method: string
  readonly path: string
  readonly contentType?: string
  readonly body?: string
}

/** A call that must not run twice; the caller issued its id at `issuedAt`. */
export interface OnceOnlyRequest extends ServiceRequest {
  /** Milliseconds since the epoch. */
  readonly issuedAt: number
}

export interface ServiceCallServices {
  readonly grants: Pick<GrantClient, 'acquire'>
  readonly service: Service
  readonly appender: Pick<Appender, 'decide' | 'persist'>
  readonly fold: FoldView
  readonly membership: Pick<MembershipView, 'members'>
  readonly budget: RetryBudget
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
}

export interface ServiceCallSettings {
  readonly claimWaitMs: number
  readonly host: HostId
}

/** Limit of an answer's body that is stored for repeated requests; a longer body is not stored. */
const MAX_STORED_BODY_CHARACTERS = 8192
const RETRY_AFTER_MS = 1000

/** The state of one attempt, and the only place that decides whether it may still dispatch. */
class Attempt {
  private state: 'open' | 'dispatched' | 'abandoned' = 'open'

  constructor (readonly id: string) {}

  /** Returns true at most once, and never after `abandon`. */
  dispatch (): boolean {
    if (this.state !== 'open') return false
    this.state = 'dispatched'
    return true
  }

  /** Prevents the attempt from dispatching; returns false if it already has. */
  abandon (): boolean {
    if (this.state === 'dispatched') return false
    this.state = 'abandoned'
    return true
  }
}

export class ServiceCalls {
  constructor (private readonly services: ServiceCallServices, private readonly settings: ServiceCallSettings) {}

  /** Runs an idempotent call, with retries. */
  async run (request: ServiceRequest): Promise<Result<ServiceResponse>> {
    const exclude: TargetName[] = []
    for (let attempts = 1; ; attempts++) {
      const outcome = await this.withGrant(request, exclude, async (grant) => await this.send(request, grant, false))
      if (outcome.ok) {
        this.services.budget.recordSuccess()
        return outcome
      }
      const remainingMs = request.deadline - this.services.clock.monotonic()
      if (request.signal.aborted || !mayRetry({ reason: outcome, idempotent: true, attempts, remainingMs }) || !this.services.budget.tryAcquire()) return outcome
      this.services.metrics.count('requests.retried')
    }
  }

  /**
   * Runs a call that must not be repeated and has no id. A repeat by the caller cannot be recognized,
   * so the only guarantee is that this host sends the call once.
   */
  async runWithoutId (request: ServiceRequest): Promise<Result<ServiceResponse>> {
    return await this.withGrant(request, [], async (grant) => await this.send(request, grant, true))
  }

  /** Runs a once-only call, or returns the result of the attempt that already claimed its id. */
  async runOnce (request: OnceOnlyRequest): Promise<Result<ServiceResponse>> {
    const known = this.findKnownResult(request)
    if (known !== undefined) return known
    return await this.withGrant(request, [], async (grant) => await this.claimAndSend(request, grant))
  }

  /** Returns the known result for a request id; `undefined` if the id may be claimed. */
  private findKnownResult (request: OnceOnlyRequest): Result<ServiceResponse> | undefined {
    const { state } = this.services.fold
    const outside = checkIssueTime(request.issuedAt, claimContext(state))
    if (outside !== undefined) return outside
    const claim = state.claims[claimKey(request.caller, request.id)]
    return claim?.attempt === undefined ? undefined : this.resultOfClaim(claim)
  }

  private resultOfClaim (claim: Claim): Result<ServiceResponse> {
    if (claim.outcome !== undefined) return resultOfOutcome(claim.outcome)
    const holder = this.services.membership.members().find((member) => member.host === claim.holder)
    const holderGone = holder === undefined || holder.status === 'dead'
    return holderGone
      ? failure('unknownOutcome', 'the host that held the claim is gone and recorded no outcome')
      : failure('inProgress', 'another attempt with this id is in progress', { retryAfterMs: RETRY_AFTER_MS })
  }

  private async withGrant (request: ServiceRequest, exclude: TargetName[], use: (grant: HeldGrant) => Promise<Result<ServiceResponse>>): Promise<Result<ServiceResponse>> {
    const grant = await this.services.grants.acquire(interactiveGrantRequest(request, exclude))
    if (!grant.ok) return grant
    try {
      if (!this.services.fold.fresh) return failure('stale', 'this host may be behind the control log', { retryAfterMs: RETRY_AFTER_MS })
      const outcome = await use(grant.value)
      if (!outcome.ok) exclude.push(grant.value.target)
      return outcome
    } finally {
      grant.value.release()
    }
  }

  private async send (request: ServiceRequest, grant: HeldGrant, once: boolean): Promise<Result<ServiceResponse>> {
    const timeoutMs = request.deadline - this.services.clock.monotonic()
    if (timeoutMs <= 0) return failure('deadlineExceeded', 'the deadline passed before the call was sent')
    return await this.services.service.call(grant.address, {
      method: request.method,
      path: request.path,
      requestId: request.id,
      timeoutMs,
      once,
      ...(request.contentType === undefined ? {} : { contentType: request.contentType }),
      ...(request.body === undefined ? {} : { body: request.body })
    })
  }

  private async claimAndSend (request: OnceOnlyRequest, grant: HeldGrant): Promise<Result<ServiceResponse>> {
    const attempt = new Attempt(this.services.chance.id())
    const claimed = await this.claim(request, attempt)
    if (!claimed.ok) return claimed
    const ready = this.checkBeforeDispatch(request, grant)
    if (!ready.ok) return this.releaseClaim(request, attempt, ready)
    if (!attempt.dispatch()) return failure('repeatLater', 'the attempt was abandoned', { retryAfterMs: RETRY_AFTER_MS })
    const outcome = await this.send(request, grant, true)
    return this.persistOutcome(request, attempt, outcome)
  }

  private async claim (request: OnceOnlyRequest, attempt: Attempt): Promise<Result<void>> {
    const waitLimitMs = Math.min(this.settings.claimWaitMs, request.deadline - this.services.clock.monotonic())
    const record: RecordOf<'claim'> = { kind: 'claim', ...this.recordBase(), ...claimFields(request, attempt), holder: this.settings.host }
    const decided = await this.services.appender.decide(record, Math.max(1, waitLimitMs))
    if (!decided.ok) {
      return decided.code === 'commandUnknown'
        ? this.releaseClaim(request, attempt, failure('logUnavailable', decided.message, { retryAfterMs: RETRY_AFTER_MS }))
        : decided
    }
    const verdict = decided.value.result
    if (verdict.ok) return success(undefined)
    if (verdict.code !== 'inProgress') return verdict
    const claim = this.services.fold.state.claims[claimKey(request.caller, request.id)]
    const claimResult = claim?.attempt === undefined ? verdict : this.resultOfClaim(claim)
    return claimResult.ok ? failure('inProgress', 'another attempt has just recorded its outcome', { retryAfterMs: 1 }) : claimResult
  }

  /** Makes all checks that precede the first byte. A freeze right after them is harmless, as no other host may dispatch. */
  private checkBeforeDispatch (request: OnceOnlyRequest, grant: HeldGrant): Result<void> {
    const now = this.services.clock.monotonic()
    if (request.signal.aborted) return failure('repeatLater', 'the caller disconnected before the call was sent')
    if (now >= request.deadline) return failure('deadlineExceeded', 'the deadline passed while the id was being claimed', { retryAfterMs: RETRY_AFTER_MS })
    if (!this.services.fold.fresh) return failure('stale', 'this host may be behind the control log', { retryAfterMs: RETRY_AFTER_MS })
    if (now > grant.useBefore) return failure('overloaded', 'the granted slot was not used in time', { retryAfterMs: RETRY_AFTER_MS })
    return success(undefined)
  }

  /**
   * Releases the claim. The caller is told "not run" at once, which is correct, as this attempt never
   * dispatches after this. Until the log has accepted the release, a repeated request is told to retry later.
   */
  private releaseClaim (request: OnceOnlyRequest, attempt: Attempt, reason: Failure): Failure {
    if (!attempt.abandon()) return failure('unknownOutcome', 'the call was already sent')
    const record: RecordOf<'release'> = { kind: 'release', ...this.recordBase(), ...claimFields(request, attempt) }
    this.services.metrics.count('claims.released')
    this.services.appender.persist(record).catch(() => undefined)
    return resultCodes[reason.code].effect === 'not-run' ? reason : failure('repeatLater', reason.message, { retryAfterMs: RETRY_AFTER_MS })
  }

  private persistOutcome (request: OnceOnlyRequest, attempt: Attempt, outcome: Result<ServiceResponse>): Result<ServiceResponse> {
    const notRun = !outcome.ok && resultCodes[outcome.code].effect === 'not-run'
    const record: RecordOf<'release'> | RecordOf<'outcome'> = notRun
      ? { kind: 'release', ...this.recordBase(), ...claimFields(request, attempt) }
      : { kind: 'outcome', ...this.recordBase(), ...claimFields(request, attempt), outcome: outcome.ok ? storedOutcome(outcome.value) : { state: 'unknown' } }
    this.services.metrics.count(notRun ? 'claims.released' : outcome.ok ? 'claims.answered' : 'claims.unknown')
    this.services.appender.persist(record).catch(() => undefined)
    return outcome
  }

  private recordBase (): { id: string, at: number } {
    return { id: this.services.chance.id(), at: this.services.clock.wall() }
  }
}

function claimFields (request: OnceOnlyRequest, attempt: Attempt): { caller: string, request: string, attempt: string, issuedAt: number } {
  return { caller: request.caller, request: request.id, attempt: attempt.id, issuedAt: request.issuedAt }
}

function storedOutcome (answer: ServiceResponse): Outcome {
  const truncated = answer.body.length > MAX_STORED_BODY_CHARACTERS
  return { state: 'answered', status: answer.status, contentType: answer.contentType.slice(0, 200), body: truncated ? '' : answer.body, truncated }
}

function resultOfOutcome (outcome: Outcome): Result<ServiceResponse> {
  if (outcome.state === 'unknown') return failure('unknownOutcome', 'the call was sent and no answer was received')
  if (outcome.truncated) return failure('unknownOutcome', `the call ran and was answered with status ${outcome.status}; the answer exceeded ${MAX_STORED_BODY_CHARACTERS} characters and was not stored`)
  return success({ status: outcome.status, contentType: outcome.contentType, body: outcome.body })
}
