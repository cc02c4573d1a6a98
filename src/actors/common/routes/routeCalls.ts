/**
 * Forwards a request to targets of its route until one has answered, and always answers the caller
 * within the allowed time. An idempotent request is sent to another target after a failure, and is
 * hedged over a new connection while the first attempt is late. Any other request is sent to another
 * target only if the first one certainly did not run it.
 */

import { DisposableStore } from '../../../base/common/lifecycle.ts'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import { classifyAnswer } from '../../../core/common/routes/answerVerdict.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import { pickDestination } from '../../../core/common/routes/routeConfiguration.ts'
import type { HoldState } from '../../../core/common/routes/heldRequestFold.ts'
import { isSaturated, hedgeDelayMs, MAX_HEDGE_POSTPONEMENTS } from '../../../core/common/routes/hedging.ts'
import { hasRoom } from '../../../core/common/routes/targetEstimate.ts'
import type { RequestContent } from '../../../ports/common/fingerprints.ts'
import type { TargetResponse } from '../../../ports/common/targetClient.ts'
import type { QueueLane, QueueTicket } from '../calls/queueTicket.ts'
import { targetsWithRoom } from '../calls/targetsWithRoom.ts'
import type { Admission, Trial } from './requestQuarantine.ts'
import { requestHeldFailure } from './requestQuarantine.ts'
import type { RouteCallServices, RoutedAnswer, RoutedRequest } from './routedRequest.ts'
import { contentOf } from './routedRequest.ts'
import type { RunTracker } from './targetCrashDetector.ts'
import { chooseFrom } from './targetPlacement.ts'
import type { KnownTarget } from './targetTable.ts'

/** Pause before targets that refused are asked again; about the duration of a short request. */
const REFUSAL_RETRY_PAUSE_MS = 40
/** Share of the allowed time after which a request that all targets refuse is rejected; the rest is left to the caller for a retry. */
const MAX_REFUSED_WAIT_SHARE = 0.5
/** Retry hint after a rejection. */
const RETRY_AFTER_MS = 300
/** Time without an answer that is taken for a lost request rather than for a slow target. */
const UNRESPONSIVE_AFTER_MS = 1500
const HTTP_SERVER_ERROR = 500
/** Number of rounds after which a call counts as not accepted if targets with an idle slot refused it in each of them. */
const MAX_ROUNDS_REFUSED_WITH_ROOM = 3

/** One attempt at one target. */
interface Attempt {
  readonly target: KnownTarget
  readonly abort: AbortController
  readonly beganAt: number
  /** Requests in flight, load report and its age when the target was chosen, for the log. */
  readonly known: string
  /** Whether it uses a connection opened for this call; only silence on such a connection is attributed to the target. */
  readonly fresh: boolean
  readonly run: RunTracker
  /** Whether it still counts as in flight at its target. */
  holdsSlot: boolean
  /** Whether its target refused it or could not be reached. */
  refused: boolean
  hedgePostponements: number
}

/** Permission to send a held request to one more target. */
interface GrantedTrial {
  readonly trial: Trial
  /** Number of targets that may have run the request before. */
  readonly sentBefore: number
  /** Whether a target ran the request to an outcome that does not clear it: a broken connection or a failure. */
  used: boolean
}

export class RouteCalls {
  constructor (private readonly services: RouteCallServices) {}

  async call (request: RoutedRequest): Promise<Result<RoutedAnswer>> {
    return await new Promise((resolve) => { new RouteCall(this.services, request, resolve).start() })
  }

  /** Whether a target of the route has a slot that a background call may use. */
  hasBackgroundCapacity (route: Route): boolean {
    const { targets, mechanisms, queues } = this.services
    return route.destinations.some(({ service }) => {
      if (queues?.isWaiting(service) === true) return false
      const available = targets.available(service)
      return (queues === undefined ? available : targetsWithRoom(available)).some((target) => hasBackgroundSlot(target, mechanisms.caller_slot))
    })
  }
}

/** Whether a background call may be sent to a target. `reserveCallerSlot` keeps one slot free for waiting callers. */
function hasBackgroundSlot ({ definition, inFlight }: KnownTarget, reserveCallerSlot: boolean): boolean {
  return inFlight < Math.max(1, definition.slots - (reserveCallerSlot ? 1 : 0))
}

