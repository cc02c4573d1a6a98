/**
 * Admission control for the targets of one shard, which is the part of a pool in one failure domain.
 * Only the home of the shard grants slots, so its count is exact, however old the targets' own load
 * reports are. A grant is a slot of a named target for one request. Its holder connects to the target
 * directly, so tokens take no extra hop.
 *
 * Interactive requests take precedence over rollouts. Rollouts use the remaining slots by weighted
 * fair sharing between subscriptions, and are asked to release a slot when an interactive request
 * finds none free.
 *
 * Decisions are returned rather than carried out; the actor that owns this object sends them.
 */

import type { HostId, TargetName } from '../../../base/common/ids.ts'
import type { Failure } from '../../../base/common/resultCode.ts'
import { failure } from '../../../base/common/resultCode.ts'
import type { AcquireRequest, AdmissionDecision, Grant, ShardTarget, WorkClass } from './admissionMessages.ts'

interface QueuedRequest {
  readonly request: AcquireRequest
  readonly since: number
}

interface HeldGrant extends Grant {
  since: number
  renewedAt: number
  /** Time of the last revocation; absent if the grant was not revoked. */
  revokedAt?: number
}

interface TargetUsage {
  readonly target: ShardTarget
  running: number
}

/** Maximum ratio of a target's load to the mean load at which it is still chosen for its cached prefix. */
const MAX_AFFINITY_LOAD_RATIO = 1.25
const MAX_TRACKED_PREFIXES = 4096
const HOLD_TIME_SMOOTHING = 0.1
const INITIAL_HOLD_MS = 200
/** Time reserved for the answer, as a multiple of the mean answer time. */
const ANSWER_TIME_MARGIN = 1.25
/** Maximum share of a request's time that is reserved for the answer, so that requests with short deadlines may still queue. */
const MAX_ANSWER_TIME_SHARE = 0.8
/** Interval after which a revoked grant that was not released is revoked again. */
const REVOKE_RETRY_INTERVAL_MS = 150
/** Time after which a grant that its holder has not renewed expires. */
export const GRANT_EXPIRY_MS = 15_000

export class ShardAdmission {
  private usageByTarget = new Map<TargetName, TargetUsage>()
  private readonly waiting: QueuedRequest[] = []
  private readonly held = new Map<string, HeldGrant>()
  private readonly targetByPrefix = new Map<string, TargetName>()
  /** Number of interactive requests that hold or wait for a grant, by caller. */
  private readonly callers = new Map<string, number>()
  private interactiveHeld = 0
  private slots = 0
  private readonly virtualTimeByFlow = new Map<string, number>()
  private meanHoldMs: Record<WorkClass, number> = { interactive: INITIAL_HOLD_MS, rollout: INITIAL_HOLD_MS }

  /** Ratio of requests that hold or wait for a slot to available slots. */
  get pressure (): number {
    return this.slots === 0 ? Number.POSITIVE_INFINITY : (this.held.size + this.waiting.length) / this.slots
  }

  get queueLength (): number {
    return this.waiting.length
  }

  get runningCount (): number {
    return this.held.size
  }

  runningOn (target: TargetName): number {
    return this.usageByTarget.get(target)?.running ?? 0
  }

  /** Replaces the list of targets. Grants on removed targets remain until they are released or expire. */
  setTargets (targets: readonly ShardTarget[], now: number): AdmissionDecision[] {
    const next = new Map<TargetName, TargetUsage>()
    this.slots = 0
    for (const target of targets) {
      next.set(target.name, { target, running: 0 })
      if (target.available) this.slots += target.slots
    }
    for (const grant of this.held.values()) {
      const usage = next.get(grant.target)
      if (usage !== undefined) usage.running++
    }
    this.usageByTarget = next
    return this.serveQueue(now)
  }

  /** Requests a slot. The result contains the immediate decisions; the request may also be granted or refused later. */
  acquire (request: AcquireRequest, now: number): AdmissionDecision[] {
    if (this.held.has(request.grant) || this.waiting.some((waiting) => waiting.request.grant === request.grant)) return []
    const refusal = this.checkAcquire(request)
    if (refusal !== undefined) return [createRefusal(request, refusal)]
    this.waiting.push({ request, since: now })
    this.countCaller(request, 1)
    return this.serveQueue(now)
  }

