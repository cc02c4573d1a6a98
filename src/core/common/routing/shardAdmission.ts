/**
 * Admission to the targets of one shard (the part of a pool that lies in one place). The home of
 * the shard alone grants slots, so it counts exactly, however late the targets' own load reports
 * are. A grant is a slot of a named target for one request; whoever holds it talks to the target
 * directly, so that tokens take no extra hop.
 *
 * Interactive requests go before rollouts; rollouts fill what is left, in weighted fair shares
 * between subscriptions, and give a slot back when an interactive request finds none free.
 *
 * Decisions are returned, not carried out: the actor that owns this object sends them.
 */

import type { HostId, TargetName } from '../../../base/common/ids.ts'
import type { Failure } from '../../../base/common/resultCode.ts'
import { failure } from '../../../base/common/resultCode.ts'
import type { AcquireRequest, AdmissionDecision, Grant, ShardTarget, WorkClass } from './admissionMessages.ts'

interface Waiting {
  readonly request: AcquireRequest
  readonly since: number
}

interface Held extends Grant {
  since: number
  renewed: number
  /** When the slot was asked back; absent where it was not. */
  revokedAt?: number
}

interface Usage {
  readonly target: ShardTarget
  running: number
}

/** Most a target may be above the mean load and still be chosen for its cached prefix. */
const AFFINITY_LOAD_BOUND = 1.25
const PREFIXES_REMEMBERED = 4096
const HOLD_TIME_WEIGHT = 0.1
const INITIAL_HOLD_MS = 200
/** Time left for the answer, over the mean time that answers take. */
const ANSWER_MARGIN = 1.25
/** Share of a request's time that is kept for the answer at most: short deadlines may still queue. */
const LARGEST_ANSWER_SHARE = 0.8
/** A slot asked back and not given back by then is asked back again, in milliseconds. */
const REVOKE_AGAIN_MS = 150
/** A grant that its holder has not renewed for so long is taken back, in milliseconds. */
export const GRANT_EXPIRY_MS = 15_000

export class ShardAdmission {
  private usages = new Map<TargetName, Usage>()
  private readonly waiting: Waiting[] = []
  private readonly held = new Map<string, Held>()
  private readonly prefixes = new Map<string, TargetName>()
  /** Interactive requests held or waiting, by caller. */
  private readonly callers = new Map<string, number>()
  private interactiveHeld = 0
  private slots = 0
  private readonly virtualTime = new Map<string, number>()
  private meanHoldMs: Record<WorkClass, number> = { interactive: INITIAL_HOLD_MS, rollout: INITIAL_HOLD_MS }

  /** Requests that hold or wait for a slot, over the slots there are. */
  get pressure (): number {
    return this.slots === 0 ? Number.POSITIVE_INFINITY : (this.held.size + this.waiting.length) / this.slots
  }

  get queued (): number {
    return this.waiting.length
  }

  get running (): number {
    return this.held.size
  }

  runningOn (target: TargetName): number {
    return this.usages.get(target)?.running ?? 0
  }

  /** Replaces the list of targets; grants on targets that are gone stay until released. */
  setTargets (targets: readonly ShardTarget[], now: number): AdmissionDecision[] {
    const next = new Map<TargetName, Usage>()
    this.slots = 0
    for (const target of targets) {
      next.set(target.name, { target, running: 0 })
      if (target.available) this.slots += target.slots
    }
    for (const grant of this.held.values()) {
      const usage = next.get(grant.target)
      if (usage !== undefined) usage.running++
    }
    this.usages = next
    return this.serve(now)
  }

  /** Asks for a slot; what is decided at once is in the result, the rest follows later. */
  acquire (request: AcquireRequest, now: number): AdmissionDecision[] {
    if (this.held.has(request.grant) || this.waiting.some((waiting) => waiting.request.grant === request.grant)) return []
    const refused = this.refusal(request)
    if (refused !== undefined) return [refuse(request, refused)]
    this.waiting.push({ request, since: now })
    this.countCaller(request, 1)
    return this.serve(now)
  }

  /** Gives a slot back, or a place in the queue. */
  release (grant: string, now: number): AdmissionDecision[] {
    const held = this.held.get(grant)
    if (held === undefined) {
      const index = this.waiting.findIndex((waiting) => waiting.request.grant === grant)
      if (index >= 0) this.dropWaiting((_waiting, position) => position === index)
      return []
    }
    this.forget(held)
    this.meanHoldMs[held.workClass] += HOLD_TIME_WEIGHT * (now - held.since - this.meanHoldMs[held.workClass])
    return this.serve(now)
  }

  /**
   * Takes note of grants in use. A new home knows nothing of what the former one granted; it would
   * give the same slots out again. The holders' renewals tell it.
   */
  renew (grants: readonly Grant[], now: number): void {
    for (const grant of grants) {
      const held = this.held.get(grant.grant)
      if (held !== undefined) {
        held.renewed = now
        continue
      }
      this.hold({ ...grant, since: now, renewed: now })
    }
  }