/** The state of one request that is being forwarded. */
class RouteCall {
  private readonly running = new Set<Attempt>()
  /** Attempts that may have run the request. */
  private readonly mayHaveRun = new Set<Attempt>()
  /** Targets that may have run the request, each with the number of sends that may have run there. */
  private readonly sendsByTarget = new Map<string, number>()
  /** Targets that refused or failed the request in this round. */
  private readonly refused = new Set<string>()
  /** Targets that refused the request in this round and reported an idle slot with it. */
  private readonly refusedWithRoom = new Set<string>()
  private roundsRefusedWithRoom = 0
  private readonly timers = new DisposableStore()
  private readonly beganAt: number
  private readonly content: RequestContent
  /** One summary for each attempt, for the log: the target, its load as known to this host, and the outcome. */
  private readonly attemptSummaries: string[] = []
  private failures = 0
  private rounds = 0
  private lastFailure: RoutedAnswer | undefined
  private hedgeSent = false
  private hedgeSentAt = Number.NEGATIVE_INFINITY
  private settled = false
  /** Present once targets have crashed while they ran the request and this call may send it to one more. */
  private trial: GrantedTrial | undefined
  private requestingTrial = false
  /** The call's place in the call queue; absent if there is no queue, or if the call runs in the background. */
  private readonly ticket: QueueTicket | undefined

  constructor (private readonly services: RouteCallServices, private readonly request: RoutedRequest, private readonly resolve: (result: Result<RoutedAnswer>) => void) {
    this.beganAt = services.clock.monotonic()
    this.content = contentOf(request)
    this.ticket = request.background
      ? undefined
      : services.queues?.admit(request, { onTurn: () => { this.startRound() }, onRefused: (failed) => { this.settle(this.lastFailureOr(this.sendsByTarget.size > 0 ? this.unknownOutcome() : failed)) } })
  }

  start (): void {
    const { request, services } = this
    this.timers.add(services.clock.after(this.allowedMs, () => { this.onTimeout() }))
    const onCallerGone = (): void => { this.settle(failure('cancelled', 'the caller disconnected')) }
    if (request.gone.aborted) return onCallerGone()
    request.gone.addEventListener('abort', onCallerGone, { once: true })
    this.timers.add({ dispose: () => { request.gone.removeEventListener('abort', onCallerGone) } })
    this.tryNext()
  }

  private get allowedMs (): number {
    return Math.min(this.request.waitMs, this.request.route.timeoutMs)
  }

  private get elapsedMs (): number {
    return this.services.clock.monotonic() - this.beganAt
  }

  private get repeatable (): boolean {
    return this.request.route.kind === 'idempotent'
  }

  private get canTryAnother (): boolean {
    if (this.trial !== undefined) return this.sendsByTarget.size === this.trial.sentBefore
    return this.sendsByTarget.size === 0 || (this.repeatable && this.sendsByTarget.size < this.request.route.attempts)
  }

  private tryNext (): void {
    if (this.settled || !this.canTryAnother) return
    if (this.trial === undefined && this.holdState.type === 'held') return this.requestTrial()
    const { request } = this
    const { service, known, target } = this.selectTarget()
    if (target !== undefined && this.mayStart(target)) return this.startAttempt(target, !this.repeatable)
    if (this.running.size > 0) return
    // A trial runs once at one target; further rounds would resend a request that crashes targets.
    if (this.trial !== undefined) return this.settleHeld(RETRY_AFTER_MS)
    if (known.length === 0 && this.sendsByTarget.size === 0) return this.settle(this.lastFailureOr(failure('noTarget', `no target currently serves route ${request.route.name}`, { retryAfterMs: RETRY_AFTER_MS })))
    // If all remaining targets have had the request, waiting is pointless; if none remains, the request may still have run.
    if (known.every(({ definition }) => this.sendsByTarget.has(definition.id))) return this.settle(this.lastFailureOr(this.unknownOutcome()))
    if (this.ticket !== undefined && this.isUnsent && service !== undefined) return this.ticket.wait(service, this.laneAfterRound(known))
    this.scheduleNextRound()
  }

  /** Counts a round that ended without a start, and returns the queue in which the call waits for the next one. */
  private laneAfterRound (known: readonly KnownTarget[]): QueueLane {
    if (this.refusedWithRoom.size > 0) this.roundsRefusedWithRoom++
    const isRefusedByAll = known.every(({ definition }) => this.refusedWithRoom.has(definition.id))
    return isRefusedByAll || this.roundsRefusedWithRoom >= MAX_ROUNDS_REFUSED_WITH_ROOM ? 'not-accepted' : 'ordinary'
  }

