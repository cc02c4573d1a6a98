/**
 * Lets calls wait at this host while no target of their service has room. Only the call at the head of a service's queue
 * tries targets: when a call of this host ends there, or else every 40 ms. Decisions are made by `CallQueue`; this actor
 * owns the timer, gives calls their turns and refuses those that leave.
 *
 * A call in the queue has been sent nowhere unless an earlier attempt of it may have run, which `RouteCall` knows. The
 * failures that this actor reports state that nothing ran, and `RouteCall` replaces them where that is not certain.
 */

import { asQueuedCallKey } from '../../../base/common/ids.ts'
import type { QueuedCallKey } from '../../../base/common/ids.ts'
import type { Disposable, Event } from '../../../base/common/lifecycle.ts'
import { DisposableStore } from '../../../base/common/lifecycle.ts'
import type { Failure } from '../../../base/common/resultCode.ts'
import { failure } from '../../../base/common/resultCode.ts'
import type { CallQueueLimits, DropReason, QueueRefusal, RefusedCall } from '../../../core/common/calls/callQueue.ts'
import { CallQueue, capRetryAfterMs, POLL_INTERVAL_MS } from '../../../core/common/calls/callQueue.ts'
import { serviceOutlook } from '../../../core/common/calls/serviceOutlook.ts'
import type { RouteTable } from '../../../core/common/routes/routeConfiguration.ts'
import type { LoadReport } from '../../../core/common/routes/target.ts'
import type { Clock, RandomSource } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { RoutedRequest } from '../routes/routedRequest.ts'
import type { KnownTarget, TargetTable } from '../routes/targetTable.ts'
import { QueueLog } from './queueLog.ts'
import type { QueueClient, QueueLane, TicketQueue } from './queueTicket.ts'
import { QueueTicket } from './queueTicket.ts'
import { targetsWithRoom } from './targetsWithRoom.ts'

export interface CallQueuesServices {
  readonly targets: Pick<TargetTable, 'available' | 'onChange'>
  /** The configuration in force. */
  readonly operator: { readonly routes: RouteTable | undefined, readonly onChange: Event<void> }
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

/** Limits of the calls that targets with room refused, as a share of those of all others. */
const NOT_ACCEPTED_SHARE = 1 / 8
const LANES: readonly QueueLane[] = ['ordinary', 'not-accepted']

/** Retry hint while a service has no target, as for calls that find none on arrival. */
const NO_TARGET_RETRY_AFTER_MS = 300

export class CallQueues implements Disposable, TicketQueue {
  private readonly lanes: Readonly<Record<QueueLane, CallQueue>>
  private readonly log: QueueLog
  /** Tickets of the calls that wait or were handed out. */
  private readonly tickets = new Map<QueuedCallKey, QueueTicket>()
  /** The next poll of each service for which calls wait, by lane. */
  private readonly polls: Readonly<Record<QueueLane, Map<string, { readonly dueAt: number, readonly timer: Disposable }>>> = { ordinary: new Map(), 'not-accepted': new Map() }
  /** Services whose calls are being given their turns. */
  private readonly dispatching = new Set<string>()
  private readonly subscriptions = new DisposableStore()
  private calls = 0
  private isLeaving = false

  constructor (private readonly services: CallQueuesServices, limits: CallQueueLimits) {
    this.lanes = { ordinary: new CallQueue(limits), 'not-accepted': new CallQueue({ calls: Math.ceil(limits.calls * NOT_ACCEPTED_SHARE), bytes: limits.bytes * NOT_ACCEPTED_SHARE }) }
    this.log = new QueueLog(services, this.lanes.ordinary)
    this.subscriptions.add(services.targets.onChange(() => { for (const lane of LANES) for (const service of this.lanes[lane].waitingServices()) this.dispatch(service, lane) }))
    this.subscriptions.add(services.operator.onChange(() => { this.dropInvalid() }))
  }

  /** Number of calls that wait. */
  get waiting (): number {
    return LANES.reduce((sum, lane) => sum + this.lanes[lane].waitingCount(), 0)
  }

  /** Whether calls wait until a target of a service has room. */
  isWaiting (service: string): boolean {
    return this.lanes.ordinary.waitingCount(service) > 0
  }

  /** Whether calls wait until a target of a service has room, or have waited within the last second. */
  isUnderPressure (service: string): boolean {
    return this.lanes.ordinary.hasWaited(service, this.now)
  }

  /** Creates the ticket of a call that has just arrived. */
  admit (request: RoutedRequest, client: QueueClient): QueueTicket {
    return new QueueTicket(asQueuedCallKey(`c${this.calls++}`), request, this.services.clock.monotonic(), client, this)
  }

  /** A call of this host to a target ended. */
  released ({ definition: { service } }: KnownTarget): void {
    this.lanes.ordinary.released(service)
    if (this.isWaiting(service)) this.dispatch(service, 'ordinary')
  }