  /** Releases a granted slot, or removes a waiting request from the queue. */
  release (grant: string, now: number): AdmissionDecision[] {
    const held = this.held.get(grant)
    if (held === undefined) {
      const index = this.waiting.findIndex((waiting) => waiting.request.grant === grant)
      if (index >= 0) this.removeWaiting((_waiting, position) => position === index)
      return []
    }
    this.removeGrant(held)
    this.meanHoldMs[held.workClass] += HOLD_TIME_SMOOTHING * (now - held.since - this.meanHoldMs[held.workClass])
    return this.serveQueue(now)
  }

  /**
   * Renews grants in use and adds unknown ones. A new home does not know the grants of the previous
   * home and would grant the same slots again, so it learns them from the renewals of their holders.
   */
  renew (grants: readonly Grant[], now: number): void {
    for (const grant of grants) {
      const held = this.held.get(grant.grant)
      if (held !== undefined) {
        held.renewedAt = now
        continue
      }
      this.addGrant({ ...grant, since: now, renewedAt: now })
    }
  }

  /** Removes the grants and the waiting requests of a dead host. */
  removeHolder (holder: HostId, now: number): AdmissionDecision[] {
    for (const held of [...this.held.values()]) {
      if (held.holder === holder) this.removeGrant(held)
    }
    this.removeWaiting((waiting) => waiting.request.holder === holder)
    return this.serveQueue(now)
  }

  /** Refuses requests that have waited too long, and removes grants that were not renewed. */
  expire (now: number): AdmissionDecision[] {
    const decisions = this.refuseOverdue(now)
    for (const held of [...this.held.values()]) {
      if (now - held.renewedAt >= GRANT_EXPIRY_MS) this.removeGrant(held)
    }
    return [...decisions, ...this.serveQueue(now)]
  }

  /**
   * Returns the longest wait after which a request can still be answered in time. A request that gets
   * a slot just before its deadline takes it from a request that could still be answered, and is
   * itself answered too late. Therefore time is reserved for the answer.
   */
  private maxUsefulWaitMs ({ workClass, maximumWaitMs }: AcquireRequest): number {
    if (workClass === 'rollout') return maximumWaitMs
    const answerTimeMs = Math.min(this.meanHoldMs.interactive * ANSWER_TIME_MARGIN, maximumWaitMs * MAX_ANSWER_TIME_SHARE)
    return maximumWaitMs - answerTimeMs
  }

  private refuseOverdue (now: number): AdmissionDecision[] {
    const overdue = this.removeWaiting(({ request, since }) => now - since > this.maxUsefulWaitMs(request))
    return overdue.map(({ request }) => createRefusal(request, failure('overloaded', 'no slot became free in time', { retryAfterMs: this.expectedWaitMs(request) })))
  }

  /** Returns how long a request that arrives now would wait, in milliseconds. */
  expectedWaitMs (request: Pick<AcquireRequest, 'workClass' | 'priority'>): number {
    const { slots } = this
    if (slots === 0) return 1000
    const ahead = this.waiting.filter((waiting) => rank(waiting.request) <= rank(request)).length
    const blocking = request.workClass === 'rollout' ? this.held.size : this.interactiveHeld
    const excess = ahead + blocking + 1 - slots
    return excess <= 0 ? 0 : (excess / slots) * this.meanHoldMs[request.workClass]
  }

  private checkAcquire (request: AcquireRequest): Failure | undefined {
    const usable = [...this.usageByTarget.values()].some(({ target }) => canServe(target, request))
    if (!usable) return failure('noTarget', 'no target of this shard accepts this request', { retryAfterMs: 1000 })
    if (request.maximumWaitMs === 0 && !this.canStartNow(request)) return failure('overloaded', 'no slot is free now', { retryAfterMs: this.expectedWaitMs(request) })
    if (request.workClass === 'rollout') return undefined
    const inFlight = this.callers.get(request.caller) ?? 0
    if (inFlight >= request.callerLimit) {
      return failure('callerLimit', `${request.caller} has ${inFlight} requests in flight; the limit is ${request.callerLimit}`, { retryAfterMs: this.meanHoldMs.interactive })
    }
    const expectedWaitMs = this.expectedWaitMs(request)
    if (expectedWaitMs === 0 || expectedWaitMs <= this.maxUsefulWaitMs(request)) return undefined
    return failure('overloaded', `the expected wait of ${Math.round(expectedWaitMs)} ms is too long`, { retryAfterMs: expectedWaitMs })
  }

