/**
 * Counts the requests of each workspace that targets began to run at this host's asking, by windows of the time of day, and hands
 * the counts in soon: what a host has not handed in is lost with it.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import type { HostId, WorkspaceName } from '../../../base/common/ids.ts'
import { windowAt } from '../../../core/common/usage/usagePlan.ts'
import { countsRecord } from '../../../core/common/usage/usageRecords.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { KeyedLog, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import type { StateLog } from '../../../ports/common/observation.ts'

export interface UsageMeterServices {
  readonly log: KeyedLog
  readonly clock: Clock
  readonly stateLog: StateLog
  readonly host: HostId
  /** Hosts that are known, this one included. */
  readonly hosts: () => number
}

export interface UsageMeterSettings {
  readonly windowMs: number
}

/** Time between two looks at what is to be handed in, in milliseconds. */
const LOOK_MS = 250
/** Shortest time between two hand-ins, in milliseconds: about what a host's end loses. */
const LEAST_PAUSE_MS = 1000
/** Time that each host adds to that, in milliseconds: all hosts together stay within a hundred appends a second. */
const PAUSE_A_HOST_MS = 10
/** Records that wait for the store, at most: an outage of an hour at the longest pause. */
const MOST_WAITING = 2000

export class UsageMeter implements Disposable {
  private counted = new Map<number, Map<WorkspaceName, number>>()
  private waiting: KeyedRecord[] = []
  private sequence = 0
  private sending = false
  private isLeaving = false
  private handedInAt = Number.NEGATIVE_INFINITY
  private readonly timer: Disposable

  constructor (private readonly services: UsageMeterServices, private readonly settings: UsageMeterSettings) {
    this.timer = services.clock.every(LOOK_MS, () => { this.look() })
  }

  /** Records that the store has not confirmed, and windows with counts that were not offered to it yet. */
  get backlog (): number {
    return this.waiting.length + this.counted.size
  }

  /** A target began to run a request, so many milliseconds ago. */
  began (workspace: WorkspaceName, agoMs: number): void {
    const window = windowAt(this.services.clock.wall() - agoMs, this.settings.windowMs)
    const counts = this.counted.get(window) ?? new Map<WorkspaceName, number>()
    counts.set(workspace, (counts.get(workspace) ?? 0) + 1)
    this.counted.set(window, counts)
  }

  /** Hands in without pauses from now on: this host is about to exit, and waits for what is not handed in. */
  leave (): void {
    this.isLeaving = true
    this.look()
  }

  dispose (): void {
    this.timer.dispose()
  }

  private look (): void {
    const { clock, hosts } = this.services
    const pauseMs = this.isLeaving ? 0 : Math.max(LEAST_PAUSE_MS, hosts() * PAUSE_A_HOST_MS)
    if (this.sending || this.backlog === 0 || clock.monotonic() - this.handedInAt < pauseMs) return
    this.gather()
    this.handedInAt = clock.monotonic()
    this.handIn().catch((error: unknown) => { this.services.stateLog.alarm('usage not handed in', { error: String(error) }) })
  }

  /** Each count becomes a record with a key of its own, which stays the same when it is offered again. */
  private gather (): void {
    for (const [window, counts] of this.counted) this.waiting.push(countsRecord(window, counts, this.services.host, this.sequence++))
    this.counted = new Map()
    const tooMany = this.waiting.length - MOST_WAITING
    if (tooMany <= 0) return
    this.waiting.splice(0, tooMany)
    this.services.stateLog.alarm('usage not handed in', { records: tooMany, error: 'the store was away for too long' })
  }

  private async handIn (): Promise<void> {
    const records = this.waiting
    this.sending = true
    try {
      const appended = await this.services.log.append(records)
      if (!appended.ok) return
      this.waiting = this.waiting.slice(records.length)
    } finally {
      this.sending = false
    }
  }
}