  /** A target answered a call of this host, and reported its load if it does so. */
  answered ({ definition: { service } }: KnownTarget, load: LoadReport | undefined): void {
    this.lanes.ordinary.answered(service, load === undefined ? undefined : { ahead: load.running + load.waiting, slots: load.slots })
  }

  /** Refuses all waiting calls, and from now on all for which no target has room. */
  stop (): void {
    this.isLeaving = true
    for (const ticket of this.waitingTickets()) this.refuse(ticket, 'leaving', leavingFailure())
  }

  dispose (): void {
    this.subscriptions.dispose()
    this.log.dispose()
    for (const lane of LANES) {
      for (const { timer } of this.polls[lane].values()) timer.dispose()
      this.polls[lane].clear()
    }
  }

  tryRun (ticket: QueueTicket, service: string): boolean {
    this.observe(service)
    if (this.isWaiting(service) || !this.lanes.ordinary.windowAllows(service, this.now)) return false
    return this.lanes.ordinary.offer(ticket.describe(service), this.now, { hasRoom: true, random: 0 }).type === 'run'
  }

  wait (ticket: QueueTicket, service: string, lane: QueueLane): void {
    const { state } = ticket
    switch (state.type) {
      case 'waiting': return undefined
      case 'handed-out':
        if (this.isLeaving) return this.refuse(ticket, 'leaving', leavingFailure())
        if (state.lane === 'ordinary' && lane === 'not-accepted') return this.moveToNotAccepted(ticket, state.service)
        this.lanes[state.lane].putBack(ticket.key, this.now)
        ticket.state = { type: 'waiting', service: state.service, lane: state.lane, since: state.since }
        return this.afterChange(state.service)
      case 'outside': return this.offer(ticket, service, lane)
    }
  }

  private moveToNotAccepted (ticket: QueueTicket, service: string): void {
    this.lanes.ordinary.drop(ticket.key, 'not-accepted', this.now)
    this.forget(ticket)
    this.offer(ticket, service, 'not-accepted')
  }

  accepted (ticket: QueueTicket): void {
    const { state } = ticket
    if (state.type !== 'handed-out') return
    this.lanes[state.lane].started(ticket.key, this.now)
    this.forget(ticket)
    this.services.metrics.timing('queue.wait', state.at - state.since)
  }

  leave (ticket: QueueTicket, reason: DropReason): void {
    const { service, state } = ticket
    if (state.type === 'waiting' && reason === 'limit') this.services.metrics.count('queue.refused.limit')
    if (state.type !== 'outside') this.lanes[state.lane].drop(ticket.key, reason, this.now)
    this.forget(ticket)
    if (service !== undefined) this.afterChange(service)
  }

  private get now (): number {
    return this.services.clock.monotonic()
  }

  private offer (ticket: QueueTicket, service: string, lane: QueueLane): void {
    if (this.isLeaving) return ticket.client.onRefused(leavingFailure())
    const { clock, chance, metrics } = this.services
    this.observe(service)
    const call = ticket.describe(service)
    const offer = this.lanes[lane].offer(call, clock.monotonic(), { hasRoom: false, random: chance.next() })
    if (lane === 'ordinary') this.log.recordOffer(service)
    switch (offer.type) {
      case 'refuse':
        metrics.count(`queue.refused.${offer.why}`)
        this.afterChange(service)
        return ticket.client.onRefused(overloadedFailure(service, offer.why, offer.retryAfterMs))
      case 'run':
      case 'wait':
        metrics.count(lane === 'ordinary' ? 'queue.waited' : 'queue.waited_not_accepted')
        ticket.state = { type: 'waiting', service, lane, since: clock.monotonic() }
        this.tickets.set(ticket.key, ticket)
        return this.afterChange(service)
    }
  }

  /** Gives calls of a service their turns while targets have room and the queue allows further tries. */
  private dispatch (service: string, lane: QueueLane): void {
    if (this.dispatching.has(service)) return
    this.dispatching.add(service)
    this.observe(service)
    if (this.services.targets.available(service).length === 0) this.refuseWithoutTargets(service)
    while (this.maySend(service, lane)) {
      const call = this.lanes[lane].next(service, this.now)
      const ticket = call === undefined ? undefined : this.tickets.get(call.key)
      if (ticket === undefined) break
      this.handOut(ticket)
    }
    this.dispatching.delete(service)
    this.afterChange(service)
  }

  private maySend (service: string, lane: QueueLane): boolean {
    this.observe(service)
    const mayTry = lane === 'ordinary' ? this.lanes.ordinary.windowAllows(service, this.now) : !this.isWaiting(service)
    return mayTry && targetsWithRoom(this.services.targets.available(service)).length > 0
  }

  private handOut (ticket: QueueTicket): void {
    const { state } = ticket
    if (state.type !== 'waiting') return
    const invalid = this.invalidity(ticket)
    if (invalid !== undefined) return this.refuse(ticket, invalid.code === 'unauthenticated' ? 'unauthenticated' : 'stale', invalid)
    ticket.state = { type: 'handed-out', service: state.service, lane: state.lane, since: state.since, at: this.now }
    ticket.client.onTurn()
  }

