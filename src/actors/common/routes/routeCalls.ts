/**
 * Carries a request to targets of its route until one has answered, and answers in time in every
 * case. What may be repeated is sent to another target after a failure, and once more over a new
 * connection while the first is late; what may not is sent on only where the first surely did not
 * run it.
 */

import { DisposableStore } from '../../../base/common/lifecycle.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import { classifyAnswer } from '../../../core/common/routes/answerVerdict.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import { pickDestination } from '../../../core/common/routes/routeConfiguration.ts'
import { isSaturated, hedgeDelayMs } from '../../../core/common/routes/hedging.ts'
import { chooseTarget } from '../../../core/common/routes/targetChoice.ts'
import type { RequestContent } from '../../../ports/common/fingerprints.ts'
import type { TargetAnswer } from '../../../ports/common/targetClient.ts'
import type { Admission, Trial } from './heldRequests.ts'
import { heldBack } from './heldRequests.ts'
import type { RouteCallServices, RoutedAnswer, RoutedRequest } from './routedRequest.ts'
import { contentOf, preferredPlace } from './routedRequest.ts'
import type { RunAtTarget } from './targetEnds.ts'
import type { KnownTarget } from './targetTable.ts'

/** Pause before targets that refused are asked again, in milliseconds: about the time of a short request. */
const ROUND_MS = 40
/** Share of the waiting time after which a request that no target takes is rejected: the rest is left to the caller for another try. */
const REFUSED_SHARE = 0.5
/** When to come back after a rejection, in milliseconds. */
const RETRY_AFTER_MS = 300
/** Times for an answer over this are not what a target needs but what it lost. */
const SILENT_MS = 1500
const SERVER_ERROR = 500

/** One try at one target. */
interface Attempt {
  readonly target: KnownTarget
  readonly abort: AbortController
  readonly beganAt: number
  /** Requests in flight and age of the load report when the target was chosen. */
  readonly known: string
  /** Whether it went over a connection opened for this call: only its silence says something of the target. */
  readonly fresh: boolean
  readonly run: RunAtTarget
  /** Whether it counts among the requests in flight at its target. */
  holdsSlot: boolean
}

/** Leave to send a held request to one more target. */
interface GrantedTrial {
  readonly trial: Trial
  /** Targets that may have run the request before. */
  readonly sentBefore: number
  /** Whether a target ran it to an end that does not clear it: broken off, or failed. */
  used: boolean
}

export class RouteCalls {
  constructor (private readonly services: RouteCallServices) {}

  async call (request: RoutedRequest): Promise<Result<RoutedAnswer>> {
    return await new Promise((resolve) => { new RouteCall(this.services, request, resolve).start() })
  }

  /** Whether a background call would find a free slot at a target of the route. */
  hasRoom (route: Route): boolean {
    const { targets, mechanisms } = this.services
    return route.destinations.some(({ service }) => targets.available(service).some((target) => hasBackgroundSlot(target, mechanisms.caller_slot)))
  }
}

/** Whether a background call may be sent to a target; `leavesOne`: one slot is for callers that wait. */
function hasBackgroundSlot ({ definition, inFlight }: KnownTarget, leavesOne: boolean): boolean {
  return inFlight < Math.max(1, definition.slots - (leavesOne ? 1 : 0))
}

/** The state of one request on its way. */
class RouteCall {
  private readonly running = new Set<Attempt>()
  /** Attempts that may have run the request. */
  private readonly mayHaveRun = new Set<Attempt>()
  /** Targets that may have run the request, each with the number of sends of which it may. */
  private readonly sent = new Map<string, number>()
  /** Targets that refused it in this round. */
  private readonly refused = new Set<string>()
  private readonly timers = new DisposableStore()
  private readonly beganAt: number
  private readonly content: RequestContent
  /** What each attempt came to: target, what this host knew of it, and how it ended, for the log. */
  private readonly story: string[] = []
  private failures = 0
  private rounds = 0
  private lastFailure: RoutedAnswer | undefined
  private freshSent = false
  private settled = false
  /** Present once targets had ended under the request and this call may send it to one more. */
  private trial: GrantedTrial | undefined
  private asksForTrial = false

  constructor (private readonly services: RouteCallServices, private readonly request: RoutedRequest, private readonly resolve: (result: Result<RoutedAnswer>) => void) {
    this.beganAt = services.clock.monotonic()
    this.content = contentOf(request)
  }

