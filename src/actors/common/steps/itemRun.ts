/**
 * Runs one item at one engine: opens the stream, takes its events in order, and says how it ended.
 * What has come is kept with the item, so that another run goes on after the last whole event.
 */

import { decodeBase64 } from '../../../base/common/base64.ts'
import type { WorkspaceName } from '../../../base/common/ids.ts'
import { ServerSentEventReader } from '../../../core/common/streams/eventReader.ts'
import type { ItemPayload, StepItem } from '../../../core/common/steps/step.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { TargetProtocol } from '../../../ports/common/protocols.ts'
import type { TargetClient, TargetStream } from '../../../ports/common/targetClient.ts'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { RequestContent } from '../../../ports/common/fingerprints.ts'
import type { RunAtTarget, TargetEnds } from '../routes/targetEnds.ts'
import type { Engine } from './engineBoard.ts'
import type { ItemText } from './itemText.ts'

export type RunEnd =
  | { readonly type: 'complete' }
  /** The stream broke, went silent or was not usable; it may go on elsewhere. */
  | { readonly type: 'broken', readonly why: string }
  /** It was ended here, to go on at another engine. */
  | { readonly type: 'moved' }
  /** The engine has started again: nothing more comes of this run. */
  | { readonly type: 'restarted' }
  /** The engine says that it did not run the item. */
  | { readonly type: 'refused' }
  /** The engine's own failure of the item. */
  | { readonly type: 'failed' }
  /** The item can never be done. */
  | { readonly type: 'impossible' }
  /** The engine's weights are too old for the item. */
  | { readonly type: 'too-old' }

export interface ItemRunServices {
  readonly client: TargetClient
  readonly protocol: TargetProtocol
  readonly clock: Clock
  readonly ends: TargetEnds
}

export interface ItemRunOptions {
  readonly host: string
  /** Workspace that the item belongs to; absent where trainers need no key. */
  readonly workspace: WorkspaceName | undefined
  readonly model: string
  readonly minimumVersion: number
  readonly payload: ItemPayload
  /** Longest wait for the head of the answer and for the first event, in milliseconds. */
  readonly firstEventMs: number
  /** Longest wait for another event, in milliseconds. */
  readonly silenceMs: number
  readonly cancelled: AbortSignal
  /** Called at the first event of the run. */
  readonly onBegin: () => void
}

/** The engine's own failure, and its word that the item can never be done. */
const FAILED = 500
const IMPOSSIBLE = 422
const OK = 200

/** What belongs to one run. */
interface RunContext {
  readonly services: ItemRunServices
  readonly engine: Engine
  readonly item: StepItem
  readonly text: ItemText
  readonly options: ItemRunOptions
  readonly silence: SilenceGuard
  readonly run: RunAtTarget
  /** Most events that earlier runs of the item came to. */
  readonly furthest: number
}

/** Runs an item and adds what comes to its text. */
export async function runItem (services: ItemRunServices, engine: Engine, item: StepItem, text: ItemText, options: ItemRunOptions): Promise<RunEnd> {
  const silence = new SilenceGuard(services.clock, options)
  const { target } = engine
  const restarted = new AbortController()
  const run = services.ends.begin(target, contentOfItem(options.host, options.payload), item.id)
  const restart = target.onRestart(() => { restarted.abort() })
  const signal = AbortSignal.any([options.cancelled, silence.signal, restarted.signal])
  const ended = (why: string): RunEnd => target.isOver ? { type: 'restarted' } : { type: 'broken', why }
  const brokeOff = async (why: string): Promise<RunEnd> => {
    // The next run waits until it is known whether the engine has ended under this one.
    if (!signal.aborted) await run.broke()
    return ended(why)
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
      signal
    })
    if (!answer.ok && answer.code === 'targetUnreachable') {
      run.over()
      return ended(answer.message)
    }
    if (!answer.ok) return await brokeOff(silence.signal.aborted ? 'no answer in time' : answer.message)
    const read = await readAnswer({ services, engine, item, text, options, silence, run, furthest: text.furthest }, answer.value)
    run.over()
    return read
  } catch (error) {
    return await brokeOff(silence.signal.aborted ? 'silent' : String(error))
  } finally {
    if (signal.aborted) run.over()
    silence.dispose()
    restart.dispose()
  }
}

/** What an item asks of an engine. */
export function contentOfItem (host: string, { path, body }: ItemPayload): RequestContent {
  return { host, method: 'POST', path, caller: undefined, body }
}

async function readAnswer (context: RunContext, stream: TargetStream): Promise<RunEnd> {
  const { services, engine, item, text, options } = context
  const head = services.protocol.answerHead(stream.status, stream.headers)
  const end = (ended: RunEnd): RunEnd => {
    stream.cancel()
    return ended
  }
  if (head.requestId !== undefined && head.requestId !== item.id) return end({ type: 'broken', why: 'the answer belongs to another request' })
  if (head.notRun) return end({ type: 'refused' })
  if (head.status === IMPOSSIBLE) return end({ type: 'impossible' })
  if (head.status === FAILED) return end({ type: 'failed' })
  if (head.status !== OK || head.seal === undefined) return end({ type: 'broken', why: `status ${head.status}` })
  if (head.version !== undefined) {
    engine.learnVersion({ model: options.model, version: head.version })
    if (head.version < options.minimumVersion) return end({ type: 'too-old' })
  }
  text.beginRun(head.version)
  return await readEvents(context, stream)
}

async function readEvents ({ services, engine, item, text, options, silence, run, furthest }: RunContext, stream: TargetStream): Promise<RunEnd> {
  const reader = new ServerSentEventReader()
  let firstAt: number | undefined
  let lastAt: number | undefined
  let count = 0
  for await (const piece of stream.pieces) {
    for (const { fields } of reader.push(piece)) {
      const event = services.protocol.event(fields)
      if (event === undefined || !text.add(event)) {
        stream.cancel()
        return { type: 'broken', why: 'an event is missing, doubled or not readable' }
      }
      if (event.version !== undefined) engine.learnVersion({ model: options.model, version: event.version })
      // What came further than ever before does not end each engine at the same place: a later end of this one is not the item's.
      if (text.furthest > furthest) run.over()
      const now = services.clock.monotonic()
      if (lastAt === undefined) {
        engine.notePrompt(item.group)
        options.onBegin()
      } else {
        engine.pace.recordEventInterval(now - lastAt, now)
      }
      firstAt ??= now
      lastAt = now
      count++
      silence.heard()
    }
  }
  if (firstAt !== undefined && lastAt !== undefined) engine.pace.recordRun(lastAt - firstAt, count)
  return new TextDecoder().decode(reader.rest).trim() !== '' ? { type: 'broken', why: 'the stream ended within an event' } : { type: 'complete' }
}

/** Aborts a run whose engine says nothing for too long: its connection may be silent for good, or the engine. */
class SilenceGuard implements Disposable {
  private readonly abort = new AbortController()
  private timer: Disposable

  constructor (private readonly clock: Clock, private readonly options: ItemRunOptions) {
    this.timer = clock.after(options.firstEventMs, () => { this.abort.abort() })
  }

  get signal (): AbortSignal {
    return this.abort.signal
  }

  heard (): void {
    this.timer.dispose()
    this.timer = this.clock.after(this.options.silenceMs, () => { this.abort.abort() })
  }

  dispose (): void {
    this.timer.dispose()
  }
}
