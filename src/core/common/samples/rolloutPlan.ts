/**
 * What a subscription's home should have running: first attempts for open slots as far ahead as the
 * subscription allows, and second attempts for stragglers. The plan is worked out anew from the
 * fold each time, so a home that has just taken over goes on without being told anything.
 */

import type { SubscriptionState } from '../fold/subscriptions.ts'

/** A rollout under way at this host. */
export interface RunningRollout {
  readonly group: string
  readonly index: number
  /** Monotonic start, in milliseconds. */
  readonly since: number
}

/** A rollout to start. */
export interface PlannedRollout {
  readonly group: string
  readonly index: number
  readonly straggler: boolean
}

export interface PlanLimits {
  /** Samples generated and not acknowledged, at most. */
  readonly ahead: number
  /** Rollouts to have running at once, at most. */
  readonly parallel: number
  readonly stragglerFactor: number
  /** Median time of recent rollouts, in milliseconds; undefined before there are any. */
  readonly medianMs?: number
}

const MAXIMUM_ATTEMPTS_PER_SLOT = 2

export function planRollouts (state: SubscriptionState, running: readonly RunningRollout[], limits: PlanLimits, now: number): PlannedRollout[] {
  const underway = new Map<string, RunningRollout[]>()
  for (const rollout of running) {
    const key = slotKey(rollout.group, rollout.index)
    underway.set(key, [...underway.get(key) ?? [], rollout])
  }
  const room = limits.parallel - running.length
  const planned = [...firstAttempts(state, underway, limits), ...stragglers(state, underway, limits, now)]
  return planned.slice(0, Math.max(0, room))
}

/** Groups are worked on in the order of submission, whole, so that the oldest step completes first. */
function firstAttempts (state: SubscriptionState, underway: ReadonlyMap<string, readonly RunningRollout[]>, limits: PlanLimits): PlannedRollout[] {
  const planned: PlannedRollout[] = []
  let samples = 0
  for (const [name, group] of Object.entries(state.groups)) {
    samples += group.slots.length
    if (samples > limits.ahead && samples > group.slots.length) break
    group.slots.forEach((sample, index) => {
      if (sample === null && !underway.has(slotKey(name, index))) planned.push({ group: name, index, straggler: false })
    })
  }
  return planned
}

function stragglers (state: SubscriptionState, underway: ReadonlyMap<string, readonly RunningRollout[]>, limits: PlanLimits, now: number): PlannedRollout[] {
  if (limits.medianMs === undefined) return []
  const bound = limits.medianMs * limits.stragglerFactor
  const planned: PlannedRollout[] = []
  for (const attempts of underway.values()) {
    const [first] = attempts
    if (first === undefined || attempts.length >= MAXIMUM_ATTEMPTS_PER_SLOT || now - first.since < bound) continue
    if (state.groups[first.group]?.slots[first.index] === null) planned.push({ group: first.group, index: first.index, straggler: true })
  }
  return planned
}

export function slotKey (group: string, index: number): string {
  return `${group}\n${index}`
}
