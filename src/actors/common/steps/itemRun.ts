/**
 * Runs one item on one engine: opens the stream, collects its events in order and reports how the run ended.
 * The collected events stay with the item, so that another run can resume after the last complete event.
 */

import { decodeBase64 } from '../../../base/common/base64.ts'
import type { WorkspaceName } from '../../../base/common/ids.ts'
import { ServerSentEventReader, endsWithinEvent } from '../../../core/common/streams/eventReader.ts'
import type { ItemPayload, StepItem } from '../../../core/common/steps/step.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { TargetProtocol } from '../../../ports/common/protocols.ts'
import type { TargetClient, TargetStream } from '../../../ports/common/targetClient.ts'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import { isFinalStatus } from '../../../base/common/httpStatus.ts'
import type { ItemRunEnd } from '../../../core/common/steps/itemBackoff.ts'
import type { TargetCrashDetector } from '../routes/targetCrashDetector.ts'
import type { Engine } from './engineRegistry.ts'
import type { ItemText } from './itemText.ts'

export type RunOutcome =
  | { readonly type: 'complete' }
  /** The stream broke, timed out or was invalid; the item can resume on another engine. `crashed` tells whether the engine's process ended. */
  | { readonly type: 'broken', readonly why: string, readonly crashed: boolean }
  /** The run was stopped by this host in order to continue on another engine. */
  | { readonly type: 'moved' }
  /** The engine was restarted, so that this run produces no more events. */
  | { readonly type: 'restarted' }
  /** The engine reported that it did not run the item. */
  | { readonly type: 'refused' }
  /** The engine's answer is that the item's request is not valid. */
  | { readonly type: 'rejected', readonly why: string }
  /** The item's request is no valid HTTP request, so that it was not sent. */
  | { readonly type: 'unsendable', readonly why: string }
  /** The engine reported a failure of its own. */
  | { readonly type: 'failed' }
  /** The engine reported that the item can never be completed. */
  | { readonly type: 'impossible' }
  /** The engine's weights are too old for the item. */
  | { readonly type: 'too-old' }

export interface ItemRunServices {
  readonly client: TargetClient
  readonly protocol: TargetProtocol
  readonly clock: Clock
  readonly ends: TargetCrashDetector
}

export interface ItemRunOptions {
  readonly host: string
  /** Workspace that the item belongs to; `undefined` if trainers need no key. */
  readonly workspace: WorkspaceName | undefined
  readonly model: string
  readonly minimumVersion: number
  readonly payload: ItemPayload
  /** Time limit for the response head and the first event, in milliseconds. */
  readonly firstEventTimeoutMs: number
  /** Time limit between two events, in milliseconds. */
  readonly silenceTimeoutMs: number
  readonly cancelled: AbortSignal
  readonly onFirstEvent: () => void
}

/** HTTP status codes of engine responses. */
const STATUS_ENGINE_FAILED = 500
const STATUS_IMPOSSIBLE = 422
const STATUS_OK = 200
const CLIENT_ERROR_STATUS = 400
const SERVER_ERROR_STATUS = 500

/**
 * Time after the first event in which further events count as read together with it. They waited for this host, so
 * the time the engine took for them is not known.
 */
const MAX_FIRST_READING_MS = 2

/** State of one run. */
interface RunContext {
  readonly services: ItemRunServices
  readonly engine: Engine
  readonly item: StepItem
  readonly text: ItemText
  readonly options: ItemRunOptions
  readonly silence: SilenceTimeout
}

/**
 * Runs an item and appends the received events to its text. The run counts as running at the engine until it has ended. It
 * never rejects: an unexpected error ends it as `broken`, so that no error can keep the item or a slot of the engine.
 */
export async function runItem (services: ItemRunServices, engine: Engine, item: StepItem, text: ItemText, options: ItemRunOptions): Promise<RunOutcome> {
  engine.running++
  try {
    return await runAtEngine(services, engine, item, text, options)
  } catch (error) {
    return { type: 'broken', why: `internal error: ${String(error)}`, crashed: false }
  } finally {
    engine.running--
  }
}

async function runAtEngine (services: ItemRunServices, engine: Engine, item: StepItem, text: ItemText, options: ItemRunOptions): Promise<RunOutcome> {
  const silence = new SilenceTimeout(services.clock, options)
  const { target } = engine
  const restarted = new AbortController()
  const run = services.ends.track(target, undefined, item.id)
  const restartListener = target.onRestart(() => { restarted.abort() })
  const signal = AbortSignal.any([options.cancelled, silence.signal, restarted.signal])
  const interruptedEnd = (why: string, crashed: boolean): RunOutcome => target.isSuperseded ? { type: 'restarted' } : { type: 'broken', why, crashed }
  const endBroken = async (why: string): Promise<RunOutcome> => {
    // The next run waits until it is known whether the engine terminated during this one.
    const crashed = !signal.aborted && await run.connectionBroke()
    return interruptedEnd(why, crashed)
  }
  try {
    const { address, id } = target.definition
    const answer = await services.client.open({
      address,
      method: 'POST',
      path: options.payload.path,
      headers: services.protocol.itemHeaders(options.host, item.id, options.payload, { expectedTarget: id, ...(text.last === undefined ? {} : { resumeAfter: text.last }) }, options.workspace),
      body: decodeBase64(options.payload.body),
      ownConnection: false,
      keepsIdle: target.keepsIdle,
      signal
    })
    if (!answer.ok && answer.code === 'malformed') {
      run.finish()
      return { type: 'unsendable', why: answer.message }
    }
    if (!answer.ok && answer.code === 'targetUnreachable') {
      run.finish()
      return interruptedEnd(answer.message, false)
    }
    if (!answer.ok) return await endBroken(silence.signal.aborted ? `no response within ${options.firstEventTimeoutMs} ms` : answer.message)
    const outcome = await readResponse({ services, engine, item, text, options, silence }, answer.value)
    run.finish()
    return outcome
  } catch (error) {
    return await endBroken(silence.signal.aborted ? 'silent' : String(error))
  } finally {
    if (signal.aborted) run.finish()
    silence.dispose()
    restartListener.dispose()
  }
}