  /** Whether no target can have run the call. Only such a call waits in the queue: for another one, some targets are out of the question, and its refusal could not say that it did not run. */
  private get isUnsent (): boolean {
    return this.sendsByTarget.size === 0
  }

  /** Whether the call may start without overtaking calls that wait. A trial starts at once, as the time for it is granted by the quarantine. */
  private mayStart ({ definition }: KnownTarget): boolean {
    return this.ticket === undefined || this.trial !== undefined || !this.isUnsent || this.ticket.mayStart(definition.service)
  }

  private get holdState (): HoldState {
    return this.request.background ? { type: 'free' } : this.services.held.standing(this.content)
  }

  private unknownOutcome (): Result<RoutedAnswer> {
    return failure('unknownOutcome', `no target gave a usable answer (targets that may have run it: ${this.sendsByTarget.size})`)
  }

  private requestTrial (): void {
    if (this.requestingTrial) return
    this.requestingTrial = true
    this.ticket?.leave('held')
    const { content, request, services } = this
    services.held.admit(content, request.route, this.allowedMs - this.elapsedMs).then((admission) => {
      this.requestingTrial = false
      this.onAdmission(admission)
    }, (error: unknown) => { this.settle(failure('unknownOutcome', String(error))) })
  }

  private onAdmission (admission: Admission): void {
    if (this.settled) {
      if (admission.type === 'trial') admission.trial.withdraw()
      return
    }
    switch (admission.type) {
      case 'open': return this.tryNext()
      case 'trial':
        this.trial = { trial: admission.trial, sentBefore: this.sendsByTarget.size, used: false }
        return this.tryNext()
      case 'held':
        if (this.running.size === 0) this.settleHeld(admission.retryAfterMs)
    }
  }

  private settleHeld (retryAfterMs: number): void {
    this.settle(this.lastFailureOr(this.sendsByTarget.size > 0 ? failure('unknownOutcome', 'targets crashed while they ran the request') : requestHeldFailure(retryAfterMs)))
  }

  /** Returns the targets of the route, and the best one that has not had the request. */
  private selectTarget (reusesConnection: boolean = this.repeatable): { readonly service: string | undefined, readonly known: readonly KnownTarget[], readonly target: KnownTarget | undefined } {
    const { services, request } = this
    const service = this.ticket?.service ?? pickDestination(request.route.destinations, services.chance.next())
    const known = service === undefined ? [] : services.targets.available(service)
    const free = this.withCapacity(known.filter(({ definition }) => !this.sendsByTarget.has(definition.id))).filter((target) => !this.refused.has(target.definition.id) && (!request.background || hasBackgroundSlot(target, services.mechanisms.caller_slot)) && (this.trial === undefined || services.held.isPresumedLive(target.definition)))
    return { service, known, target: chooseFrom(services, known, free, reusesConnection) }
  }

  /** Returns the targets of one service that have capacity for this call. Without a call queue, targets themselves refuse what they have no capacity for; so they do for a failover, which does not wait in the queue. */
  private withCapacity (targets: readonly KnownTarget[]): readonly KnownTarget[] {
    const { queues } = this.services
    const isFailover = !this.isUnsent && this.running.size === 0
    if (queues === undefined || this.trial !== undefined || isFailover) return targets
    const isOvertaking = this.request.background && targets.some(({ definition }) => queues.isWaiting(definition.service))
    return isOvertaking ? [] : targetsWithRoom(targets)
  }

  /** Asks all targets again after a short pause when all have refused, as long as time remains. */
  private scheduleNextRound (): void {
    if (this.elapsedMs + REFUSAL_RETRY_PAUSE_MS > this.allowedMs * MAX_REFUSED_WAIT_SHARE) {
      return this.settle(this.lastFailureOr(this.sendsByTarget.size > 0
        ? this.unknownOutcome()
        : failure('overloaded', `no target of route ${this.request.route.name} has a free slot`, { retryAfterMs: RETRY_AFTER_MS })))
    }
    this.rounds++
    this.forgetRefusals()
    this.timers.add(this.services.clock.after(REFUSAL_RETRY_PAUSE_MS, () => { this.tryNext() }))
  }

  /** Asks the targets again, as it is the call's turn in the queue. */
  private startRound (): void {
    this.rounds++
    this.forgetRefusals()
    this.tryNext()
  }

