/**
 * Streams of a route: passed on event by event as they come. A stream that breaks goes on at another
 * target after the last whole event, where the route allows it, within the one answer that the
 * caller has; else it is cut off, so that it cannot be taken for whole. A target is read as fast as the caller reads; a caller
 * that reads nothing for too long is given up.
 */

import type { Failure } from '../../../base/common/resultCode.ts'
import { failure } from '../../../base/common/resultCode.ts'
import { classifyAnswer } from '../../../core/common/routes/answerVerdict.ts'
import { pickDestination } from '../../../core/common/routes/routeConfiguration.ts'
import { chooseTarget } from '../../../core/common/routes/targetChoice.ts'
import type { ServerSentEvent } from '../../../core/common/streams/eventReader.ts'
import { ServerSentEventReader, contiguousBytes } from '../../../core/common/streams/eventReader.ts'
import type { ReceivedHeaders } from '../../../ports/common/targetClient.ts'
import type { RouteCallServices, RoutedRequest } from './routedRequest.ts'
import { contentOf, preferredPlace } from './routedRequest.ts'
import type { RequestContent } from '../../../ports/common/fingerprints.ts'
import type { Admission } from './heldRequests.ts'
import { heldBack } from './heldRequests.ts'
import type { RunAtTarget } from './targetEnds.ts'
import type { KnownTarget } from './targetTable.ts'

export interface StreamRequest extends RoutedRequest {
  /** Number of the last event that the caller has already. */
  readonly resumeAfter: number | undefined
}

/** Where a stream goes. */
export interface StreamSink {
  head (status: number, headers: ReceivedHeaders): void
  /** Takes a piece; where the caller does not keep up, the result comes once it does, or has gone. */
  write (piece: Uint8Array): Promise<void> | undefined
  end (): void
  /** Ends the answer so that it is seen to be incomplete. */
  cut (): void
}

/** How one run at one target ended. */
type RunEnd = 'whole' | 'not-run' | 'broken' | 'gone' | 'unread'

/** Longest silence of a stream, in relation to the route's objective; callers give up after four times it. */
const SILENCE_SHARE = 3
/** Shortest bound of silence, in milliseconds: callers wait two seconds in any case. */
const LEAST_SILENCE_MS = 1500
const RETRY_AFTER_MS = 300

/** The caller has read nothing for too long. */
class UnreadStream extends Error {
  constructor (readonly waitedMs: number) {
    super('the caller reads nothing')
  }
}

export class StreamCalls {
  /** @param callerPauseMs longest time for which a caller may read nothing */
  constructor (private readonly services: RouteCallServices, private readonly callerPauseMs: number) {}

  /** Serves a stream; the result is a failure that nothing has been sent for yet. */
  async call (request: StreamRequest, sink: StreamSink): Promise<Failure | undefined> {
    return await new StreamCall(this.services, this.callerPauseMs, request, sink).run()
  }
}

class StreamCall {
  private readonly tried = new Set<string>()
  private readonly began: number
  private headSent = false
  private mayHaveRun = false
  /** Whether a run was silent on a kept connection: the next ones go over new connections. */
  private wentSilent = false
  private last: number | undefined
  private readonly content: RequestContent
  /** Whether the target that answered said that it failed. */
  private failed = false
  private passedBytes = 0
  /** How long this host waited for the caller to read, in milliseconds. */
  private unreadMs = 0
  /** What the request was last told by those that hold back what ends targets. */
  private admission: Admission = { type: 'open' }

  constructor (private readonly services: RouteCallServices, private readonly callerPauseMs: number, private readonly request: StreamRequest, private readonly sink: StreamSink) {
    this.began = services.clock.monotonic()
    this.last = request.resumeAfter
    this.content = contentOf(request)
  }