  start (): void {
    const { request, services } = this
    this.timers.add(services.clock.after(this.allowedMs, () => { this.timeOut() }))
    const leave = (): void => { this.settle(failure('cancelled', 'the caller has gone')) }
    if (request.gone.aborted) return leave()
    request.gone.addEventListener('abort', leave, { once: true })
    this.timers.add({ dispose: () => { request.gone.removeEventListener('abort', leave) } })
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

  private get mayTryAnother (): boolean {
    if (this.trial !== undefined) return this.sent.size === this.trial.sentBefore
    return this.sent.size === 0 || (this.repeatable && this.sent.size < this.request.route.attempts)
  }

  private tryNext (): void {
    if (this.settled || !this.mayTryAnother) return
    if (this.trial === undefined && this.services.held.standing(this.content).type === 'held') return this.askForTrial()
    const { request } = this
    const { known, target } = this.choose()
    if (target !== undefined) return this.launch(target, !this.repeatable)
    if (this.running.size > 0) return
    // A trial is made once at each target: rounds would bring a request that ends targets to them again and again.
    if (this.trial !== undefined) return this.holdBack(RETRY_AFTER_MS)
    if (known.length === 0 && this.sent.size === 0) return this.settle(this.lastOr(failure('noTarget', `no target serves route ${request.route.name} now`, { retryAfterMs: RETRY_AFTER_MS })))
    // Where all that are left have had the request, waiting brings nothing; where none is left it may have run all the same.
    if (known.every(({ definition }) => this.sent.has(definition.id))) return this.settle(this.lastOr(failure('unknownOutcome', 'no target gave a usable answer')))
    this.nextRound()
  }

  private askForTrial (): void {
    if (this.asksForTrial) return
    this.asksForTrial = true
    const { content, request, services } = this
    services.held.admit(content, request.route, this.allowedMs - this.elapsedMs).then((admission) => {
      this.asksForTrial = false
      this.admitted(admission)
    }, (error: unknown) => { this.settle(failure('unknownOutcome', String(error))) })
  }

  private admitted (admission: Admission): void {
    if (this.settled) {
      if (admission.type === 'trial') admission.trial.withdraw()
      return
    }
    switch (admission.type) {
      case 'open': return this.tryNext()
      case 'trial':
        this.trial = { trial: admission.trial, sentBefore: this.sent.size, used: false }
        return this.tryNext()
      case 'held':
        if (this.running.size === 0) this.holdBack(admission.retryAfterMs)
    }
  }

  private holdBack (retryAfterMs: number): void {
    this.settle(this.lastOr(this.sent.size > 0 ? failure('unknownOutcome', 'targets ended while they ran it') : heldBack(retryAfterMs)))
  }

  /** The targets of the route, and the best that has not had the request. */
  private choose (): { readonly known: readonly KnownTarget[], readonly target: KnownTarget | undefined } {
    const { services, request } = this
    const service = pickDestination(request.route.destinations, services.chance.next())
    const known = service === undefined ? [] : services.targets.available(service)
    const free = known.filter((target) => !this.sent.has(target.definition.id) && !this.refused.has(target.definition.id) && (!request.background || hasBackgroundSlot(target, services.mechanisms.caller_slot)) && (this.trial === undefined || services.held.isSound(target.definition)))
    return { known, target: chooseTarget(free, preferredPlace(services), services.chance.next()) }
  }

  /** All targets refused: asks them again shortly, as long as there is time to be served. */
  private nextRound (): void {
    if (this.elapsedMs + ROUND_MS > this.allowedMs * REFUSED_SHARE) {
      return this.settle(this.lastOr(this.sent.size > 0
        ? failure('unknownOutcome', 'no target gave a usable answer')
        : failure('overloaded', 'all targets of the route are full', { retryAfterMs: RETRY_AFTER_MS })))
    }
    this.rounds++
    this.refused.clear()
    this.timers.add(this.services.clock.after(ROUND_MS, () => { this.tryNext() }))
  }

  private launch (target: KnownTarget, fresh: boolean): void {
    const { services, request } = this
    const attempt: Attempt = { target, abort: new AbortController(), beganAt: services.clock.monotonic(), known: knownOf(target), fresh, run: services.ends.begin(target, this.content, request.requestId), holdsSlot: true }
    this.running.add(attempt)
    this.mayHaveRun.add(attempt)
    this.sent.set(target.definition.id, (this.sent.get(target.definition.id) ?? 0) + 1)
    target.inFlight++
    // No answer comes from a former life, and a connection to it may stay silent: the caller would wait in vain.
    const restart = target.onRestart(() => { attempt.abort.abort() })
    services.client.exchange({
      address: target.definition.address,
      method: request.method,
      path: request.path,
      headers: request.headers({ expectedTarget: target.definition.id, remainingMs: this.allowedMs - this.elapsedMs }),
      body: request.body,
      ownConnection: fresh,
      signal: attempt.abort.signal
    }).then((result) => { this.ended(attempt, result) }, (error: unknown) => { this.ended(attempt, failure('unknownOutcome', String(error))) }).finally(() => { restart.dispose() })
    if (!this.repeatable || !services.mechanisms.second_sends) return
    const lateMs = hedgeDelayMs({ objectiveMs: request.route.objectiveMs, allowedMs: this.allowedMs, answerMs: target.answerMs, background: request.background })
    this.timers.add(services.clock.after(lateMs, () => { this.late(attempt) }))
  }

  /**
   * The target is late, or its connection went silent, and then those to other targets may have too:
   * the request goes once more over a new connection, to another target or else to the same. Without
   * this each call of a host meets the next silent connection until all of them are given up.
   */
  private late (attempt: Attempt): void {
    if (this.settled || !this.running.has(attempt)) return
    // It may be about to end its target, and a second one would end with it.
    if (this.services.held.standing(this.content).type !== 'free') return
    const busy = isSaturated(attempt.target)
    // A background call leaves its slot to its second send: else silent ones hold all that such calls may have.
    if (this.request.background && !busy) release(attempt)
    // The same target tells a silent connection from a slow target; who waits has no time to learn that.
    const other = this.mayTryAnother && (!this.request.background || this.freshSent) ? this.choose().target : undefined
    const next = other ?? (this.freshSent || busy ? undefined : attempt.target)
    if (next === undefined) return
    this.services.metrics.count('calls.second_target')
    this.freshSent = true
    this.launch(next, true)
  }

  private ended (attempt: Attempt, result: Result<TargetAnswer>): void {
    const { target, known } = attempt
    const tookMs = this.services.clock.monotonic() - attempt.beganAt
    release(attempt)
    this.running.delete(attempt)
    if (this.settled) return attempt.run.over()
    const note = (end: string): void => { this.story.push(`${target.definition.id}:${known}:${end}:${Math.round(tookMs)}ms`) }
    if (!result.ok) {
      note(result.code)
      target.failed()
      this.refused.add(target.definition.id)
      if (result.code !== 'targetUnreachable') return this.brokeOff(attempt, result.message)
      attempt.run.over()
      this.notRun(attempt)
      return this.goOn(result.message)
    }
    attempt.run.over()
    const head = this.services.protocol.answerHead(result.value.status, result.value.headers)
    if (head.load !== undefined) target.reported(head.load)
    const answer: RoutedAnswer = { answer: result.value, target: target.definition.id, failures: this.failures }
    const verdict = classifyAnswer(head, this.request.requestId)
    note(verdict)
    switch (verdict) {
      case 'answer':
        target.answered(tookMs)
        this.clear()
        return this.settle(success(answer), attempt.fresh ? 'new connection was sooner' : 'other')
      case 'target-failed':
        target.answered(tookMs)
        this.failures++
        this.lastFailure = { ...answer, failures: this.failures }
        // A failure may come before whatever ends targets: it clears nothing.
        if (this.trial !== undefined) this.trial.used = true
        return this.goOn('the target failed')
      case 'not-run':
        this.notRun(attempt)
        this.refused.add(target.definition.id)
        return this.goOn('the target refused')
      case 'unusable':
        target.failed()
        this.services.metrics.count('calls.unusable_answer')
        this.services.client.distrust(target.definition.address)
        return this.goOn('the answer was not usable')
    }
  }

  /** Waits until it is known whether the target has ended: where it has, the request may not go on like others. */
  private brokeOff (attempt: Attempt, why: string): void {
    if (this.trial !== undefined) this.trial.used = true
    const goOn = (): void => { if (!this.settled) this.goOn(why) }
    attempt.run.broke().then(goOn, goOn)
  }

  /** It was answered: whatever ended targets before, this request did not. */
  private clear (): void {
    this.services.held.answered(this.content)
    this.trial = undefined
  }

  /** One send ran nothing; another to the same target still may have. */
  private notRun (attempt: Attempt): void {
    const { id } = attempt.target.definition
    this.mayHaveRun.delete(attempt)
    const others = (this.sent.get(id) ?? 0) - 1
    if (others > 0) this.sent.set(id, others)
    else this.sent.delete(id)
  }

  private goOn (why: string): void {
    this.services.metrics.count('calls.attempt_failed')
    if (this.mayTryAnother) this.tryNext()
    else if (this.running.size === 0) this.settle(this.lastOr(failure('unknownOutcome', why)))
  }

  private timeOut (): void {
    this.settle(this.lastOr(this.sent.size === 0
      ? failure('overloaded', 'no target took the request in time', { retryAfterMs: RETRY_AFTER_MS })
      : failure('unknownOutcome', 'no target answered in time')), 'out of time')
  }

  /** A target's own failure goes before one of this host. */
  private lastOr (failed: Result<RoutedAnswer>): Result<RoutedAnswer> {
    return this.lastFailure === undefined ? failed : success(this.lastFailure)
  }

  /** Ends the call; why it ends says what its running attempts mean. */
  private settle (result: Result<RoutedAnswer>, why: 'out of time' | 'new connection was sooner' | 'other' = 'other'): void {
    if (this.settled) return
    this.settled = true
    this.timers.dispose()
    const now = this.services.clock.monotonic()
    for (const attempt of this.running) {
      this.story.push(`${attempt.target.definition.id}:${attempt.known}:ended`)
      if (this.services.mechanisms.silence_suspicion && (why === 'out of time' || now - attempt.beganAt > SILENT_MS)) unanswered(attempt)
      // Its brothers are taken for silent too. Where no new connection was sooner the target is slow: giving its connections up for each late request would only cost new ones.
      if (!attempt.fresh && why !== 'other') this.services.client.distrust(attempt.target.definition.address, now - attempt.beganAt)
      attempt.abort.abort()
      attempt.run.over()
      // The client may settle an aborted request hundreds of ms later, once its connection is given up: until then its slot would keep background calls out.
      release(attempt)
    }
    if (this.trial?.used === false) this.trial.trial.withdraw()
    this.noteUsage(now)
    this.tell(result)
    this.resolve(result)
  }

  /** A request counts once, from the first target that may have run it. */
  private noteUsage (now: number): void {
    const { workspace } = this.request
    if (workspace === undefined || this.mayHaveRun.size === 0) return
    this.services.usage?.began(workspace, now - Math.min(...[...this.mayHaveRun].map(({ beganAt }) => beganAt)))
  }

  private tell (result: Result<RoutedAnswer>): void {
    const { request, services } = this
    services.metrics.timing('calls.answer', this.elapsedMs)
    const isHeld = !result.ok && result.code === 'requestHeld'
    if (isHeld && !request.background) services.metrics.count('front.refused.requestHeld')
    if (request.background && result.ok && this.sent.size === 1) return
    services.stateLog.decided('call ended', {
      request: request.requestId ?? '',
      route: request.route.name,
      configuration: request.configuration,
      failed: !result.ok || result.value.answer.status >= SERVER_ERROR,
      outcome: result.ok ? String(result.value.answer.status) : result.code,
      why: result.ok ? '' : result.message,
      ...(isHeld ? { fingerprint: services.held.fingerprintOf(this.content) } : {}),
      target: result.ok ? result.value.target : '',
      attempts: this.story.join(' '),
      rounds: this.rounds,
      tookMs: Math.round(this.elapsedMs),
      allowedMs: Math.round(this.allowedMs)
    })
  }
}

/** Ends the counting of an attempt among those in flight. */
function release (attempt: Attempt): void {
  if (attempt.holdsSlot) attempt.target.inFlight--
  attempt.holdsSlot = false
}

/** One silence of a kept connection is no fault of its target: targets in order were asked last for seconds. */
function unanswered ({ target, fresh }: Attempt): void {
  if (fresh) target.failed()
  else target.silent()
}

function knownOf ({ inFlight, report, reportAgeMs }: KnownTarget): string {
  return report === undefined ? `${inFlight},-` : `${inFlight},${report.running}+${report.waiting}@${Math.round(reportAgeMs)}ms`
}