  private forgetRefusals (): void {
    this.refused.clear()
    this.refusedWithRoom.clear()
  }

  private startAttempt (target: KnownTarget, fresh: boolean): void {
    const { services, request } = this
    const attempt: Attempt = { target, abort: new AbortController(), beganAt: services.clock.monotonic(), known: describeLoad(target), fresh, run: services.ends.track(target, request.background ? undefined : this.content, request.requestId), holdsSlot: true, refused: false, hedgePostponements: 0 }
    this.running.add(attempt)
    this.mayHaveRun.add(attempt)
    this.sendsByTarget.set(target.definition.id, (this.sendsByTarget.get(target.definition.id) ?? 0) + 1)
    target.recordSend()
    // A former incarnation never answers, and a connection to it may stay silent until the caller's time is over.
    const restartListener = target.onRestart(() => { attempt.abort.abort() })
    services.client.exchange({
      address: target.definition.address,
      method: request.method,
      path: request.path,
      headers: request.headers({ expectedTarget: target.definition.id, remainingMs: this.allowedMs - this.elapsedMs }),
      body: request.body,
      ownConnection: fresh,
      keepsIdle: target.keepsIdle,
      signal: attempt.abort.signal
    }).then((result) => { this.onAttemptEnded(attempt, result) }, (error: unknown) => { this.onAttemptEnded(attempt, failure('unknownOutcome', String(error))) }).finally(() => {
      restartListener.dispose()
      if (!attempt.refused) services.queues?.released(target)
    })
    if (!this.repeatable || !services.mechanisms.second_sends) return
    this.timers.add(services.clock.after(this.hedgeDelayMs(target), () => { this.hedgeOnceDue(attempt) }))
  }

  /** While calls wait, a hedge takes the place of one of them, and answers are late because targets are full; hedges then start as late as those of background calls. */
  private hedgeDelayMs ({ presentAnswerMs: answerMs, definition: { service } }: KnownTarget): number {
    const { request: { route: { objectiveMs }, background }, services: { queues } } = this
    return hedgeDelayMs({ objectiveMs, allowedMs: this.allowedMs, answerMs, background: background || queues?.isUnderPressure(service) === true })
  }

  private hedgeOnceDue (attempt: Attempt): void {
    const remainingMs = this.services.queues === undefined ? 0 : attempt.beganAt + this.hedgeDelayMs(attempt.target) - this.services.clock.monotonic()
    if (remainingMs <= 0) return this.hedge(attempt)
    this.timers.add(this.services.clock.after(remainingMs, () => { this.hedge(attempt) }))
  }

  /**
   * Sends a late request once more over a new connection, to another target or else to the same one.
   * Either the target is slow or its connection went silent, in which case connections to other targets
   * may be silent too. Without the hedge, each call of a host would run into the next silent connection
   * until all of them are closed.
   */
  private hedge (attempt: Attempt): void {
    if (this.settled || !this.running.has(attempt)) return
    // The request may be about to crash its target, and a hedge would crash a second one.
    if (this.holdState.type !== 'free') return
    const busy = isSaturated(attempt.target)
    if (busy && this.postponeHedge(attempt)) return
    // A background call passes its slot to the hedge; otherwise silent attempts would occupy all background slots.
    if (this.request.background && !busy) releaseSlot(attempt)
    // Hedging at the same target distinguishes a silent connection from a slow target, but a waiting caller has no time for that.
    const other = this.canTryAnother && (!this.request.background || this.hedgeSent) ? this.selectTarget(false).target : undefined
    const next = other ?? (this.hedgeSent || busy ? undefined : attempt.target)
    if (next === undefined) return
    if ((isSaturated(next) || !hasRoom(next)) && this.postponeHedge(attempt)) return
    this.services.metrics.count('calls.second_target')
    this.hedgeSent = true
    this.hedgeSentAt = this.services.clock.monotonic()
    this.startAttempt(next, true)
  }

  /**
   * Postpones a hedge while reports explain the late answer by load, which a second attempt would add to. Returns whether
   * it is postponed. The number of times is limited, as a silent connection may lead to a loaded target too.
   */
  private postponeHedge (attempt: Attempt): boolean {
    if (!attempt.target.reportsSlowdown || attempt.hedgePostponements >= MAX_HEDGE_POSTPONEMENTS) return false
    attempt.hedgePostponements++
    this.timers.add(this.services.clock.after(hedgeDelayMs({ objectiveMs: this.request.route.objectiveMs, allowedMs: this.allowedMs, answerMs: undefined, background: false }), () => { this.hedge(attempt) }))
    return true
  }