  async run (): Promise<Failure | undefined> {
    const { route } = this.request
    let runs = 0
    let end: RunEnd | undefined
    while (runs < route.attempts) {
      this.admission = await this.services.held.admit(this.content, route, this.remainingMs)
      const target = this.admission.type === 'held' ? undefined : this.choose()
      if (target === undefined || this.remainingMs <= 0) {
        if (this.admission.type === 'trial') this.admission.trial.withdraw()
        break
      }
      this.tried.add(target.definition.id)
      target.inFlight++
      end = await this.runAt(target)
      target.inFlight--
      if (end !== 'not-run') runs++
      this.noteRun(end)
      if (end === 'whole' || end === 'gone' || end === 'unread' || (end === 'broken' && !route.resumable)) break
    }
    return this.close(end)
  }

  /** What the run says of the request: an answer clears it, and one that ran to no end of its target is no trial. */
  private noteRun (end: RunEnd): void {
    if (end === 'whole' && !this.failed) this.services.held.answered(this.content)
    else if ((end === 'not-run' || end === 'gone' || end === 'unread') && this.admission.type === 'trial') this.admission.trial.withdraw()
  }

  private get remainingMs (): number {
    return Math.min(this.request.waitMs, this.request.route.timeoutMs) - (this.services.clock.monotonic() - this.began)
  }

  private choose (): KnownTarget | undefined {
    const { targets, chance } = this.services
    const service = pickDestination(this.request.route.destinations, chance.next())
    const known = service === undefined ? [] : targets.available(service)
    return chooseTarget(known.filter(({ definition }) => !this.tried.has(definition.id) && (this.admission.type !== 'trial' || this.services.held.isSound(definition))), preferredPlace(this.services), chance.next())
  }

  private close (end: RunEnd | undefined): Failure | undefined {
    const { route, requestId } = this.request
    this.services.stateLog.decided('stream ended', { request: requestId ?? '', route: route.name, outcome: end ?? 'no target', targets: [...this.tried].join(' '), lastEvent: this.last ?? -1, ...(this.admission.type === 'held' ? { fingerprint: this.services.held.fingerprintOf(this.content) } : {}) })
    if (end === 'whole') {
      this.sink.end()
      return undefined
    }
    if (this.headSent || end === 'gone') {
      this.sink.cut()
      return undefined
    }
    if (this.admission.type === 'held' && !this.mayHaveRun) {
      this.services.metrics.count('front.refused.requestHeld')
      return heldBack(this.admission.retryAfterMs)
    }
    return this.mayHaveRun
      ? failure('unknownOutcome', 'the stream broke before its first event')
      : failure('overloaded', `no target of route ${route.name} took the stream`, { retryAfterMs: RETRY_AFTER_MS })
  }

  private async runAt (target: KnownTarget): Promise<RunEnd> {
    const { client, clock, protocol } = this.services
    const { request } = this
    const { address } = target.definition
    // After a silence connections to the next target are silent by the same cause; new ones are not.
    const kept = request.route.resumable && !this.wentSilent
    const run = this.services.ends.begin(target, this.content, request.requestId)
    const silence = new AbortController()
    const silenceMs = Math.max(LEAST_SILENCE_MS, request.route.objectiveMs * SILENCE_SHARE)
    let timer = clock.after(Math.min(silenceMs, this.remainingMs), () => { silence.abort() })
    // No event comes from a former life: the caller would wait until the bound of silence.
    const restart = target.onRestart(() => { silence.abort() })
    try {
      const opened = await client.open({
        address,
        method: request.method,
        path: request.path,
        headers: request.headers({ expectedTarget: target.definition.id, remainingMs: this.remainingMs, ...(this.last === undefined ? {} : { resumeAfter: this.last }) }),
        body: request.body,
        ownConnection: !kept,
        signal: AbortSignal.any([request.gone, silence.signal])
      })
      if (!opened.ok) return kept && silence.signal.aborted ? this.silentRun(target, run, silenceMs) : await this.failedRun(target, run, opened.code === 'targetUnreachable' ? 'not-run' : 'broke')
      const { status, headers, pieces, cancel } = opened.value
      const head = protocol.answerHead(status, headers)
      if (head.load !== undefined) target.reported(head.load)
      const verdict = classifyAnswer(head, request.requestId)
      if (verdict === 'not-run' || verdict === 'unusable' || (this.headSent && verdict !== 'answer')) {
        cancel()
        return await this.failedRun(target, run, verdict === 'not-run' ? 'not-run' : 'bad-answer')
      }
      this.failed = verdict === 'target-failed'
      if (!this.headSent) {
        this.sink.head(status, headers)
        if (request.workspace !== undefined) this.services.usage?.began(request.workspace, 0)
      }
      this.headSent = true
      const reader = new ServerSentEventReader()
      for await (const piece of pieces) {
        timer.dispose()
        await this.pass(reader.push(piece))
        timer = clock.after(silenceMs, () => { silence.abort() })
      }
      run.over()
      target.answered(clock.monotonic() - this.began - this.unreadMs)
      if (reader.rest.length === 0) return 'whole'
      // What is not a stream of events is passed on as it stands.
      if (this.last === request.resumeAfter) {
        await this.write(reader.rest)
        return 'whole'
      }
      return 'broken'
    } catch (error) {
      if (error instanceof UnreadStream) return this.giveUp(target, run, error.waitedMs)
      return kept && silence.signal.aborted ? this.silentRun(target, run, silenceMs) : await this.failedRun(target, run, 'broke')
    } finally {
      timer.dispose()
      restart.dispose()
    }
  }

