/**
 * Plans the rollouts that the home of a subscription should run: first attempts for open slots, up to
 * the subscription's limit of unacknowledged samples, and second attempts for stragglers. The plan is
 * derived from the fold each time, so a home that has just taken over continues without a handover.
 */

import type { SubscriptionState } from '../fold/subscriptions.ts'

/** A rollout that is running on this host. */
export interface RunningRollout {
  readonly group: string
  readonly index: number
  /** Monotonic start time, in milliseconds. */
  readonly since: number
}

/** A rollout to start. */
export interface PlannedRollout {
  readonly group: string
  readonly index: number
  readonly straggler: boolean
}

export interface PlanLimits {
  /** Maximum number of samples generated but not yet acknowledged. */
  readonly ahead: number
  /** Maximum number of concurrent rollouts. */
  readonly parallel: number
  readonly stragglerFactor: number
  /** Median duration of recent rollouts, in milliseconds; undefined before the first one. */
  readonly medianMs?: number
}

const MAX_ATTEMPTS_PER_SLOT = 2

export function planRollouts (state: SubscriptionState, running: readonly RunningRollout[], limits: PlanLimits, now: number): PlannedRollout[] {
  const runningBySlot = new Map<string, RunningRollout[]>()
  for (const rollout of running) {
    const key = slotKey(rollout.group, rollout.index)
    runningBySlot.set(key, [...runningBySlot.get(key) ?? [], rollout])
  }
  const freeCapacity = limits.parallel - running.length
  const planned = [...planFirstAttempts(state, runningBySlot, limits), ...planStragglerAttempts(state, runningBySlot, limits, now)]
  return planned.slice(0, Math.max(0, freeCapacity))
}

/** Plans first attempts for complete groups in order of submission, so that the oldest step completes first. */
function planFirstAttempts (state: SubscriptionState, runningBySlot: ReadonlyMap<string, readonly RunningRollout[]>, limits: PlanLimits): PlannedRollout[] {
  const planned: PlannedRollout[] = []
  let samples = 0
  for (const [name, group] of Object.entries(state.groups)) {
    samples += group.slots.length
    if (samples > limits.ahead && samples > group.slots.length) break
    group.slots.forEach((sample, index) => {
      if (sample === null && !runningBySlot.has(slotKey(name, index))) planned.push({ group: name, index, straggler: false })
    })
  }
  return planned
}

function planStragglerAttempts (state: SubscriptionState, runningBySlot: ReadonlyMap<string, readonly RunningRollout[]>, limits: PlanLimits, now: number): PlannedRollout[] {
  if (limits.medianMs === undefined) return []
  const thresholdMs = limits.medianMs * limits.stragglerFactor
  const planned: PlannedRollout[] = []
  for (const attempts of runningBySlot.values()) {
    const [first] = attempts
    if (first === undefined || attempts.length >= MAX_ATTEMPTS_PER_SLOT || now - first.since < thresholdMs) continue
    if (state.groups[first.group]?.slots[first.index] === null) planned.push({ group: first.group, index: first.index, straggler: true })
  }
  return planned
}

export function slotKey (group: string, index: number): string {
  return `${group}\n${index}`
}