  private onAttemptEnded (attempt: Attempt, result: Result<TargetResponse>): void {
    const { target, known } = attempt
    const tookMs = this.services.clock.monotonic() - attempt.beganAt
    releaseSlot(attempt)
    this.running.delete(attempt)
    if (this.settled) return attempt.run.finish()
    const addSummary = (end: string): void => { this.attemptSummaries.push(`${target.definition.id}:${known}:${end}:${Math.round(tookMs)}ms`) }
    if (!result.ok) {
      addSummary(result.code)
      if (result.code === 'malformed') return this.onUnsendable(attempt, result)
      target.recordFailure()
      this.refused.add(target.definition.id)
      if (result.code !== 'targetUnreachable') return this.onConnectionBroken(attempt, result.message)
      attempt.run.finish()
      attempt.refused = true
      this.markNotRun(attempt)
      return this.continueAfterFailure(result.message)
    }
    attempt.run.finish()
    const head = this.services.protocol.responseHead(result.value.status, result.value.headers)
    target.recordHead(head)
    const answer: RoutedAnswer = { answer: result.value, target: target.definition.id, failures: this.failures }
    const verdict = classifyAnswer(head, this.request.requestId)
    addSummary(verdict)
    if (verdict !== 'not-run') {
      this.ticket?.accepted()
      this.services.queues?.answered(target, head.load)
    }
    switch (verdict) {
      case 'answer':
        target.recordAnswerTime(tookMs, head.load)
        this.recordAnswer()
        return this.settle(success(answer), attempt.fresh ? 'new connection won' : 'other')
      case 'target-failed':
        target.recordAnswerTime(tookMs, head.load)
        this.failures++
        this.lastFailure = { ...answer, failures: this.failures }
        // A target may fail before it reaches the point at which the request crashes targets, so a failure does not clear it.
        if (this.trial !== undefined) this.trial.used = true
        return this.continueAfterFailure('the target reported a failure')
      case 'not-run':
        attempt.refused = true
        this.markNotRun(attempt)
        this.refused.add(target.definition.id)
        if (head.load !== undefined && head.load.running + head.load.waiting < head.load.slots) this.refusedWithRoom.add(target.definition.id)
        return this.continueAfterFailure('the target refused the request')
      case 'unusable':
        target.recordFailure()
        this.services.metrics.count('calls.unusable_answer')
        this.services.client.retireConnections(target.definition.address)
        return this.continueAfterFailure('the answer was not usable')
    }
  }

  /** The request cannot be sent to any other target either, which says nothing about this one. */
  private onUnsendable (attempt: Attempt, failed: Failure): void {
    attempt.run.finish()
    attempt.refused = true
    this.markNotRun(attempt)
    this.settle(this.lastFailureOr(this.sendsByTarget.size > 0 ? this.unknownOutcome() : failed))
  }

  /** Waits until it is known whether the target has crashed, as the request may then be held. */
  private onConnectionBroken (attempt: Attempt, why: string): void {
    this.ticket?.accepted()
    if (this.trial !== undefined) this.trial.used = true
    const proceed = (): void => { if (!this.settled) this.continueAfterFailure(why) }
    attempt.run.connectionBroke().then(proceed, proceed)
  }

  /** Clears the request, as its answer shows that it does not crash targets. */
  private recordAnswer (): void {
    if (!this.request.background) this.services.held.answered(this.content)
    this.trial = undefined
  }

  /** Records that one send ran nothing; another send to the same target may still have. */
  private markNotRun (attempt: Attempt): void {
    const { id } = attempt.target.definition
    this.mayHaveRun.delete(attempt)
    const others = (this.sendsByTarget.get(id) ?? 0) - 1
    if (others > 0) this.sendsByTarget.set(id, others)
    else this.sendsByTarget.delete(id)
  }

  private continueAfterFailure (why: string): void {
    this.services.metrics.count('calls.attempt_failed')
    if (this.canTryAnother) this.tryNext()
    else if (this.running.size === 0) this.settle(this.lastFailureOr(failure('unknownOutcome', why)))
  }

