/**
 * Calls to plain services. Idempotent calls may move to another target. Calls that may not be
 * repeated run at most once: the caller's id is claimed in the log first, only the claim that is
 * read back as the first dispatches, and after the first byte there is no second dispatch by anyone.
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
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { Service, ServiceAnswer } from '../../../ports/common/targets.ts'
import type { Appender } from '../log/appender.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { MembershipView } from '../membership/membership.ts'
import type { GrantClient, HeldGrant } from '../routing/grantClient.ts'
import type { LaneRequest } from './interactiveWish.ts'
import { interactiveWish } from './interactiveWish.ts'

/** A caller's call to a service. */
export interface ServiceRequest extends LaneRequest {
  readonly method: string
  readonly path: string
  readonly contentType?: string
  readonly body?: string
}

/** A call that must not run twice; its id was issued by the caller at a stated time. */
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
  readonly chance: Chance
  readonly metrics: Metrics
}

export interface ServiceCallSettings {
  readonly claimWaitMs: number
  readonly host: HostId
}

/** An answer's body longer than this is not kept for repeats, in characters. */
const KEPT_BODY_CHARACTERS = 8192
const REPEAT_LATER_MS = 1000

/** One attempt's claim: whether it may still dispatch is decided here and nowhere else. */
class Attempt {
  private state: 'open' | 'dispatched' | 'abandoned' = 'open'

  constructor (readonly id: string) {}

  /** True at most once, and never after `abandon`. */
  dispatch (): boolean {
    if (this.state !== 'open') return false
    this.state = 'dispatched'
    return true
  }

  /** From now on the attempt never dispatches; false if it already has. */
  abandon (): boolean {
    if (this.state === 'dispatched') return false
    this.state = 'abandoned'
    return true
  }
}

export class ServiceCalls {
  constructor (private readonly services: ServiceCallServices, private readonly settings: ServiceCallSettings) {}

