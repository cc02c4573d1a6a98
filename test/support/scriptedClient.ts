/** Targets whose answers a test writes down beforehand, on a clock that it moves. */

import { failure, success } from '../../src/base/common/resultCode.ts'
import type { Result } from '../../src/base/common/resultCode.ts'
import type { Listening, TargetAnswer, TargetClient, TargetRequest, TargetStream } from '../../src/ports/common/targetClient.ts'
import type { ManualClock } from './manualClock.ts'

/** What a target does with one request. */
export interface ScriptedAnswer {
  /** Time until the answer, in milliseconds; infinite for none. */
  readonly afterMs: number
  readonly status?: number
  readonly headers?: Record<string, string>
  readonly failure?: 'targetUnreachable' | 'unknownOutcome'
  /** Events of a stream, each with the time before it. */
  readonly events?: readonly { readonly afterMs: number, readonly raw: string | Uint8Array }[]
  /** Whether the stream ends without being whole. */
  readonly breaks?: boolean
}

export interface SentRequest extends TargetRequest {
  readonly at: number
  /** When it was cancelled. */
  cancelledAt: number | undefined
}

export class ScriptedClient implements TargetClient {
  readonly sent: SentRequest[] = []
  readonly distrusted: string[] = []

  /** @param script what each address does with its first, second ... request; the last one repeats */
  constructor (private readonly clock: ManualClock, private readonly script: Readonly<Record<string, readonly ScriptedAnswer[]>>) {}

  async exchange (request: TargetRequest): Promise<Result<TargetAnswer>> {
    const answer = await this.answer(request)
    if (!answer.ok) return answer
    return success({ status: answer.value.status ?? 200, headers: answer.value.headers ?? {}, body: new TextEncoder().encode(request.address) })
  }

  async open (request: TargetRequest): Promise<Result<TargetStream>> {
    const answer = await this.answer(request)
    if (!answer.ok) return answer
    const { status = 200, headers = {}, events = [], breaks = false } = answer.value
    const end = new AbortController()
    return success({ status, headers, pieces: this.pieces(AbortSignal.any([request.signal, end.signal]), events, breaks), cancel: () => { end.abort() } })
  }

  /** Addresses whose process has ended. */
  readonly gone = new Set<string>()

  async listens (address: string): Promise<Listening> {
    return this.gone.has(address) ? 'no' : 'yes'
  }

  distrust (address: string): void {
    this.distrusted.push(address)
  }

  private async * pieces (signal: AbortSignal, events: NonNullable<ScriptedAnswer['events']>, breaks: boolean): AsyncGenerator<Uint8Array> {
    for (const { afterMs, raw } of events) {
      await this.wait(afterMs, signal)
      if (signal.aborted) throw new Error('aborted')
      yield typeof raw === 'string' ? new TextEncoder().encode(raw) : raw
    }
    if (breaks) throw new Error('reset')
  }

  private async answer (request: TargetRequest): Promise<Result<ScriptedAnswer>> {
    const earlier = this.sent.filter(({ address }) => address === request.address).length
    const sent: SentRequest = { ...request, at: this.clock.now, cancelledAt: undefined }
    this.sent.push(sent)
    request.signal.addEventListener('abort', () => { sent.cancelledAt = this.clock.now }, { once: true })
    const answers = this.script[request.address] ?? []
    const answer = answers[Math.min(earlier, answers.length - 1)] ?? { afterMs: 0 }
    await this.wait(answer.afterMs, request.signal)
    if (request.signal.aborted) return failure('unknownOutcome', 'aborted')
    return answer.failure === undefined ? success(answer) : failure(answer.failure, answer.failure)
  }

  private async wait (milliseconds: number, signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      if (signal.aborted) return resolve()
      signal.addEventListener('abort', () => { resolve() }, { once: true })
      if (Number.isFinite(milliseconds)) this.clock.after(milliseconds, resolve)
    })
  }
}
