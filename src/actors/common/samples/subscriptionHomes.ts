/**
 * The home of a subscription starts its rollouts and runs them to the end. It plans from the fold
 * alone, so a new home goes on where the former one stopped; two homes for a moment waste work and
 * nothing else, as the first record of a slot is the sample.
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
import type { Homes } from '../routing/homes.ts'
import type { TaskSystem } from '../task.ts'
import { Task } from '../task.ts'
import type { Payloads } from './payloads.ts'
import type { PayloadKeeper } from './payloadKeeper.ts'
import type { RolloutRunner } from './rolloutRunner.ts'
import type { SampleWriter } from './sampleWriter.ts'

export interface SubscriptionHomesServices {
  readonly system: TaskSystem
  readonly fold: FoldView
  readonly homes: Homes
  readonly payloads: Payloads
  readonly keeper: PayloadKeeper
  readonly runner: RolloutRunner
  readonly writer: SampleWriter
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export interface RolloutSettings {
  /** Rollouts of one subscription under way at once. */
  readonly parallel: number
  /** Unrecorded samples above which nothing new is started. */
  readonly backlog: number
}

interface Running extends PlannedRollout {
  readonly id: number
  since: number
  /** Finished, and not yet in the fold: its slot still looks open there. */
  recording: boolean
  readonly abort: AbortController
  readonly progress: RolloutProgress
  readonly tried: TargetName[]
}

type Message =
  | { readonly type: 'plan' }
  | { readonly type: 'ended', readonly subscription: SubscriptionName, readonly rollout: Running, readonly score: Result<number> }
  | { readonly type: 'recorded', readonly subscription: SubscriptionName, readonly rollout: Running }

const PLAN_MS = 200
const DURATIONS_KEPT = 64
const DURATIONS_NEEDED = 8

export class SubscriptionHomes extends Task<Message> {
  private readonly running = new Map<SubscriptionName, Running[]>()
  private readonly durations = new Map<SubscriptionName, number[]>()
  private nextId = 0
  private stopping = false
  private planDue = false

  constructor (private readonly services: SubscriptionHomesServices, private readonly settings: RolloutSettings) {
    super(services.system, 'subscription-homes', services.metrics)
    this.disposables.add(services.clock.every(PLAN_MS, () => { this.tell({ type: 'plan' }) }))
    this.disposables.add(services.fold.onChange(() => { this.planSoon() }))
  }

  /** Starts nothing more; what is under way is finished. */
  stopStarting (): void {
    this.stopping = true
  }

  get underway (): number {
    return [...this.running.values()].reduce((sum, rollouts) => sum + rollouts.length, 0)
  }

  protected override receive (message: Message): void {
    switch (message.type) {
      case 'plan': this.planDue = false; this.planAll(); break
      case 'ended': this.ended(message.subscription, message.rollout, message.score); break
      case 'recorded': this.forget(message.subscription, message.rollout); this.planSoon(); break
      default: unreachable(message)
    }
  }

  private planSoon (): void {
    if (this.planDue) return
    this.planDue = true
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
    this.cancelUseless(name, subscription)
    if (subscription === undefined || state === undefined || !this.mayStart(name)) return
    const running = this.running.get(name) ?? []
    const { ahead, stragglerFactor } = subscription.properties
    const medianMs = this.median(name)
    const limits = { ahead, stragglerFactor, parallel: this.settings.parallel, ...(medianMs === undefined ? {} : { medianMs }) }
    for (const planned of planRollouts(state, running, limits, this.services.clock.monotonic())) {
      const group = state.groups[planned.group]
      if (group !== undefined) this.start(name, subscription, group, planned)
    }
    this.services.keeper.refresh(name, state)
  }

  private mayStart (name: SubscriptionName): boolean {
    if (this.stopping || !this.services.fold.fresh) return false
    if (this.services.writer.backlog > this.settings.backlog) return false
    return this.services.homes.isSelf(this.services.homes.ofSubscription(name))
  }

  /** Ends rollouts whose slot is filled, whose home is elsewhere now, or that are already too old. */
  private cancelUseless (name: SubscriptionName, subscription: ConfiguredObject<'subscription'> | undefined): void {
    const elsewhere = !this.stopping && !this.services.homes.isSelf(this.services.homes.ofSubscription(name))
    const lowest = subscription === undefined ? 0 : this.lowestVersion(subscription)
    for (const rollout of this.running.get(name) ?? []) {
      if (rollout.recording) continue
      const open = this.services.fold.state.subscriptions[name]?.groups[rollout.group]?.slots[rollout.index] === null
      const tooOld = (rollout.progress.oldestVersion ?? Infinity) < lowest
      if (open && !elsewhere && !tooOld && subscription !== undefined) continue
      if (tooOld) this.services.metrics.count('rollouts.outdated')
      rollout.abort.abort()
    }
  }

  /** Lowest weight version that the trainer would still take. */
  private lowestVersion (subscription: ConfiguredObject<'subscription'>): number {
    const newest = findObject(this.services.fold.state.configuration, 'pool', subscription.properties.pool)?.properties.weights ?? 0
    return newest - subscription.properties.staleness
  }

  private start (name: SubscriptionName, subscription: ConfiguredObject<'subscription'>, group: Group, planned: PlannedRollout): void {
    const running = this.running.get(name) ?? []
    const siblings = running.filter((other) => other.group === planned.group && other.index === planned.index)
    const rollout: Running = {
      ...planned,
      id: this.nextId++,
      since: this.services.clock.monotonic(),
      recording: false,
      abort: new AbortController(),
      progress: new RolloutProgress(),
      tried: siblings.flatMap((sibling) => sibling.tried)
    }
    this.running.set(name, [...running, rollout])
    this.services.metrics.count(planned.straggler ? 'rollouts.stragglers' : 'rollouts.started')
    this.services.runner.run({
      subscription: name,
      pool: asPoolName(subscription.properties.pool),
      share: subscription.properties.share,
      maximumTokens: subscription.properties.maximumTokens,
      minimumVersion: () => this.lowestVersion(subscription),
      prompt: group.prompt,
      progress: rollout.progress,
      tried: rollout.tried,
      signal: rollout.abort.signal
    }).then((score) => { this.tell({ type: 'ended', subscription: name, rollout, score }) }, (error: unknown) => {
      this.services.stateLog.alarm('a rollout failed', { error: String(error) })
      this.forget(name, rollout)
    })
  }

  private ended (name: SubscriptionName, rollout: Running, score: Result<number>): void {
    if (!score.ok) {
      this.forget(name, rollout)
      this.services.metrics.count(`rollouts.ended.${score.code}`)
      return
    }
    this.services.metrics.count('rollouts.finished')
    this.note(name, this.services.clock.monotonic() - rollout.since)
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

  private forget (name: SubscriptionName, rollout: Running): void {
    const left = (this.running.get(name) ?? []).filter((other) => other.id !== rollout.id)
    if (left.length === 0) this.running.delete(name)
    else this.running.set(name, left)
  }

  private note (name: SubscriptionName, duration: number): void {
    const durations = this.durations.get(name) ?? []
    durations.push(duration)
    if (durations.length > DURATIONS_KEPT) durations.shift()
    this.durations.set(name, durations)
  }

  private median (name: SubscriptionName): number | undefined {
    const durations = this.durations.get(name) ?? []
    if (durations.length < DURATIONS_NEEDED) return undefined
    return [...durations].sort((a, b) => a - b)[Math.floor(durations.length / 2)]
  }
}
