/**
 * Decides how often a host reads the topics that it follows. The cost of a host among many is mostly the number of its calls to
 * the store, and most calls bring nothing that the host needs at once: the holder of the steps' duty renews it several times a
 * second, and targets rewrite their entries with a new counter. A renewal alone completes the pending long poll of every host.
 *
 * Hosts of a small deployment, candidates for the duty, and hosts with a waiting caller read with long polls. Other hosts read
 * the steps and the targets at intervals, without waiting for records. The intervals do not depend on the number of hosts, so
 * neither does the cost of a host. A read that does not wait also detects a silent store sooner than a long poll, as its answer
 * is late after 0.2 s and not after 1.2 s; this makes up for the interval.
 */

import type { HostRanking } from '../duties/dutyOrder.ts'
import { isCandidate } from '../duties/dutyOrder.ts'

/** `waitMs` is how long a long poll waits for records; with intervals, it applies while a caller waits. */
export type FollowPace =
  | { readonly type: 'long-polls', readonly waitMs: number, /** Pause after a read that returned records. */ readonly pauseMs: number }
  | { readonly type: 'at-intervals', readonly waitMs: number, readonly intervalMs: number }

/** Settings of a topic that apply while a host follows it closely. */
export interface ClosePace {
  readonly waitMs: number
  readonly pauseMs: number
}

/**
 * Largest deployment in which all hosts follow all topics closely. There, a draining target receives no new work and a
 * configuration is in force within 2 s; in larger ones within 3 s.
 */
export const MAX_SMALL_DEPLOYMENT_HOSTS = 12
/**
 * What is accepted or listed is known everywhere within a second. Also less than half of the time after which a host that is not a
 * candidate claims the duty of a silent holder, 2.1 s.
 */
export const STEPS_INTERVAL_MS = 900
/** With a silent connection, which is detected after 0.2 s, and the repeated read, a change is known well within 2 s. */
export const TARGETS_INTERVAL_MS = 1500
/**
 * Factor on the wait of a long poll of the operator's topic, which rarely changes. A long poll of 2 s on a silent connection is
 * repeated after 2.2 s, and a configuration must be in force within 3 s.
 */
export const OPERATOR_WAIT_FACTOR = 2

export function stepsPace (own: HostRanking, close: ClosePace): FollowPace {
  return followsClosely(own) ? { type: 'long-polls', ...close } : { type: 'at-intervals', waitMs: close.waitMs, intervalMs: Math.max(close.pauseMs, STEPS_INTERVAL_MS) }
}

/** @param isActive whether this host holds the steps' duty or a caller waits here */
export function targetsPace (own: HostRanking, isActive: boolean, close: ClosePace): FollowPace {
  return isActive || followsClosely(own) ? { type: 'long-polls', ...close } : { type: 'at-intervals', waitMs: close.waitMs, intervalMs: Math.max(close.pauseMs, TARGETS_INTERVAL_MS) }
}

/**
 * Records of operators and trainers are read as soon as they are written, on all hosts. A host that follows the other topics with
 * long polls keeps the short one here too, as it would otherwise detect a silent store later.
 */
export function operatorPace (own: HostRanking, isActive: boolean, { waitMs, pauseMs }: ClosePace): FollowPace {
  return { type: 'long-polls', waitMs: isActive || followsClosely(own) ? waitMs : waitMs * OPERATOR_WAIT_FACTOR, pauseMs }
}

/** Returns the longest time between two reads while a topic is followed at this pace. */
export function longestPauseMs (pace: FollowPace): number {
  switch (pace.type) {
    case 'long-polls': return pace.pauseMs
    case 'at-intervals': return pace.intervalMs
  }
}

function followsClosely (own: HostRanking): boolean {
  return own.hosts <= MAX_SMALL_DEPLOYMENT_HOSTS || isCandidate(own)
}