async function readResponse (context: RunContext, stream: TargetStream): Promise<RunOutcome> {
  const { services, engine, item, text, options } = context
  const head = services.protocol.responseHead(stream.status, stream.headers)
  const endRun = (ended: RunOutcome): RunOutcome => {
    stream.cancel()
    return ended
  }
  if (head.requestId !== undefined && head.requestId !== item.id) return endRun({ type: 'broken', why: `the response belongs to request ${head.requestId}`, crashed: false })
  if (!isFinalStatus(head.status)) return endRun({ type: 'broken', why: `status ${head.status}`, crashed: false })
  engine.recordHead(head)
  if (head.notRun) return endRun({ type: 'refused' })
  if (head.status === STATUS_IMPOSSIBLE) return endRun({ type: 'impossible' })
  if (head.status === STATUS_ENGINE_FAILED) return endRun({ type: 'failed' })
  if (head.requestId !== undefined && head.status >= CLIENT_ERROR_STATUS && head.status < SERVER_ERROR_STATUS) return endRun({ type: 'rejected', why: `status ${head.status}` })
  if (head.status !== STATUS_OK || head.seal === undefined) return endRun({ type: 'broken', why: `status ${head.status}`, crashed: false })
  if (head.version !== undefined) {
    engine.recordVersion({ model: options.model, version: head.version })
    if (head.version < options.minimumVersion) return endRun({ type: 'too-old' })
  }
  text.beginRun(head.version)
  const isFirstRun = text.last === undefined
  const outcome = await readEvents(context, stream)
  const isEmpty = isFirstRun && text.last === undefined
  return outcome.type === 'complete' && isEmpty && !head.hasLength ? { type: 'broken', why: 'the stream has no event and no length', crashed: false } : outcome
}

async function readEvents ({ services, engine, item, text, options, silence }: RunContext, stream: TargetStream): Promise<RunOutcome> {
  const reader = new ServerSentEventReader()
  let firstAt: number | undefined
  let lastAt: number | undefined
  let timedEvents = 0
  for await (const piece of stream.pieces) {
    for (const { fields } of reader.push(piece)) {
      const event = services.protocol.event(fields)
      if (event === undefined || !text.add(event)) {
        stream.cancel()
        return { type: 'broken', why: 'an event is missing, duplicated or malformed', crashed: false }
      }
      if (event.version !== undefined) engine.recordVersion({ model: options.model, version: event.version })
      const now = services.clock.monotonic()
      if (firstAt === undefined) {
        engine.recordPrompt(item.group)
        options.onFirstEvent()
      }
      firstAt ??= now
      if (lastAt !== undefined && now - firstAt >= MAX_FIRST_READING_MS) {
        engine.pace.recordEventInterval(now - lastAt, now)
        timedEvents++
      }
      lastAt = now
      silence.restart()
    }
  }
  if (firstAt !== undefined && lastAt !== undefined) engine.pace.recordRun(lastAt - firstAt, timedEvents + 1)
  return endsWithinEvent(reader.rest) ? { type: 'broken', why: 'the stream ended in the middle of an event', crashed: false } : { type: 'complete' }
}

/** Aborts a run that receives no event for too long because its connection or its engine hangs. */
class SilenceTimeout implements Disposable {
  private readonly controller = new AbortController()
  private timer: Disposable

  constructor (private readonly clock: Clock, private readonly options: ItemRunOptions) {
    this.timer = clock.after(options.firstEventTimeoutMs, () => { this.controller.abort() })
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  restart (): void {
    this.timer.dispose()
    this.timer = this.clock.after(this.options.silenceTimeoutMs, () => { this.controller.abort() })
  }

  dispose (): void {
    this.timer.dispose()
  }
}

/** Returns what the end of a run at an engine says about the item. */
export function itemRunEnd (end: RunOutcome, engine: Engine, progressed: boolean): ItemRunEnd {
  const isRefused = end.type === 'refused' || end.type === 'rejected'
  return { crashed: hasEngineCrashed(end), isUnsendable: end.type === 'unsendable', refusedBy: isRefused ? engine.id : undefined, progressed }
}

/** Returns whether the engine ended during a run. */
function hasEngineCrashed (end: RunOutcome): boolean {
  switch (end.type) {
    case 'broken': return end.crashed
    case 'restarted': return true
    case 'complete':
    case 'moved':
    case 'refused':
    case 'rejected':
    case 'unsendable':
    case 'failed':
    case 'impossible':
    case 'too-old': return false
  }
}