  /** Whether a slot is free and no waiting request takes precedence. */
  private canStartNow (request: AcquireRequest): boolean {
    const hasEarlierRequest = this.waiting.some((waiting) => rank(waiting.request) <= rank(request))
    return !hasEarlierRequest && this.chooseTarget(request) !== undefined
  }

  private countCaller ({ workClass, caller }: { workClass: WorkClass, caller: string }, change: number): void {
    if (workClass !== 'interactive') return
    const count = (this.callers.get(caller) ?? 0) + change
    if (count > 0) this.callers.set(caller, count)
    else this.callers.delete(caller)
  }

  private serveQueue (now: number): AdmissionDecision[] {
    const decisions = this.refuseOverdue(now)
    for (;;) {
      const next = this.findNextServable()
      if (next === undefined) break
      const { waiting, usage } = next
      this.removeWaiting((candidate) => candidate === waiting)
      decisions.push(this.createGrant(waiting.request, usage, now))
    }
    return [...decisions, ...this.preempt(now)]
  }

  private findNextServable (): { waiting: QueuedRequest, usage: TargetUsage } | undefined {
    for (const waiting of this.sortedQueue()) {
      const usage = this.chooseTarget(waiting.request)
      if (usage !== undefined) return { waiting, usage }
    }
    return undefined
  }

  /** Orders interactive requests by priority and age, followed by rollouts with the least served flow first. */
  private sortedQueue (): readonly QueuedRequest[] {
    if (this.waiting.length < 2) return this.waiting
    return [...this.waiting].sort((a, b) => {
      const byRank = rank(a.request) - rank(b.request)
      if (byRank !== 0) return byRank
      if (a.request.workClass === 'rollout') {
        const byShare = this.virtualTimeOf(a.request.flow) - this.virtualTimeOf(b.request.flow)
        if (byShare !== 0) return byShare
      }
      return a.since - b.since
    })
  }

  private virtualTimeOf (flow: string): number {
    return this.virtualTimeByFlow.get(flow) ?? 0
  }

  private chooseTarget (request: AcquireRequest): TargetUsage | undefined {
    const cached = this.findCachedTarget(request)
    if (cached !== undefined) return cached
    let best: TargetUsage | undefined
    for (const usage of this.usageByTarget.values()) {
      if (hasFreeSlot(usage, request) && (best === undefined || utilization(usage) < utilization(best))) best = usage
    }
    return best
  }

  private findCachedTarget (request: AcquireRequest): TargetUsage | undefined {
    const name = request.prefix === undefined ? undefined : this.targetByPrefix.get(request.prefix)
    const usage = name === undefined ? undefined : this.usageByTarget.get(name)
    if (usage === undefined || !hasFreeSlot(usage, request)) return undefined
    const meanLoad = (this.held.size + 1) / Math.max(1, this.slots)
    return (usage.running + 1) / usage.target.slots <= Math.max(meanLoad * MAX_AFFINITY_LOAD_RATIO, 1 / usage.target.slots) ? usage : undefined
  }

  private createGrant (request: AcquireRequest, usage: TargetUsage, now: number): AdmissionDecision {
    const grant: Grant = {
      grant: request.grant,
      holder: request.holder,
      target: usage.target.name,
      workClass: request.workClass,
      flow: request.flow,
      caller: request.caller
    }
    this.addGrant({ ...grant, since: now, renewedAt: now })
    if (request.workClass === 'rollout') this.advanceVirtualTime(request)
    if (request.prefix !== undefined) this.rememberPrefix(request.prefix, usage.target.name)
    return { type: 'granted', grant, address: usage.target.address }
  }

