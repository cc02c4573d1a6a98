/**
 * Runs one rollout: waits for a slot, streams, gives the slot back when it is wanted for something
 * more urgent and goes on later from the token where it stood, then has the sample scored.
 */

import { Semaphore } from '../../../base/common/semaphore.ts'
import type { PoolName, SubscriptionName, TargetName } from '../../../base/common/ids.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { PayloadReference } from '../../../core/common/fold/records.ts'
import type { RolloutProgress } from '../../../core/common/samples/rollout.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import { pause } from '../../../ports/common/clock.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { CompletionStream, Engine, Scorer } from '../../../ports/common/targets.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { GrantClient, HeldGrant } from '../routing/grantClient.ts'
import type { Payloads } from './payloads.ts'

/** A rollout to run. */
export interface RolloutTask {
  readonly subscription: SubscriptionName
  readonly pool: PoolName
  readonly share: number
  readonly maximumTokens: number
  /** Lowest version of use to the trainer, as things stand now. */
  readonly minimumVersion: () => number
  readonly prompt: PayloadReference
  /** Filled as parts come; kept by the caller. */
  readonly progress: RolloutProgress
  /** Targets that this slot has been tried on; the newest is added. */
  readonly tried: TargetName[]
  readonly signal: AbortSignal
}

export interface RolloutRunnerServices {
  readonly grants: GrantClient
  readonly engine: Engine
  readonly scorer: Scorer | undefined
  readonly payloads: Payloads
  readonly fold: FoldView
  readonly clock: Clock
  readonly chance: Chance
  readonly hash: Hash
  readonly metrics: Metrics
}

/** Priority of rollouts at the engines: below all lanes. */
const ROLLOUT_PRIORITY = 10
const RETRY_MS = 200
const PREFIX_CHARACTERS = 256
/** Rollouts that wait for a slot at once; one waiting for each slot that may come free is enough. */
const WAITING_FOR_SLOTS = 32

/** Hash of a prompt's beginning: prompts that share it share an engine's cached prefix. */
export function prefixOf (hash: Hash, prompt: string): string {
  return hash.digest(prompt.slice(0, PREFIX_CHARACTERS))
}

export class RolloutRunner {
  private readonly waiting = new Semaphore(WAITING_FOR_SLOTS)

  constructor (private readonly services: RolloutRunnerServices, private readonly waitMs: number) {}

  /** Runs to the end and gives the score; fails only when aborted. */
  async run (task: RolloutTask): Promise<Result<number>> {
    const exclude: TargetName[] = [...task.tried]
    while (!task.signal.aborted) {
      const prompt = await this.services.payloads.read(task.prompt)
      if (!prompt.ok) {
        await pause(this.services.clock, RETRY_MS)
        continue
      }
      const finished = await this.attempt(task, prompt.value, exclude)
      if (finished) return await this.score(task, prompt.value)
    }
    return failure('cancelled', 'the rollout is no longer wanted')
  }

  private async attempt (task: RolloutTask, prompt: string, exclude: TargetName[]): Promise<boolean> {
    if (task.signal.aborted) return false
    const grant = await this.waiting.run(async () => await this.services.grants.acquire({
      pool: task.pool,
      workClass: 'rollout',
      priority: ROLLOUT_PRIORITY,
      flow: task.subscription,
      share: task.share,
      caller: task.subscription,
      callerLimit: Number.MAX_SAFE_INTEGER,
      until: this.services.clock.monotonic() + this.waitMs,
      prefix: prefixOf(this.services.hash, prompt),
      minimumVersion: task.minimumVersion(),
      exclude,
      signal: task.signal
    }))
    if (!grant.ok) {
      if (grant.code === 'noTarget') {
        exclude.length = 0
        await pause(this.services.clock, RETRY_MS)
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
    task.tried.push(grant.target)
    const { progress } = task
    const started = await this.services.engine.complete(grant.address, {
      requestId: this.services.chance.id(),
      prompt,
      maximumTokens: task.maximumTokens,
      priority: ROLLOUT_PRIORITY,
      ...(progress.tokens === 0 ? {} : { resume: { text: progress.text, tokens: progress.tokens } })
    })
    if (!started.ok) {
      exclude.push(grant.target)
      return false
    }
    const outcome = await this.consume(task, started.value, grant.revoked)
    if (outcome === 'broken') exclude.push(grant.target)
    if (outcome === 'preempted') this.services.metrics.count('rollouts.preempted')
    return outcome === 'finished'
  }

  private async consume (task: RolloutTask, stream: CompletionStream, revoked: AbortSignal): Promise<'finished' | 'preempted' | 'broken'> {
    const cancel = (): void => { stream.cancel() }
    const ends = [task.signal, revoked]
    for (const signal of ends) signal.addEventListener('abort', cancel, { once: true })
    try {
      if (ends.some((signal) => signal.aborted)) cancel()
      for await (const part of stream.parts) {
        task.progress.add(part)
        if (part.finished) return 'finished'
      }
    } catch {
      if (ends.some((signal) => signal.aborted)) return 'preempted'
    } finally {
      for (const signal of ends) signal.removeEventListener('abort', cancel)
    }
    return 'broken'
  }

  /** A scorer that does not answer must not lose the sample: it is asked until it does. */
  private async score (task: RolloutTask, prompt: string): Promise<Result<number>> {
    if (this.services.scorer === undefined) return success(0)
    while (!task.signal.aborted) {
      const score = await this.services.scorer.score(prompt, task.progress.text)
      if (score.ok) return score
      this.services.metrics.count('scorer.failed')
      await pause(this.services.clock, RETRY_MS)
    }
    return failure('cancelled', 'the rollout is no longer wanted')
  }
}