  private onTimeout (): void {
    this.settle(this.lastFailureOr(this.sendsByTarget.size === 0
      ? failure('overloaded', `no target of route ${this.request.route.name} took the request in time`, { retryAfterMs: this.ticket === undefined ? RETRY_AFTER_MS : 0 })
      : failure('unknownOutcome', `no target answered in time (targets that may have run it: ${this.sendsByTarget.size})`)), 'timeout')
  }

  /** Prefers the answer of a target that reported a failure to a failure of this host. */
  private lastFailureOr (failed: Result<RoutedAnswer>): Result<RoutedAnswer> {
    return this.lastFailure === undefined ? failed : success(this.lastFailure)
  }

  /** Ends the call; the reason determines how its running attempts are judged. */
  private settle (result: Result<RoutedAnswer>, why: 'timeout' | 'new connection won' | 'other' = 'other'): void {
    if (this.settled) return
    this.settled = true
    this.timers.dispose()
    const now = this.services.clock.monotonic()
    for (const attempt of this.running) {
      this.attemptSummaries.push(`${attempt.target.definition.id}:${attempt.known}:ended`)
      if (this.services.mechanisms.silence_suspicion && (why === 'timeout' || now - attempt.beganAt > UNRESPONSIVE_AFTER_MS)) recordNoAnswer(attempt)
      // The other reused connections to the target are presumed silent too. If no new connection answered sooner, the target is slow, and closing its connections for each late request would only cost new ones.
      // A connection over which an answer arrived since the hedge was sent delivers: the first attempt was late before.
      if (!attempt.fresh && why !== 'other') this.services.client.retireConnections(attempt.target.definition.address, now - attempt.beganAt, why === 'new connection won' ? now - this.hedgeSentAt : 0)
      attempt.abort.abort()
      attempt.run.finish()
      // The client may settle an aborted request hundreds of ms later, once it closes the connection; until then the slot would keep background calls out.
      releaseSlot(attempt)
    }
    if (this.trial?.used === false) this.trial.trial.withdraw()
    this.ticket?.leave(why === 'timeout' ? 'limit' : 'cancelled')
    this.recordUsage(now)
    this.logOutcome(result)
    this.resolve(result)
    for (const { target } of this.running) this.services.queues?.released(target)
  }

  /** Counts a request once, from the start of the first attempt that may have run it. */
  private recordUsage (now: number): void {
    const { workspace } = this.request
    if (workspace === undefined || this.mayHaveRun.size === 0) return
    this.services.usage?.recordStart(workspace, now - Math.min(...[...this.mayHaveRun].map(({ beganAt }) => beganAt)))
  }

  private logOutcome (result: Result<RoutedAnswer>): void {
    const { request, services } = this
    services.metrics.timing('calls.answer', this.elapsedMs)
    const isHeld = !result.ok && result.code === 'requestHeld'
    if (isHeld) services.metrics.count('front.refused.requestHeld')
    if (request.background && result.ok && this.sendsByTarget.size === 1) return
    services.stateLog.decided('call ended', {
      request: request.requestId ?? '',
      route: request.route.name,
      configuration: request.configuration,
      failed: !result.ok || result.value.answer.status >= HTTP_SERVER_ERROR,
      outcome: result.ok ? String(result.value.answer.status) : result.code,
      why: result.ok ? '' : result.message,
      ...(isHeld ? { fingerprint: services.held.fingerprintOf(this.content) } : {}),
      target: result.ok ? result.value.target : '',
      attempts: this.attemptSummaries.join(' '),
      rounds: this.rounds,
      tookMs: Math.round(this.elapsedMs),
      allowedMs: Math.round(this.allowedMs)
    })
  }
}

/** Stops counting an attempt as in flight at its target. */
function releaseSlot (attempt: Attempt): void {
  if (attempt.holdsSlot) attempt.target.inFlight--
  attempt.holdsSlot = false
}

/** Records that an attempt got no answer. A single silence on a reused connection does not count as a failure of its target, as healthy targets would be chosen last for seconds. */
function recordNoAnswer ({ target, fresh }: Attempt): void {
  if (fresh) target.recordFailure()
  else target.recordSilence()
}

function describeLoad ({ inFlight, report, reportAgeMs, reportsSlowdown, slowdown }: KnownTarget): string {
  return report === undefined ? `${inFlight},-` : `${inFlight},${report.running}+${report.waiting}@${Math.round(reportAgeMs)}ms${reportsSlowdown ? `*${slowdown.toFixed(2)}` : ''}`
}