  /** Passes on events, up to the first that does not follow the one before. */
  private async pass (events: readonly ServerSentEvent[]): Promise<void> {
    const missing = events.findIndex((event) => !this.follows(event))
    const passed = missing < 0 ? events : events.slice(0, missing)
    if (passed.length > 0) await this.write(contiguousBytes(passed))
    if (missing >= 0) throw new Error('an event is missing or doubled')
  }

  private follows ({ fields }: ServerSentEvent): boolean {
    const id = this.services.protocol.event(fields)?.id
    if (id === undefined) return true
    if (this.last !== undefined && id !== this.last + 1) return false
    this.last = id
    return true
  }

  private async write (piece: Uint8Array): Promise<void> {
    this.passedBytes += piece.length
    const reading = this.sink.write(piece)
    if (reading !== undefined) await this.hold(reading)
  }

  /** Waits until the caller reads on. Nothing is read from the target meanwhile, so its silence means nothing. */
  private async hold (reading: Promise<void>): Promise<void> {
    const { clock } = this.services
    const began = clock.monotonic()
    const readOn = await new Promise<boolean>((resolve, reject) => {
      const bound = clock.after(this.callerPauseMs, () => { resolve(false) })
      reading.finally(() => { bound.dispose() }).then(() => { resolve(true) }, reject)
    })
    const waitedMs = clock.monotonic() - began
    this.unreadMs += waitedMs
    if (!readOn) throw new UnreadStream(waitedMs)
  }

  private giveUp ({ definition }: KnownTarget, run: RunAtTarget, waitedMs: number): RunEnd {
    run.over()
    this.services.stateLog.decided('stream given up', { request: this.request.requestId ?? '', target: definition.id, failed: true, bytes: this.passedBytes, waitedMs: Math.round(waitedMs) })
    return 'unread'
  }

  /** A kept connection said nothing for too long. */
  private silentRun (target: KnownTarget, run: RunAtTarget, silentMs: number): RunEnd {
    run.over()
    if (this.request.gone.aborted) return 'gone'
    this.services.client.distrust(target.definition.address, silentMs)
    target.silent()
    this.wentSilent = true
    this.mayHaveRun = true
    return 'broken'
  }

  private async failedRun (target: KnownTarget, run: RunAtTarget, how: 'not-run' | 'bad-answer' | 'broke'): Promise<RunEnd> {
    // The next run waits until it is known whether the target has ended under this one.
    if (how === 'broke' && !this.request.gone.aborted) await run.broke()
    else run.over()
    if (this.request.gone.aborted) return 'gone'
    if (how === 'not-run') return 'not-run'
    target.failed()
    this.mayHaveRun = true
    return 'broken'
  }
}
