/**
 * Forwards the streams of a route event by event. If a stream breaks and the route allows it, the stream resumes at another
 * target after the last complete event, within the same response to the caller. Otherwise the response is aborted, so that it
 * cannot be taken for complete. A target is read only as fast as the caller reads; the stream of a caller that reads nothing
 * for too long is aborted.
 */

import type { Failure } from '../../../base/common/resultCode.ts'
import { failure } from '../../../base/common/resultCode.ts'
import { classifyAnswer } from '../../../core/common/routes/answerVerdict.ts'
import { pickDestination } from '../../../core/common/routes/routeConfiguration.ts'
import type { ServerSentEvent } from '../../../core/common/streams/eventReader.ts'
import { ServerSentEventReader, contiguousBytes, endsWithinEvent } from '../../../core/common/streams/eventReader.ts'
import type { TargetResponseHead } from '../../../ports/common/protocols.ts'
import type { ReceivedHeaders } from '../../../ports/common/targetClient.ts'
import type { RouteCallServices, RoutedRequest } from './routedRequest.ts'
import { contentOf } from './routedRequest.ts'
import type { RequestContent } from '../../../ports/common/fingerprints.ts'
import type { Admission } from './requestQuarantine.ts'
import { requestHeldFailure } from './requestQuarantine.ts'
import type { RunTracker } from './targetCrashDetector.ts'
import { chooseFrom } from './targetPlacement.ts'
import type { KnownTarget } from './targetTable.ts'

export interface StreamRequest extends RoutedRequest {
  /** Id of the last event that the caller has received. */
  readonly resumeAfter: number | undefined
}

/** Receives a stream on behalf of the caller. */
export interface StreamSink {
  writeHead (status: number, headers: ReceivedHeaders): void
  /** Accepts a chunk. If the caller does not keep up, the promise resolves once it does or has disconnected. */
  write (piece: Uint8Array): Promise<void> | undefined
  end (): void
  /** Terminates the response so that it is recognizably incomplete. */
  abort (): void
}

/** The outcome of one run at one target. */
type RunOutcome = 'whole' | 'not-run' | 'broken' | 'gone' | 'unread' | 'unsendable'

/** Limit of a stream's silence as a multiple of the route's objective; callers give up after four times the objective. */
const SILENCE_TIMEOUT_FACTOR = 3
/** Lower bound of the silence timeout; callers always wait for at least two seconds. */
const MIN_SILENCE_TIMEOUT_MS = 1500
const RETRY_AFTER_MS = 300
const STATUS_OK = 200

/** Thrown when the caller has read nothing for too long. */
class CallerNotReadingError extends Error {
  constructor (readonly waitedMs: number) {
    super('the caller does not read the stream')
  }
}

export class StreamCalls {
  /** @param maxCallerPauseMs longest time for which a caller may read nothing */
  constructor (private readonly services: RouteCallServices, private readonly maxCallerPauseMs: number) {}

  /** Serves a stream; returns a failure only if nothing has been sent to the caller yet. */
  async call (request: StreamRequest, sink: StreamSink): Promise<Failure | undefined> {
    return await new StreamCall(this.services, this.maxCallerPauseMs, request, sink).run()
  }
}

class StreamCall {
  private readonly triedTargets = new Set<string>()
  private readonly startedAt: number
  private headSent = false
  private mayHaveRun = false
  /** Whether a run was silent on a reused connection; later runs then use new connections. */
  private hadSilentConnection = false
  private last: number | undefined
  /** Whether events without an id were forwarded after the last one with an id. A run that resumes the stream would send them again. */
  private endsUnnumbered = false
  private readonly content: RequestContent
  /** Whether the target that answered reported its own failure. */
  private failed = false
  private forwardedBytes = 0
  /** How long this host has waited for the caller to read. */
  private callerPausedMs = 0
  /** The most recent decision of the request quarantine. */
  private admission: Admission = { type: 'open' }

  constructor (private readonly services: RouteCallServices, private readonly maxCallerPauseMs: number, private readonly request: StreamRequest, private readonly sink: StreamSink) {
    this.startedAt = services.clock.monotonic()
    this.last = request.resumeAfter
    this.content = contentOf(request)
  }

  async run (): Promise<Failure | undefined> {
    const { route } = this.request
    let runs = 0
    let end: RunOutcome | undefined
    while (runs < route.attempts) {
      this.admission = await this.services.held.admit(this.content, route, this.remainingMs)
      const target = this.admission.type === 'held' ? undefined : this.selectTarget()
      if (target === undefined || this.remainingMs <= 0) {
        if (this.admission.type === 'trial') this.admission.trial.withdraw()
        break
      }
      this.triedTargets.add(target.definition.id)
      target.recordSend()
      try {
        end = await this.runAtTarget(target)
      } finally {
        target.inFlight--
        this.services.queues?.released(target)
      }
      if (end !== 'not-run') runs++
      this.updateQuarantine(end)
      if (end === 'whole' || end === 'gone' || end === 'unread' || end === 'unsendable' || (end === 'broken' && (!route.resumable || this.endsUnnumbered))) break
    }
    return this.finish(end)
  }

