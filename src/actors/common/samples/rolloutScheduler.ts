/**
 * Schedules the rollouts of the subscriptions whose home is this host, and runs them to their end.
 * Planning depends on the fold alone, so a new home continues where the former one stopped. If a
 * subscription has two homes for a short time, the only effect is redundant work, as the first record
 * of a slot determines the sample.
 */

import type { SubscriptionName, TargetName } from '../../../base/common/ids.ts'
import { asPoolName, asSubscriptionName } from '../../../base/common/ids.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import type { ConfiguredObject } from '../../../core/common/fold/configuration.ts'
import { findObject } from '../../../core/common/fold/configuration.ts'
import type { Group } from '../../../core/common/fold/subscriptions.ts'
import { RolloutProgress } from '../../../core/common/samples/rollout.ts'
import type { PlannedRollout } from '../../../core/common/samples/rolloutPlan.ts'
import { planRollouts } from '../../../core/common/samples/rolloutPlan.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { HomeResolver } from '../routing/homeResolver.ts'
import type { TaskSystem } from '../task.ts'
import { Task } from '../task.ts'
import type { PayloadStore } from './payloadStore.ts'
import type { PayloadRefresher } from './payloadRefresher.ts'
import type { RolloutRunner } from './rolloutRunner.ts'
import type { SampleWriter } from './sampleWriter.ts'

export interface RolloutSchedulerServices {
  readonly system: TaskSystem
  readonly fold: FoldView
  readonly homes: HomeResolver
  readonly payloads: PayloadStore
  readonly payloadRefresher: PayloadRefresher
  readonly runner: RolloutRunner
  readonly writer: SampleWriter
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export interface RolloutSchedulerSettings {
  /** Maximum number of concurrent rollouts of one subscription. */
  readonly parallel: number
  /** Number of unrecorded samples above which no rollout is started. */
  readonly backlog: number
}

interface RunningRollout extends PlannedRollout {
  readonly id: number
  since: number
  /** Whether the rollout is finished but not yet in the fold, where its slot still appears open. */
  recording: boolean
  readonly abort: AbortController
  readonly progress: RolloutProgress
  readonly triedTargets: TargetName[]
}

type Message =
  | { readonly type: 'plan' }
  | { readonly type: 'ended', readonly subscription: SubscriptionName, readonly rollout: RunningRollout, readonly score: Result<number> }
  | { readonly type: 'recorded', readonly subscription: SubscriptionName, readonly rollout: RunningRollout }

const PLAN_INTERVAL_MS = 200
const MAX_DURATIONS = 64
const MIN_DURATIONS_FOR_MEDIAN = 8

export class RolloutScheduler extends Task<Message> {
  private readonly running = new Map<SubscriptionName, RunningRollout[]>()
  private readonly durationsMs = new Map<SubscriptionName, number[]>()
  private nextId = 0
  private isStopping = false
  private isPlanScheduled = false

  constructor (private readonly services: RolloutSchedulerServices, private readonly settings: RolloutSchedulerSettings) {
    super(services.system, 'subscription-homes', services.metrics)
    this.disposables.add(services.clock.every(PLAN_INTERVAL_MS, () => { this.tell({ type: 'plan' }) }))
    this.disposables.add(services.fold.onChange(() => { this.schedulePlan() }))
  }

  /** Stops starting rollouts; those in progress run to their end. */
  stopStarting (): void {
    this.isStopping = true
  }

  get runningCount (): number {
    return [...this.running.values()].reduce((sum, rollouts) => sum + rollouts.length, 0)
  }

  protected override receive (message: Message): void {
    switch (message.type) {
      case 'plan': this.isPlanScheduled = false; this.planAll(); break
      case 'ended': this.handleEnded(message.subscription, message.rollout, message.score); break
      case 'recorded': this.removeRollout(message.subscription, message.rollout); this.schedulePlan(); break
      default: unreachable(message)
    }
  }

  private schedulePlan (): void {
    if (this.isPlanScheduled) return
    this.isPlanScheduled = true
    this.tell({ type: 'plan' })
  }

  private planAll (): void {
    const { configuration } = this.services.fold.state
    for (const name of new Set([...Object.keys(configuration.subscription), ...this.running.keys()])) {
      this.plan(asSubscriptionName(name), findObject(configuration, 'subscription', name))
    }
  }

  private plan (name: SubscriptionName, subscription: ConfiguredObject<'subscription'> | undefined): void {
    const state = this.services.fold.state.subscriptions[name]
    this.cancelObsolete(name, subscription)
    if (subscription === undefined || state === undefined || !this.mayStart(name)) return
    const running = this.running.get(name) ?? []
    const { ahead, stragglerFactor } = subscription.properties
    const medianMs = this.medianDurationMs(name)
    const limits = { ahead, stragglerFactor, parallel: this.settings.parallel, ...(medianMs === undefined ? {} : { medianMs }) }
    for (const planned of planRollouts(state, running, limits, this.services.clock.monotonic())) {
      const group = state.groups[planned.group]
      if (group !== undefined) this.startRollout(name, subscription, group, planned)
    }
    this.services.payloadRefresher.refresh(name, state)
  }

