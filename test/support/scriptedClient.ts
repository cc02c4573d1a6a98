/** A target client whose answers are scripted by the test, on a clock that the test advances. */

import { failure, success } from '../../src/base/common/resultCode.ts'
import type { Result } from '../../src/base/common/resultCode.ts'
import type { Listening, TargetResponse, TargetClient, TargetRequest, TargetStream } from '../../src/ports/common/targetClient.ts'
import type { ManualClock } from './manualClock.ts'

/** Scripted reaction of a target to one request. */
export interface ScriptedAnswer {
  /** Time until the answer, in milliseconds. `Infinity` means that no answer comes. */
  readonly afterMs: number
  readonly status?: number
  readonly headers?: Record<string, string>
  readonly failure?: 'targetUnreachable' | 'unknownOutcome' | 'malformed'
  /** Events of a stream, each with the delay before it. */
  readonly events?: readonly { readonly afterMs: number, readonly raw: string | Uint8Array }[]
  /** Whether the stream fails after the last event. */
  readonly isBroken?: boolean
}

export interface SentRequest extends TargetRequest {
  readonly at: number
  /** Time at which the request was cancelled. */
  cancelledAt: number | undefined
}

export class ScriptedClient implements TargetClient {
  readonly sent: SentRequest[] = []
  readonly distrusted: string[] = []

  /** @param answersByAddress answers of each address to its successive requests; the last one repeats */
  constructor (private readonly clock: ManualClock, private readonly answersByAddress: Readonly<Record<string, readonly ScriptedAnswer[]>>) {}

  async exchange (request: TargetRequest): Promise<Result<TargetResponse>> {
    const answer = await this.nextAnswer(request)
    if (!answer.ok) return answer
    return success({ status: answer.value.status ?? 200, headers: answer.value.headers ?? {}, body: new TextEncoder().encode(request.address) })
  }

  async open (request: TargetRequest): Promise<Result<TargetStream>> {
    const answer = await this.nextAnswer(request)
    if (!answer.ok) return answer
    const { status = 200, headers = {}, events = [], isBroken: breaks = false } = answer.value
    const end = new AbortController()
    return success({ status, headers, pieces: this.streamEvents(AbortSignal.any([request.signal, end.signal]), events, breaks), cancel: () => { end.abort() } })
  }

  /** Addresses at which nothing listens any more, because the process has exited. */
  readonly closedAddresses = new Set<string>()

  async listens (address: string): Promise<Listening> {
    return this.closedAddresses.has(address) ? 'no' : 'yes'
  }

  retireConnections (address: string): void {
    this.distrusted.push(address)
  }

  private async * streamEvents (signal: AbortSignal, events: NonNullable<ScriptedAnswer['events']>, breaks: boolean): AsyncGenerator<Uint8Array> {
    for (const { afterMs, raw } of events) {
      await this.delay(afterMs, signal)
      if (signal.aborted) throw new Error('aborted')
      yield typeof raw === 'string' ? new TextEncoder().encode(raw) : raw
    }
    if (breaks) throw new Error('reset')
  }

  private async nextAnswer (request: TargetRequest): Promise<Result<ScriptedAnswer>> {
    const requestIndex = this.sent.filter(({ address }) => address === request.address).length
    const sent: SentRequest = { ...request, at: this.clock.now, cancelledAt: undefined }
    this.sent.push(sent)
    request.signal.addEventListener('abort', () => { sent.cancelledAt = this.clock.now }, { once: true })
    const answers = this.answersByAddress[request.address] ?? []
    const answer = answers[Math.min(requestIndex, answers.length - 1)] ?? { afterMs: 0 }
    await this.delay(answer.afterMs, request.signal)
    if (request.signal.aborted) return failure('unknownOutcome', 'aborted')
    return answer.failure === undefined ? success(answer) : failure(answer.failure, answer.failure)
  }

  private async delay (milliseconds: number, signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      if (signal.aborted) return resolve()
      signal.addEventListener('abort', () => { resolve() }, { once: true })
      if (Number.isFinite(milliseconds)) this.clock.after(milliseconds, resolve)
    })
  }
}