  /** Applies the outcome of a run to the quarantine: an answer clears the request, and a run that shows nothing about it returns its trial. */
  private updateQuarantine (end: RunOutcome): void {
    if (end === 'whole' && !this.failed) this.services.held.answered(this.content)
    else if ((end === 'not-run' || end === 'gone' || end === 'unread' || end === 'unsendable') && this.admission.type === 'trial') this.admission.trial.withdraw()
  }

  private get remainingMs (): number {
    return Math.min(this.request.waitMs, this.request.route.timeoutMs) - (this.services.clock.monotonic() - this.startedAt)
  }

  /** After a silence, reused connections to the next target are likely silent by the same cause; new ones are not. */
  private get reusesConnection (): boolean {
    return this.request.route.resumable && !this.hadSilentConnection
  }

  private selectTarget (): KnownTarget | undefined {
    const { services } = this
    const { targets, chance } = services
    const service = pickDestination(this.request.route.destinations, chance.next())
    const known = service === undefined ? [] : targets.available(service)
    const free = known.filter(({ definition }) => !this.triedTargets.has(definition.id) && (this.admission.type !== 'trial' || services.held.isPresumedLive(definition)))
    return chooseFrom(services, known, free, this.reusesConnection)
  }

  private finish (end: RunOutcome | undefined): Failure | undefined {
    const { route, requestId } = this.request
    this.services.stateLog.decided('stream ended', { request: requestId ?? '', route: route.name, outcome: end ?? 'no target', targets: [...this.triedTargets].join(' '), lastEvent: this.last ?? -1, ...(this.admission.type === 'held' ? { fingerprint: this.services.held.fingerprintOf(this.content) } : {}) })
    if (end === 'whole') {
      this.sink.end()
      return undefined
    }
    if (this.headSent || end === 'gone') {
      this.sink.abort()
      return undefined
    }
    if (this.admission.type === 'held' && !this.mayHaveRun) {
      this.services.metrics.count('front.refused.requestHeld')
      return requestHeldFailure(this.admission.retryAfterMs)
    }
    if (end === 'unsendable' && !this.mayHaveRun) return failure('malformed', 'the request is no valid HTTP request for a target')
    return this.mayHaveRun
      ? failure('unknownOutcome', 'the stream broke before any event was forwarded')
      : failure('overloaded', `no target of route ${route.name} took the stream (targets tried: ${this.triedTargets.size})`, { retryAfterMs: RETRY_AFTER_MS })
  }

  private async runAtTarget (target: KnownTarget): Promise<RunOutcome> {
    const { client, clock, protocol } = this.services
    const { request } = this
    const { address } = target.definition
    const { reusesConnection } = this
    const run = this.services.ends.track(target, this.content, request.requestId)
    const silenceAbort = new AbortController()
    const silenceTimeoutMs = Math.max(MIN_SILENCE_TIMEOUT_MS, request.route.objectiveMs * SILENCE_TIMEOUT_FACTOR)
    let progressAt = clock.monotonic()
    let timer = clock.after(Math.min(silenceTimeoutMs, this.remainingMs), () => { silenceAbort.abort() })
    // A former incarnation sends no more events, and the caller would wait until the silence timeout.
    const restartListener = target.onRestart(() => { silenceAbort.abort() })
    try {
      const opened = await client.open({
        address,
        method: request.method,
        path: request.path,
        headers: request.headers({ expectedTarget: target.definition.id, remainingMs: this.remainingMs, ...(this.last === undefined ? {} : { resumeAfter: this.last }) }),
        body: request.body,
        ownConnection: !reusesConnection,
        keepsIdle: target.keepsIdle,
        signal: AbortSignal.any([request.gone, silenceAbort.signal])
      })
      if (!opened.ok && opened.code === 'malformed') {
        run.finish()
        return 'unsendable'
      }
      if (!opened.ok) return reusesConnection && silenceAbort.signal.aborted ? this.onSilentConnection(target, run, silenceTimeoutMs) : await this.onFailedRun(target, run, opened.code === 'targetUnreachable' ? 'not-run' : 'broke')
      const { status, headers, pieces: chunks, cancel } = opened.value
      const head = protocol.responseHead(status, headers)
      target.recordHead(head)
      const verdict = classifyAnswer(head, request.requestId)
      if (verdict === 'not-run' || verdict === 'unusable' || (this.headSent && verdict !== 'answer')) {
        cancel()
        return await this.onFailedRun(target, run, verdict === 'not-run' ? 'not-run' : 'bad-answer')
      }
      this.failed = verdict === 'target-failed'
      if (!this.headSent) {
        this.sink.writeHead(status, headers)
        if (request.workspace !== undefined) this.services.usage?.recordStart(request.workspace, 0)
      }
      this.headSent = true
      const reader = new ServerSentEventReader()
      for await (const piece of chunks) {
        const events = reader.push(piece)
        // A target that sends bytes without completing an event is as silent for the caller as one that sends nothing.
        if (events.length === 0) continue
        timer.dispose()
        const { callerPausedMs } = this
        await this.forwardEvents(events)
        progressAt = events.some(({ fields }) => fields.size > 0) ? clock.monotonic() : progressAt + this.callerPausedMs - callerPausedMs
        timer = clock.after(Math.max(0, progressAt + silenceTimeoutMs - clock.monotonic()), () => { silenceAbort.abort() })
      }
      if (this.isCut(head, reader.rest)) return await this.onFailedRun(target, run, 'broke')
      run.finish()
      target.recordAnswerTime(clock.monotonic() - this.startedAt - this.callerPausedMs, head.load)
      if (reader.rest.length > 0) await this.write(reader.rest)
      return 'whole'
    } catch (error) {
      if (error instanceof CallerNotReadingError) return this.onCallerNotReading(target, run, error.waitedMs)
      return reusesConnection && silenceAbort.signal.aborted ? this.onSilentConnection(target, run, silenceTimeoutMs) : await this.onFailedRun(target, run, 'broke')
    } finally {
      timer.dispose()
      restartListener.dispose()
    }
  }

