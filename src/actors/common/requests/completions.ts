/**
 * Runs completions for callers. Completions are idempotent, so a stream that breaks resumes at another
 * target after the last received token, and the caller sees one complete answer. An answer that cannot
 * be completed ends with a failure and is never presented as complete.
 */

import type { TargetName } from '../../../base/common/ids.ts'
import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { Segment } from '../../../core/common/fold/records.ts'
import type { RetryBudget } from '../../../core/common/requests/retryBudget.ts'
import { mayRetry } from '../../../core/common/requests/retryPolicy.ts'
import { RolloutProgress } from '../../../core/common/samples/rollout.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { CompletionPart, CompletionStream, Engine } from '../../../ports/common/targets.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { GrantClient, HeldGrant } from '../routing/grantClient.ts'
import type { LaneRequest } from './interactiveGrantRequest.ts'
import { interactiveGrantRequest } from './interactiveGrantRequest.ts'

/** A caller's completion. */
export interface CompletionCall extends LaneRequest {
  readonly prompt: string
  readonly maximumTokens: number
  /** Hash of the prompt's prefix. */
  readonly prefix: string
}

/** The result of a complete completion. */
export interface CompletionSummary {
  readonly text: string
  readonly tokens: number
  readonly segments: readonly Segment[]
  readonly attempts: number
}

/** Receives the parts of a stream; returns a promise while the caller is not keeping up. */
export type PartSink = (part: CompletionPart) => Promise<void> | undefined

export interface CompletionServices {
  readonly grants: Pick<GrantClient, 'acquire'>
  readonly engine: Engine
  readonly fold: Pick<FoldView, 'fresh'>
  readonly budget: RetryBudget
  readonly clock: Clock
  readonly metrics: Metrics
}

export class Completions {
  constructor (private readonly services: CompletionServices) {}

  /** Runs a completion, with retries, and passes parts to the sink as they arrive. */
  async run (call: CompletionCall, sink: PartSink): Promise<Result<CompletionSummary>> {
    const progress = new RolloutProgress()
    const exclude: TargetName[] = []
    for (let attempts = 1; ; attempts++) {
      const outcome = await this.attempt(call, progress, exclude, sink)
      if (outcome.ok) {
        this.services.budget.recordSuccess()
        return success({ text: progress.text, tokens: progress.tokens, segments: progress.segments, attempts })
      }
      if (call.signal.aborted) return failure('cancelled', 'the caller disconnected or cancelled the request')
      const remainingMs = call.deadline - this.services.clock.monotonic()
      const willRetry = mayRetry({ reason: outcome, idempotent: true, attempts, remainingMs }) && this.services.budget.tryAcquire()
      if (!willRetry) return progress.tokens > 0 ? asUnknownOutcome(outcome) : outcome
      this.services.metrics.count('requests.retried')
    }
  }

  private async attempt (call: CompletionCall, progress: RolloutProgress, exclude: TargetName[], sink: PartSink): Promise<Result<void>> {
    const grant = await this.services.grants.acquire(interactiveGrantRequest(call, exclude, call.prefix))
    if (!grant.ok) return grant
    try {
      const usable = this.checkGrant(grant.value)
      if (!usable.ok) return usable
      const outcome = await this.stream(call, grant.value, progress, sink)
      if (!outcome.ok) exclude.push(grant.value.target)
      return outcome
    } finally {
      grant.value.release()
    }
  }

  /** Checks that a grant is still usable: while this host was frozen, the target may have drained or the slot may have been granted to another request. */
  private checkGrant (grant: HeldGrant): Result<void> {
    if (!this.services.fold.fresh) return failure('stale', 'this host may be behind the control log', { retryAfterMs: 1000 })
    if (this.services.clock.monotonic() <= grant.useBefore) return success(undefined)
    return failure('targetUnreachable', 'the granted slot was not used in time')
  }

  private async stream (call: CompletionCall, grant: HeldGrant, progress: RolloutProgress, sink: PartSink): Promise<Result<void>> {
    const started = await this.services.engine.complete(grant.address, {
      requestId: call.id,
      prompt: call.prompt,
      maximumTokens: call.maximumTokens,
      priority: call.priority,
      ...(progress.tokens === 0 ? {} : { resume: { text: progress.text, tokens: progress.tokens } })
    })
    if (!started.ok) return started
    return await this.forwardParts(call, started.value, progress, sink)
  }

  private async forwardParts (call: CompletionCall, stream: CompletionStream, progress: RolloutProgress, sink: PartSink): Promise<Result<void>> {
    const { clock } = this.services
    const cancel = (): void => { stream.cancel() }
    const timer = clock.after(Math.max(0, call.deadline - clock.monotonic()), cancel)
    call.signal.addEventListener('abort', cancel, { once: true })
    try {
      if (call.signal.aborted) cancel()
      for await (const part of stream.parts) {
        progress.add(part)
        const drained = sink(part)
        if (drained !== undefined) await drained
        if (part.finished) return success(undefined)
      }
      return failure('unknownOutcome', 'the stream ended before its final part')
    } catch (error) {
      if (clock.monotonic() >= call.deadline) return failure('unknownOutcome', 'the deadline passed before the answer was complete')
      return failure('unknownOutcome', (error as Error).message)
    } finally {
      timer.dispose()
      call.signal.removeEventListener('abort', cancel)
    }
  }
}

/** Converts a failure to `unknownOutcome`: once tokens have reached the caller, "not run" would be wrong. */
function asUnknownOutcome (reason: Failure): Failure {
  return failure('unknownOutcome', reason.message, reason.retryAfterMs === undefined ? {} : { retryAfterMs: reason.retryAfterMs })
}