  /** Takes back what a dead host held and drops what it waited for. */
  dropHolder (holder: HostId, now: number): AdmissionDecision[] {
    for (const held of [...this.held.values()]) {
      if (held.holder === holder) this.forget(held)
    }
    this.dropWaiting((waiting) => waiting.request.holder === holder)
    return this.serve(now)
  }

  /** Refuses what waited too long and takes back grants that were not renewed. */
  expire (now: number): AdmissionDecision[] {
    const decisions = this.refuseLate(now)
    for (const held of [...this.held.values()]) {
      if (now - held.renewed >= GRANT_EXPIRY_MS) this.forget(held)
    }
    return [...decisions, ...this.serve(now)]
  }

  /**
   * A request that gets its slot just before its deadline takes the slot from one that could still
   * be answered, and is answered too late itself. So time for the answer is left.
   */
  private longestUsefulWaitMs ({ workClass, maximumWaitMs }: AcquireRequest): number {
    if (workClass === 'rollout') return maximumWaitMs
    const answer = Math.min(this.meanHoldMs.interactive * ANSWER_MARGIN, maximumWaitMs * LARGEST_ANSWER_SHARE)
    return maximumWaitMs - answer
  }

  private refuseLate (now: number): AdmissionDecision[] {
    const late = this.dropWaiting(({ request, since }) => now - since > this.longestUsefulWaitMs(request))
    return late.map(({ request }) => refuse(request, failure('overloaded', 'no slot came free in time', { retryAfterMs: this.expectedWaitMs(request) })))
  }

  /** How long a request that came now would wait, in milliseconds. */
  expectedWaitMs (request: Pick<AcquireRequest, 'workClass' | 'priority'>): number {
    const { slots } = this
    if (slots === 0) return 1000
    const ahead = this.waiting.filter((waiting) => rank(waiting.request) <= rank(request)).length
    const blocking = request.workClass === 'rollout' ? this.held.size : this.interactiveHeld
    const excess = ahead + blocking + 1 - slots
    return excess <= 0 ? 0 : (excess / slots) * this.meanHoldMs[request.workClass]
  }

  private refusal (request: AcquireRequest): Failure | undefined {
    const usable = [...this.usages.values()].some(({ target }) => mayServe(target, request))
    if (!usable) return failure('noTarget', 'no target of this shard takes work', { retryAfterMs: 1000 })
    if (request.maximumWaitMs === 0 && !this.freeNow(request)) return failure('overloaded', 'no slot is free now', { retryAfterMs: this.expectedWaitMs(request) })
    if (request.workClass === 'rollout') return undefined
    const mine = this.callers.get(request.caller) ?? 0
    if (mine >= request.callerLimit) {
      return failure('callerLimit', `${request.caller} has ${mine} requests in flight`, { retryAfterMs: this.meanHoldMs.interactive })
    }
    const wait = this.expectedWaitMs(request)
    if (wait === 0 || wait <= this.longestUsefulWaitMs(request)) return undefined
    return failure('overloaded', `the wait would be ${Math.round(wait)} ms`, { retryAfterMs: wait })
  }

  /** Whether a slot is free and nobody waits who goes before. */
  private freeNow (request: AcquireRequest): boolean {
    const before = this.waiting.some((waiting) => rank(waiting.request) <= rank(request))
    return !before && this.chooseTarget(request) !== undefined
  }

  private countCaller ({ workClass, caller }: { workClass: WorkClass, caller: string }, change: number): void {
    if (workClass !== 'interactive') return
    const count = (this.callers.get(caller) ?? 0) + change
    if (count > 0) this.callers.set(caller, count)
    else this.callers.delete(caller)
  }

  private serve (now: number): AdmissionDecision[] {
    const decisions = this.refuseLate(now)
    for (;;) {
      const next = this.nextServable()
      if (next === undefined) break
      const { waiting, usage } = next
      this.dropWaiting((candidate) => candidate === waiting)
      decisions.push(this.grant(waiting.request, usage, now))
    }
    return [...decisions, ...this.preempt(now)]
  }

  private nextServable (): { waiting: Waiting, usage: Usage } | undefined {
    for (const waiting of this.inOrder()) {
      const usage = this.chooseTarget(waiting.request)
      if (usage !== undefined) return { waiting, usage }
    }
    return undefined
  }

  /** Interactive by priority and age; then rollouts, least served flow first. */
  private inOrder (): readonly Waiting[] {
    if (this.waiting.length < 2) return this.waiting
    return [...this.waiting].sort((a, b) => {
      const byRank = rank(a.request) - rank(b.request)
      if (byRank !== 0) return byRank
      if (a.request.workClass === 'rollout') {
        const byShare = this.served(a.request.flow) - this.served(b.request.flow)
        if (byShare !== 0) return byShare
      }
      return a.since - b.since
    })
  }

  private served (flow: string): number {
    return this.virtualTime.get(flow) ?? 0
  }

  private chooseTarget (request: AcquireRequest): Usage | undefined {
    const cached = this.cachedTarget(request)
    if (cached !== undefined) return cached
    let best: Usage | undefined
    for (const usage of this.usages.values()) {
      if (isFree(usage, request) && (best === undefined || load(usage) < load(best))) best = usage
    }
    return best
  }

