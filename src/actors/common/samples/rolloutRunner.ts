/**
 * Runs one rollout: waits for a slot, streams the completion, and has the sample scored. If the slot
 * is revoked for more urgent work, the rollout releases it and later resumes from the last token.
 */

import { Semaphore } from '../../../base/common/semaphore.ts'
import type { PoolName, SubscriptionName, TargetName } from '../../../base/common/ids.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { PayloadReference } from '../../../core/common/fold/records.ts'
import type { RolloutProgress } from '../../../core/common/samples/rollout.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import { pause } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { CompletionStream, Engine, Scorer } from '../../../ports/common/targets.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { GrantClient, HeldGrant } from '../routing/grantClient.ts'
import type { PayloadStore } from './payloadStore.ts'

/** A rollout to run. */
export interface RolloutTask {
  readonly subscription: SubscriptionName
  readonly pool: PoolName
  readonly share: number
  readonly maximumTokens: number
  /** Returns the lowest weight version that the trainer currently accepts. */
  readonly minimumVersion: () => number
  readonly prompt: PayloadReference
  /** Receives the parts of the completion; owned by the caller. */
  readonly progress: RolloutProgress
  /** Targets on which this sample has been tried. The runner adds each target that it uses. */
  readonly triedTargets: TargetName[]
  readonly signal: AbortSignal
}

export interface RolloutRunnerServices {
  readonly grants: GrantClient
  readonly engine: Engine
  readonly scorer: Scorer | undefined
  readonly payloads: PayloadStore
  readonly fold: FoldView
  readonly clock: Clock
  readonly chance: RandomSource
  readonly hash: Hash
  readonly metrics: Metrics
}

/** Priority of rollouts at the engines, below that of all lanes. */
const ROLLOUT_PRIORITY = 10
const RETRY_DELAY_MS = 200
const PREFIX_CHARACTERS = 256
/** Maximum number of rollouts that wait for a slot at the same time; one for each slot that may become free is enough. */
const MAX_WAITING_FOR_SLOTS = 32

/** Returns the hash of the beginning of a prompt; prompts with the same hash can share the cached prefix of an engine. */
export function prefixHashOf (hash: Hash, prompt: string): string {
  return hash.digest(prompt.slice(0, PREFIX_CHARACTERS))
}

export class RolloutRunner {
  private readonly waiting = new Semaphore(MAX_WAITING_FOR_SLOTS)

  constructor (private readonly services: RolloutRunnerServices, private readonly maxSlotWaitMs: number) {}

  /** Runs a rollout to its end and returns the score; fails only if it is aborted. */
  async run (task: RolloutTask): Promise<Result<number>> {
    const exclude: TargetName[] = [...task.triedTargets]
    while (!task.signal.aborted) {
      const prompt = await this.services.payloads.read(task.prompt)
      if (!prompt.ok) {
        await pause(this.services.clock, RETRY_DELAY_MS)
        continue
      }
      const isFinished = await this.runAttempt(task, prompt.value, exclude)
      if (isFinished) return await this.score(task, prompt.value)
    }
    return failure('cancelled', 'the rollout is no longer wanted')
  }

  private async runAttempt (task: RolloutTask, prompt: string, exclude: TargetName[]): Promise<boolean> {
    if (task.signal.aborted) return false
    const grant = await this.waiting.run(async () => await this.services.grants.acquire({
      pool: task.pool,
      workClass: 'rollout',
      priority: ROLLOUT_PRIORITY,
      flow: task.subscription,
      share: task.share,
      caller: task.subscription,
      callerLimit: Number.MAX_SAFE_INTEGER,
      deadline: this.services.clock.monotonic() + this.maxSlotWaitMs,
      prefix: prefixHashOf(this.services.hash, prompt),
      minimumVersion: task.minimumVersion(),
      exclude,
      signal: task.signal
    }))
    if (!grant.ok) {
      if (grant.code === 'noTarget') {
        exclude.length = 0
        await pause(this.services.clock, RETRY_DELAY_MS)
      }
      return false
    }
    try {
      return await this.useGrant(task, prompt, grant.value, exclude)
    } finally {
      grant.value.release()
    }
  }

  private async useGrant (task: RolloutTask, prompt: string, grant: HeldGrant, exclude: TargetName[]): Promise<boolean> {
    if (!this.services.fold.fresh || this.services.clock.monotonic() > grant.useBefore) return false
    task.triedTargets.push(grant.target)
    const { progress } = task
    const streamResult = await this.services.engine.complete(grant.address, {
      requestId: this.services.chance.id(),
      prompt,
      maximumTokens: task.maximumTokens,
      priority: ROLLOUT_PRIORITY,
      ...(progress.tokens === 0 ? {} : { resume: { text: progress.text, tokens: progress.tokens } })
    })
    if (!streamResult.ok) {
      exclude.push(grant.target)
      return false
    }
    const outcome = await this.consumeStream(task, streamResult.value, grant.revoked)
    if (outcome === 'broken') exclude.push(grant.target)
    if (outcome === 'preempted') this.services.metrics.count('rollouts.preempted')
    return outcome === 'finished'
  }

  private async consumeStream (task: RolloutTask, stream: CompletionStream, revoked: AbortSignal): Promise<'finished' | 'preempted' | 'broken'> {
    const cancel = (): void => { stream.cancel() }
    const abortSignals = [task.signal, revoked]
    for (const signal of abortSignals) signal.addEventListener('abort', cancel, { once: true })
    try {
      if (abortSignals.some((signal) => signal.aborted)) cancel()
      for await (const part of stream.parts) {
        task.progress.add(part)
        if (part.finished) return 'finished'
      }
    } catch {
      if (abortSignals.some((signal) => signal.aborted)) return 'preempted'
    } finally {
      for (const signal of abortSignals) signal.removeEventListener('abort', cancel)
    }
    return 'broken'
  }

  /** Scores a sample, retrying until the scorer answers, so that a failing scorer does not lose the sample. */
  private async score (task: RolloutTask, prompt: string): Promise<Result<number>> {
    if (this.services.scorer === undefined) return success(0)
    while (!task.signal.aborted) {
      const score = await this.services.scorer.score(prompt, task.progress.text)
      if (score.ok) return score
      this.services.metrics.count('scorer.failed')
      await pause(this.services.clock, RETRY_DELAY_MS)
    }
    return failure('cancelled', 'the rollout is no longer wanted')
  }
}
