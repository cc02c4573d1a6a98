/** The place of one call in the call queue of this host. */

import type { QueuedCallKey } from '../../../base/common/ids.ts'
import type { Failure } from '../../../base/common/resultCode.ts'
import type { DropReason, QueuedCall } from '../../../core/common/calls/callQueue.ts'
import type { RoutedRequest } from '../routes/routedRequest.ts'

/** The call to which a ticket belongs. */
export interface QueueClient {
  /** The call may try the targets of the service for which it waits. */
  readonly onTurn: () => void
  /** The call has left the queue and does not run. */
  readonly onRefused: (failed: Failure) => void
}

/** The queue in which a call waits. Calls that targets refused although they have room wait apart, as they may never be accepted. */
export type QueueLane = 'ordinary' | 'not-accepted'

/** Where a call is, relative to the queue. */
export type TicketState =
  /** It has not been queued, or a target has accepted it. */
  | { readonly type: 'outside' }
  | { readonly type: 'waiting', readonly service: string, readonly lane: QueueLane, readonly since: number }
  /** It tries targets, and none has accepted it yet. */
  | { readonly type: 'handed-out', readonly service: string, readonly lane: QueueLane, readonly since: number, readonly at: number }

/** The operations of the queue on which tickets depend. */
export interface TicketQueue {
  tryRun (ticket: QueueTicket, service: string): boolean
  wait (ticket: QueueTicket, service: string, lane: QueueLane): void
  accepted (ticket: QueueTicket): void
  leave (ticket: QueueTicket, reason: DropReason): void
}

export class QueueTicket {
  state: TicketState = { type: 'outside' }

  constructor (readonly key: QueuedCallKey, readonly request: RoutedRequest, readonly arrivedAt: number, readonly client: QueueClient, private readonly queue: TicketQueue) {}

  /** The service for which the call waits or whose targets it tries; the destination of a queued call is not drawn again. */
  get service (): string | undefined {
    return this.state.type === 'outside' ? undefined : this.state.service
  }

  /** Whether the call may start at a target that has room, without overtaking others. */
  mayStart (service: string): boolean {
    switch (this.state.type) {
      case 'outside': return this.queue.tryRun(this, service)
      case 'waiting': return false
      case 'handed-out': return true
    }
  }

  /** Waits until it is the call's turn. A call that was handed out returns to the head of its queue, unless it changes the queue. */
  wait (service: string, lane: QueueLane): void {
    this.queue.wait(this, service, lane)
  }

  /** A target has not refused the call. */
  accepted (): void {
    if (this.state.type === 'handed-out') this.queue.accepted(this)
  }

  /** The call ends, or continues outside the queue. */
  leave (reason: DropReason): void {
    if (this.state.type !== 'outside') this.queue.leave(this, reason)
  }

  /** Describes the call to the queue. Callers that were refused state the remainder of their limit, so its difference to the route's limit is the age of their first attempt. */
  describe (service: string): QueuedCall {
    const { route, waitMs, workspace, workspacePriority, body } = this.request
    const spentMs = Math.max(0, route.timeoutMs - waitMs)
    return {
      key: this.key,
      service,
      rank: workspacePriority ?? route.priority,
      workspace,
      arrivedAt: this.arrivedAt,
      objectiveAt: this.arrivedAt - spentMs + route.objectiveMs,
      deadlineAt: this.arrivedAt + Math.min(waitMs, route.timeoutMs),
      returned: spentMs >= RETURNED_AFTER_MS,
      bytes: body?.byteLength ?? 0
    }
  }
}

/** Difference to the route's limit from which on a caller counts as returned. Differences below it arise on the way of a first attempt. */
const RETURNED_AFTER_MS = 20