  private cachedTarget (request: AcquireRequest): Usage | undefined {
    const name = request.prefix === undefined ? undefined : this.prefixes.get(request.prefix)
    const usage = name === undefined ? undefined : this.usages.get(name)
    if (usage === undefined || !isFree(usage, request)) return undefined
    const mean = (this.held.size + 1) / Math.max(1, this.slots)
    return (usage.running + 1) / usage.target.slots <= Math.max(mean * AFFINITY_LOAD_BOUND, 1 / usage.target.slots) ? usage : undefined
  }

  private grant (request: AcquireRequest, usage: Usage, now: number): AdmissionDecision {
    const grant: Grant = {
      grant: request.grant,
      holder: request.holder,
      target: usage.target.name,
      workClass: request.workClass,
      flow: request.flow,
      caller: request.caller
    }
    this.hold({ ...grant, since: now, renewed: now })
    if (request.workClass === 'rollout') this.advance(request)
    if (request.prefix !== undefined) this.remember(request.prefix, usage.target.name)
    return { type: 'granted', grant, address: usage.target.address }
  }

  /** A flow that was idle must not save up turns, so it starts where the others are. */
  private advance (request: AcquireRequest): void {
    const active = new Set(this.waiting.filter((waiting) => waiting.request.workClass === 'rollout').map((waiting) => waiting.request.flow))
    const floor = active.size === 0 ? 0 : Math.min(...[...active].map((flow) => this.served(flow)))
    const start = Math.max(this.served(request.flow), active.has(request.flow) ? 0 : floor)
    this.virtualTime.set(request.flow, start + 1 / request.share)
    for (const flow of this.virtualTime.keys()) {
      const used = active.has(flow) || flow === request.flow || [...this.held.values()].some((held) => held.flow === flow)
      if (!used) this.virtualTime.delete(flow)
    }
  }

  private remember (prefix: string, target: TargetName): void {
    this.prefixes.delete(prefix)
    this.prefixes.set(prefix, target)
    if (this.prefixes.size <= PREFIXES_REMEMBERED) return
    const oldest = this.prefixes.keys().next()
    if (oldest.done !== true) this.prefixes.delete(oldest.value)
  }

  /**
   * Asks for one rollout's slot per interactive request that found none, youngest rollout first. A
   * request to give a slot back can be lost; if nothing came of it, it is made again.
   */
  private preempt (now: number): AdmissionDecision[] {
    const wanted = this.waiting.filter(({ request }) => request.workClass === 'interactive').length
    if (wanted === 0) return []
    const asked = (held: Held): boolean => held.revokedAt !== undefined && now - held.revokedAt < REVOKE_AGAIN_MS
    const underway = [...this.held.values()].filter(asked).length
    const candidates = [...this.held.values()]
      .filter((held) => held.workClass === 'rollout' && !asked(held) && this.usages.get(held.target)?.target.available === true)
      .sort((a, b) => b.since - a.since)
      .slice(0, Math.max(0, wanted - underway))
    return candidates.map((held) => {
      held.revokedAt = now
      return { type: 'revoke', grant: plainGrant(held) }
    })
  }

  private hold (held: Held): void {
    this.held.set(held.grant, held)
    this.countCaller(held, 1)
    if (held.workClass === 'interactive') this.interactiveHeld++
    const usage = this.usages.get(held.target)
    if (usage !== undefined) usage.running++
  }

  private forget (held: Held): void {
    this.held.delete(held.grant)
    this.countCaller(held, -1)
    if (held.workClass === 'interactive') this.interactiveHeld--
    const usage = this.usages.get(held.target)
    if (usage !== undefined) usage.running--
  }

  private dropWaiting (drop: (waiting: Waiting, position: number) => boolean): Waiting[] {
    const dropped = this.waiting.filter(drop)
    for (const waiting of dropped) {
      this.waiting.splice(this.waiting.indexOf(waiting), 1)
      this.countCaller(waiting.request, -1)
    }
    return dropped
  }
}

function rank (request: Pick<AcquireRequest, 'workClass' | 'priority'>): number {
  return request.workClass === 'interactive' ? request.priority : 100
}

/** A target whose version is not known yet may be tried: its own words will tell. */
function mayServe (target: ShardTarget, request: AcquireRequest): boolean {
  const tooOld = request.minimumVersion !== undefined && target.version !== undefined && target.version < request.minimumVersion
  return target.available && !tooOld && !request.exclude.includes(target.name)
}

function isFree ({ target, running }: Usage, request: AcquireRequest): boolean {
  return running < target.slots && mayServe(target, request)
}

function load ({ target, running }: Usage): number {
  return running / target.slots
}

function refuse (request: AcquireRequest, reason: Failure): AdmissionDecision {
  return { type: 'refused', grant: request.grant, holder: request.holder, reason }
}

function plainGrant ({ grant, holder, target, workClass, flow, caller }: Held): Grant {
  return { grant, holder, target, workClass, flow, caller }
}