  /**
   * Whether a body that ended in order is not the whole stream. Its head tells whether it is a stream: it may have been cut
   * before the first event was complete. Bodies of other types are forwarded unchanged.
   */
  private isCut ({ status, isEventStream, hasLength }: TargetResponseHead, rest: Uint8Array): boolean {
    const hasNumberedEvents = this.last !== this.request.resumeAfter
    if (!hasNumberedEvents && (status !== STATUS_OK || !isEventStream)) return false
    return endsWithinEvent(rest) || (!hasLength && this.last === undefined && this.forwardedBytes === 0)
  }

  /** Forwards events up to the first one that does not follow its predecessor. */
  private async forwardEvents (events: readonly ServerSentEvent[]): Promise<void> {
    const missing = events.findIndex((event) => !this.isNextEvent(event))
    const passed = missing < 0 ? events : events.slice(0, missing)
    if (passed.length > 0) await this.write(contiguousBytes(passed))
    if (missing >= 0) throw new Error('an event is missing or duplicated')
  }

  private isNextEvent ({ fields }: ServerSentEvent): boolean {
    const id = this.services.protocol.event(fields)?.id
    if (id === undefined) {
      this.endsUnnumbered ||= fields.has('data')
      return true
    }
    if (this.last !== undefined && id !== this.last + 1) return false
    this.last = id
    this.endsUnnumbered = false
    return true
  }

  private async write (piece: Uint8Array): Promise<void> {
    this.forwardedBytes += piece.length
    const drained = this.sink.write(piece)
    if (drained !== undefined) await this.waitForCaller(drained)
  }

  /** Waits until the caller reads on. Nothing is read from the target meanwhile, so its silence is not counted. */
  private async waitForCaller (drained: Promise<void>): Promise<void> {
    const { clock } = this.services
    const startedAt = clock.monotonic()
    const resumed = await new Promise<boolean>((resolve, reject) => {
      const bound = clock.after(this.maxCallerPauseMs, () => { resolve(false) })
      drained.finally(() => { bound.dispose() }).then(() => { resolve(true) }, reject)
    })
    const waitedMs = clock.monotonic() - startedAt
    this.callerPausedMs += waitedMs
    if (!resumed) throw new CallerNotReadingError(waitedMs)
  }

  private onCallerNotReading ({ definition }: KnownTarget, run: RunTracker, waitedMs: number): RunOutcome {
    run.finish()
    this.services.stateLog.decided('stream given up', { request: this.request.requestId ?? '', target: definition.id, failed: true, bytes: this.forwardedBytes, waitedMs: Math.round(waitedMs) })
    return 'unread'
  }

  /** Handles a reused connection that has been silent for too long. */
  private onSilentConnection (target: KnownTarget, run: RunTracker, silentMs: number): RunOutcome {
    run.finish()
    if (this.request.gone.aborted) return 'gone'
    this.services.client.retireConnections(target.definition.address, silentMs)
    target.recordSilence()
    this.hadSilentConnection = true
    this.mayHaveRun = true
    return 'broken'
  }

  private async onFailedRun (target: KnownTarget, run: RunTracker, how: 'not-run' | 'bad-answer' | 'broke'): Promise<RunOutcome> {
    // The next run must wait until it is known whether the target crashed during this one.
    if (how === 'broke' && !this.request.gone.aborted) await run.connectionBroke()
    else run.finish()
    if (this.request.gone.aborted) return 'gone'
    if (how === 'not-run') return 'not-run'
    target.recordFailure()
    this.mayHaveRun = true
    return 'broken'
  }
}