  /** Advances the virtual time of a flow. A flow that was idle must not accumulate credit, so it starts at the minimum of the active flows. */
  private advanceVirtualTime (request: AcquireRequest): void {
    const active = new Set(this.waiting.filter((waiting) => waiting.request.workClass === 'rollout').map((waiting) => waiting.request.flow))
    const minVirtualTime = active.size === 0 ? 0 : Math.min(...[...active].map((flow) => this.virtualTimeOf(flow)))
    const start = Math.max(this.virtualTimeOf(request.flow), active.has(request.flow) ? 0 : minVirtualTime)
    this.virtualTimeByFlow.set(request.flow, start + 1 / request.share)
    for (const flow of this.virtualTimeByFlow.keys()) {
      const used = active.has(flow) || flow === request.flow || [...this.held.values()].some((held) => held.flow === flow)
      if (!used) this.virtualTimeByFlow.delete(flow)
    }
  }

  private rememberPrefix (prefix: string, target: TargetName): void {
    this.targetByPrefix.delete(prefix)
    this.targetByPrefix.set(prefix, target)
    if (this.targetByPrefix.size <= MAX_TRACKED_PREFIXES) return
    const oldest = this.targetByPrefix.keys().next()
    if (oldest.done !== true) this.targetByPrefix.delete(oldest.value)
  }

  /**
   * Revokes one rollout's grant for each interactive request that found no slot, youngest rollout
   * first. A revocation can be lost, so it is repeated if the grant is not released.
   */
  private preempt (now: number): AdmissionDecision[] {
    const wanted = this.waiting.filter(({ request }) => request.workClass === 'interactive').length
    if (wanted === 0) return []
    const isRevocationPending = (held: HeldGrant): boolean => held.revokedAt !== undefined && now - held.revokedAt < REVOKE_RETRY_INTERVAL_MS
    const pendingRevocations = [...this.held.values()].filter(isRevocationPending).length
    const candidates = [...this.held.values()]
      .filter((held) => held.workClass === 'rollout' && !isRevocationPending(held) && this.usageByTarget.get(held.target)?.target.available === true)
      .sort((a, b) => b.since - a.since)
      .slice(0, Math.max(0, wanted - pendingRevocations))
    return candidates.map((held) => {
      held.revokedAt = now
      return { type: 'revoke', grant: toGrant(held) }
    })
  }

  private addGrant (held: HeldGrant): void {
    this.held.set(held.grant, held)
    this.countCaller(held, 1)
    if (held.workClass === 'interactive') this.interactiveHeld++
    const usage = this.usageByTarget.get(held.target)
    if (usage !== undefined) usage.running++
  }

  private removeGrant (held: HeldGrant): void {
    this.held.delete(held.grant)
    this.countCaller(held, -1)
    if (held.workClass === 'interactive') this.interactiveHeld--
    const usage = this.usageByTarget.get(held.target)
    if (usage !== undefined) usage.running--
  }

  private removeWaiting (predicate: (waiting: QueuedRequest, position: number) => boolean): QueuedRequest[] {
    const removed = this.waiting.filter(predicate)
    for (const waiting of removed) {
      this.waiting.splice(this.waiting.indexOf(waiting), 1)
      this.countCaller(waiting.request, -1)
    }
    return removed
  }
}

function rank (request: Pick<AcquireRequest, 'workClass' | 'priority'>): number {
  return request.workClass === 'interactive' ? request.priority : 100
}

/** Whether a target may run a request. A target whose version is not known yet may be tried, as its answer reports the version. */
function canServe (target: ShardTarget, request: AcquireRequest): boolean {
  const tooOld = request.minimumVersion !== undefined && target.version !== undefined && target.version < request.minimumVersion
  return target.available && !tooOld && !request.exclude.includes(target.name)
}

function hasFreeSlot ({ target, running }: TargetUsage, request: AcquireRequest): boolean {
  return running < target.slots && canServe(target, request)
}

function utilization ({ target, running }: TargetUsage): number {
  return running / target.slots
}

function createRefusal (request: AcquireRequest, reason: Failure): AdmissionDecision {
  return { type: 'refused', grant: request.grant, holder: request.holder, reason }
}

function toGrant ({ grant, holder, target, workClass, flow, caller }: HeldGrant): Grant {
  return { grant, holder, target, workClass, flow, caller }
}