  /** Refuses the calls that have become impossible, and keeps the timer and the log in step with the queue. */
  private afterChange (service: string): void {
    const { chance } = this.services
    for (const lane of LANES) {
      for (const { key, why, retryAfterMs } of this.lanes[lane].refusals(this.now, () => chance.next())) this.refuseImpossible(key, why, retryAfterMs)
    }
    this.log.recordChange(service)
    for (const lane of LANES) this.schedulePoll(service, lane)
  }

  /** Schedules the next poll of a service. A poll that is due earlier remains, so that changes do not postpone it. */
  private schedulePoll (service: string, lane: QueueLane): void {
    const { clock } = this.services
    const polls = this.polls[lane]
    const queue = this.lanes[lane]
    const scheduled = polls.get(service)
    const dueAt = queue.waitingCount(service) > 0 ? Math.max(this.now, Math.min(this.now + POLL_INTERVAL_MS, queue.earliestLatestStart(service))) : Number.POSITIVE_INFINITY
    if (scheduled !== undefined && scheduled.dueAt <= dueAt && dueAt !== Number.POSITIVE_INFINITY) return
    scheduled?.timer.dispose()
    polls.delete(service)
    if (dueAt === Number.POSITIVE_INFINITY) return
    const timer = clock.after(dueAt - this.now, () => {
      polls.delete(service)
      this.dispatch(service, lane)
    })
    polls.set(service, { dueAt, timer })
  }

  private refuseImpossible (key: QueuedCallKey, why: QueueRefusal, retryAfterMs: RefusedCall['retryAfterMs']): void {
    const ticket = this.tickets.get(key)
    if (ticket?.service === undefined) return
    const { service } = ticket
    this.forget(ticket)
    this.services.metrics.count(`queue.refused.${why}`)
    ticket.client.onRefused(overloadedFailure(service, why, retryAfterMs))
  }

  private refuseWithoutTargets (service: string): void {
    for (const ticket of this.waitingTickets()) {
      if (ticket.service === service) this.refuse(ticket, 'noTarget', failure('noTarget', `no target currently serves route ${ticket.request.route.name}`, { retryAfterMs: this.cappedRetry(ticket, NO_TARGET_RETRY_AFTER_MS) }))
    }
  }

  /** Refuses the waiting calls that the configuration in force no longer permits. */
  private dropInvalid (): void {
    for (const ticket of this.waitingTickets()) {
      const invalid = this.invalidity(ticket)
      if (invalid !== undefined) this.refuse(ticket, invalid.code === 'unauthenticated' ? 'unauthenticated' : 'stale', invalid)
    }
  }

  /** Why the configuration in force does not permit a call; `undefined` if it does. */
  private invalidity (ticket: QueueTicket): Failure | undefined {
    const { request: { route, path, checkAccess, configuration }, service } = ticket
    const { routes } = this.services.operator
    const current = routes === undefined || routes.version <= configuration ? route : routes.findRoute(route.host, path)
    if (current?.name !== route.name || !current.destinations.some((destination) => destination.service === service && destination.weight > 0)) {
      return failure('stale', `a newer configuration no longer sends route ${route.name} to the service for which this call waited`, { retryAfterMs: 0 })
    }
    const denied = checkAccess?.(current)
    return denied?.retryAfterMs === undefined ? denied : { ...denied, retryAfterMs: this.cappedRetry(ticket, denied.retryAfterMs) }
  }

  private cappedRetry ({ arrivedAt, request: { route, waitMs } }: QueueTicket, retryAfterMs: number): number {
    return capRetryAfterMs(retryAfterMs, arrivedAt + Math.min(waitMs, route.timeoutMs) - this.now)
  }

  private refuse (ticket: QueueTicket, reason: DropReason, failed: Failure): void {
    this.services.metrics.count(`queue.refused.${reason}`)
    this.leave(ticket, reason)
    ticket.client.onRefused(failed)
  }

  private observe (service: string): void {
    const outlook = serviceOutlook(this.services.targets.available(service))
    for (const lane of LANES) this.lanes[lane].observe(service, outlook)
  }

  private waitingTickets (): QueueTicket[] {
    return [...this.tickets.values()].filter(({ state }) => state.type === 'waiting')
  }

  private forget (ticket: QueueTicket): void {
    ticket.state = { type: 'outside' }
    this.tickets.delete(ticket.key)
  }
}

function leavingFailure (): Failure {
  return failure('leaving', 'this host is shutting down, and no target has room for the call', { retryAfterMs: 0 })
}

function overloadedFailure (service: string, why: QueueRefusal, retryAfterMs: number): Failure {
  const reason = why === 'late' ? `no target of service ${service} is expected to have room in time` : `the queue of service ${service} is full`
  return failure('overloaded', reason, { retryAfterMs })
}