  /** Runs a call that may be repeated. */
  async run (request: ServiceRequest): Promise<Result<ServiceAnswer>> {
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
   * Runs a call without an id that must not be repeated: it cannot be recognised when the caller
   * repeats it, so all that is promised is that it is sent once from here.
   */
  async runUnnamed (request: ServiceRequest): Promise<Result<ServiceAnswer>> {
    return await this.withGrant(request, [], async (grant) => await this.send(request, grant, true))
  }

  /** Runs a call that must not run twice, or reports what came of it. */
  async runOnce (request: OnceOnlyRequest): Promise<Result<ServiceAnswer>> {
    const known = this.lookUp(request)
    if (known !== undefined) return known
    return await this.withGrant(request, [], async (grant) => await this.claimAndSend(request, grant))
  }

  /** What is known of the id already; undefined where it may be claimed. */
  private lookUp (request: OnceOnlyRequest): Result<ServiceAnswer> | undefined {
    const { state } = this.services.fold
    const outside = checkIssueTime(request.issuedAt, claimContext(state))
    if (outside !== undefined) return outside
    const claim = state.claims[claimKey(request.caller, request.id)]
    return claim?.attempt === undefined ? undefined : this.report(claim)
  }

  private report (claim: Claim): Result<ServiceAnswer> {
    if (claim.outcome !== undefined) return reportOutcome(claim.outcome)
    const holder = this.services.membership.members().find((member) => member.host === claim.holder)
    const gone = holder === undefined || holder.status === 'dead'
    return gone
      ? failure('unknownOutcome', 'the host that held the claim is gone and did not report')
      : failure('inProgress', 'another attempt with this id is under way', { retryAfterMs: REPEAT_LATER_MS })
  }

  private async withGrant (request: ServiceRequest, exclude: TargetName[], use: (grant: HeldGrant) => Promise<Result<ServiceAnswer>>): Promise<Result<ServiceAnswer>> {
    const grant = await this.services.grants.acquire(interactiveWish(request, exclude))
    if (!grant.ok) return grant
    try {
      if (!this.services.fold.fresh) return failure('stale', 'this host may be behind', { retryAfterMs: REPEAT_LATER_MS })
      const outcome = await use(grant.value)
      if (!outcome.ok) exclude.push(grant.value.target)
      return outcome
    } finally {
      grant.value.release()
    }
  }

  private async send (request: ServiceRequest, grant: HeldGrant, once: boolean): Promise<Result<ServiceAnswer>> {
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

  private async claimAndSend (request: OnceOnlyRequest, grant: HeldGrant): Promise<Result<ServiceAnswer>> {
    const attempt = new Attempt(this.services.chance.id())
    const claimed = await this.claim(request, attempt)
    if (!claimed.ok) return claimed
    const ready = this.readyToDispatch(request, grant)
    if (!ready.ok) return this.giveUp(request, attempt, ready)
    if (!attempt.dispatch()) return failure('repeatLater', 'the attempt was given up', { retryAfterMs: REPEAT_LATER_MS })
    const outcome = await this.send(request, grant, true)
    return this.settle(request, attempt, outcome)
  }

  private async claim (request: OnceOnlyRequest, attempt: Attempt): Promise<Result<void>> {
    const wait = Math.min(this.settings.claimWaitMs, request.deadline - this.services.clock.monotonic())
    const record: RecordOf<'claim'> = { kind: 'claim', ...this.recordBase(), ...claimFields(request, attempt), holder: this.settings.host }
    const decided = await this.services.appender.decide(record, Math.max(1, wait))
    if (!decided.ok) {
      return decided.code === 'commandUnknown'
        ? this.giveUp(request, attempt, failure('logUnavailable', decided.message, { retryAfterMs: REPEAT_LATER_MS }))
        : decided
    }
    const verdict = decided.value.result
    if (verdict.ok) return success(undefined)
    if (verdict.code !== 'inProgress') return verdict
    const claim = this.services.fold.state.claims[claimKey(request.caller, request.id)]
    const report = claim?.attempt === undefined ? verdict : this.report(claim)
    return report.ok ? failure('inProgress', 'another attempt has just reported', { retryAfterMs: 1 }) : report
  }

  /** Every check before the first byte; a freeze right after it is harmless, as nobody else may dispatch. */
  private readyToDispatch (request: OnceOnlyRequest, grant: HeldGrant): Result<void> {
    const now = this.services.clock.monotonic()
    if (request.signal.aborted) return failure('repeatLater', 'the caller went away before the call was sent')
    if (now >= request.deadline) return failure('deadlineExceeded', 'the deadline passed while the claim was made', { retryAfterMs: REPEAT_LATER_MS })
    if (!this.services.fold.fresh) return failure('stale', 'this host may be behind', { retryAfterMs: REPEAT_LATER_MS })
    if (now > grant.useBefore) return failure('overloaded', 'the slot was not used in time', { retryAfterMs: REPEAT_LATER_MS })
    return success(undefined)
  }

  /**
   * Gives the claim back: the caller hears "not run" at once, which is true, as this attempt never
   * dispatches from here on. Until the log has taken the release a repeat is told to come back.
   */
  private giveUp (request: OnceOnlyRequest, attempt: Attempt, reason: Failure): Failure {
    if (!attempt.abandon()) return failure('unknownOutcome', 'the call was already sent')
    const record: RecordOf<'release'> = { kind: 'release', ...this.recordBase(), ...claimFields(request, attempt) }
    this.services.metrics.count('claims.released')
    this.services.appender.persist(record).catch(() => undefined)
    return resultCodes[reason.code].effect === 'not-run' ? reason : failure('repeatLater', reason.message, { retryAfterMs: REPEAT_LATER_MS })
  }

  private settle (request: OnceOnlyRequest, attempt: Attempt, outcome: Result<ServiceAnswer>): Result<ServiceAnswer> {
    const notRun = !outcome.ok && resultCodes[outcome.code].effect === 'not-run'
    const record: RecordOf<'release'> | RecordOf<'outcome'> = notRun
      ? { kind: 'release', ...this.recordBase(), ...claimFields(request, attempt) }
      : { kind: 'outcome', ...this.recordBase(), ...claimFields(request, attempt), outcome: outcome.ok ? keptOutcome(outcome.value) : { state: 'unknown' } }
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

function keptOutcome (answer: ServiceAnswer): Outcome {
  const truncated = answer.body.length > KEPT_BODY_CHARACTERS
  return { state: 'answered', status: answer.status, contentType: answer.contentType.slice(0, 200), body: truncated ? '' : answer.body, truncated }
}

function reportOutcome (outcome: Outcome): Result<ServiceAnswer> {
  if (outcome.state === 'unknown') return failure('unknownOutcome', 'the call was sent and no answer came back')
  if (outcome.truncated) return failure('unknownOutcome', `the call ran and was answered with ${outcome.status}; the answer was too long to keep`)
  return success({ status: outcome.status, contentType: outcome.contentType, body: outcome.body })
}