  private mayStart (name: SubscriptionName): boolean {
    if (this.isStopping || !this.services.fold.fresh) return false
    if (this.services.writer.backlog > this.settings.backlog) return false
    return this.services.homes.isSelf(this.services.homes.homeOfSubscription(name))
  }

  /** Aborts rollouts whose slot is filled, whose home is now another host, or whose weight version is too old. */
  private cancelObsolete (name: SubscriptionName, subscription: ConfiguredObject<'subscription'> | undefined): void {
    const homeIsElsewhere = !this.isStopping && !this.services.homes.isSelf(this.services.homes.homeOfSubscription(name))
    const minimumVersion = subscription === undefined ? 0 : this.minimumUsefulVersion(subscription)
    for (const rollout of this.running.get(name) ?? []) {
      if (rollout.recording) continue
      const isOpen = this.services.fold.state.subscriptions[name]?.groups[rollout.group]?.slots[rollout.index] === null
      const tooOld = (rollout.progress.oldestVersion ?? Infinity) < minimumVersion
      if (isOpen && !homeIsElsewhere && !tooOld && subscription !== undefined) continue
      if (tooOld) this.services.metrics.count('rollouts.outdated')
      rollout.abort.abort()
    }
  }

  /** Returns the lowest weight version that the trainer still accepts. */
  private minimumUsefulVersion (subscription: ConfiguredObject<'subscription'>): number {
    const newestVersion = findObject(this.services.fold.state.configuration, 'pool', subscription.properties.pool)?.properties.weights ?? 0
    return newestVersion - subscription.properties.staleness
  }

  private startRollout (name: SubscriptionName, subscription: ConfiguredObject<'subscription'>, group: Group, planned: PlannedRollout): void {
    const running = this.running.get(name) ?? []
    const siblings = running.filter((other) => other.group === planned.group && other.index === planned.index)
    const rollout: RunningRollout = {
      ...planned,
      id: this.nextId++,
      since: this.services.clock.monotonic(),
      recording: false,
      abort: new AbortController(),
      progress: new RolloutProgress(),
      triedTargets: siblings.flatMap((sibling) => sibling.triedTargets)
    }
    this.running.set(name, [...running, rollout])
    this.services.metrics.count(planned.straggler ? 'rollouts.stragglers' : 'rollouts.started')
    this.services.runner.run({
      subscription: name,
      pool: asPoolName(subscription.properties.pool),
      share: subscription.properties.share,
      maximumTokens: subscription.properties.maximumTokens,
      minimumVersion: () => this.minimumUsefulVersion(subscription),
      prompt: group.prompt,
      progress: rollout.progress,
      triedTargets: rollout.triedTargets,
      signal: rollout.abort.signal
    }).then((score) => { this.tell({ type: 'ended', subscription: name, rollout, score }) }, (error: unknown) => {
      this.services.stateLog.alarm('a rollout failed', { error: String(error) })
      this.removeRollout(name, rollout)
    })
  }

  private handleEnded (name: SubscriptionName, rollout: RunningRollout, score: Result<number>): void {
    if (!score.ok) {
      this.removeRollout(name, rollout)
      this.services.metrics.count(`rollouts.ended.${score.code}`)
      return
    }
    this.services.metrics.count('rollouts.finished')
    this.recordDuration(name, this.services.clock.monotonic() - rollout.since)
    rollout.recording = true
    rollout.since = Infinity
    this.services.writer.add({
      subscription: name,
      group: rollout.group,
      index: rollout.index,
      segments: rollout.progress.segments,
      score: score.value,
      text: rollout.progress.text
    }).then(() => { this.tell({ type: 'recorded', subscription: name, rollout }) }, () => undefined)
  }

  private removeRollout (name: SubscriptionName, rollout: RunningRollout): void {
    const remaining = (this.running.get(name) ?? []).filter((other) => other.id !== rollout.id)
    if (remaining.length === 0) this.running.delete(name)
    else this.running.set(name, remaining)
  }

  private recordDuration (name: SubscriptionName, durationMs: number): void {
    const durationsMs = this.durationsMs.get(name) ?? []
    durationsMs.push(durationMs)
    if (durationsMs.length > MAX_DURATIONS) durationsMs.shift()
    this.durationsMs.set(name, durationsMs)
  }

  private medianDurationMs (name: SubscriptionName): number | undefined {
    const durationsMs = this.durationsMs.get(name) ?? []
    if (durationsMs.length < MIN_DURATIONS_FOR_MEDIAN) return undefined
    return [...durationsMs].sort((a, b) => a - b)[Math.floor(durationsMs.length / 2)]
  }
}
