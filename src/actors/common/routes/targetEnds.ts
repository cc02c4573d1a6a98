/**
 * Finds out whether a target's process ended while requests ran there, and which ones did. A broken
 * connection alone does not say so: connections are reset, answers are spoiled and idle ones closed
 * while the process lives. It has ended if its address refuses a connection right after the break, or
 * if a later life of it is known or its entry goes soon after.
 */

import type { Disposable, Event } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import { targetLife } from '../../../base/common/ids.ts'
import type { RequestFingerprint, TargetLife } from '../../../base/common/ids.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Fingerprints, RequestContent } from '../../../ports/common/fingerprints.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { TargetClient } from '../../../ports/common/targetClient.ts'
import type { KnownTarget, TargetTable } from './targetTable.ts'

/** A target's process that ended, with the requests that ran there and were not answered. */
export interface TargetEnd {
  readonly life: TargetLife
  readonly under: readonly RequestFingerprint[]
}

export interface TargetEndsServices {
  readonly targets: Pick<TargetTable, 'onGone'>
  readonly client: Pick<TargetClient, 'listens'>
  readonly fingerprints: Fingerprints
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

/** How long after a break a later life or the end of the entry still tells what it was, in milliseconds: entries go after three silent heartbeats. */
const DOUBT_MS = 6000
/** Time within which targets end in one moment, in milliseconds: a machine or a rack took them. */
const ONE_MOMENT_MS = 50
/** Requests that a line names at most; more run at one target only where its queue is long. */
const MOST_NAMED = 32

/** One request while it is at a target. */
export interface RunAtTarget {
  /** It was answered, refused or given up here: it has nothing to do with a later end. */
  over (): void
  /** Its connection broke without an answer; true if the target's process has ended. */
  broke (): Promise<boolean>
}

interface Run {
  readonly content: RequestContent
  readonly requestId: string
  /** Monotonic time. */
  readonly beganAt: number
  broken: boolean
}

/** What is known of one life of a target in use. */
interface Watched {
  readonly runs: Set<Run>
  ended: boolean
  /** Monotonic time of the first break since the target was last seen to listen. */
  brokeAt: number | undefined
  /** Present while its address is asked. */
  inquiry: Promise<boolean> | undefined
}

export class TargetEnds implements Disposable {
  private readonly watched = new WeakMap<KnownTarget, Watched>()
  private readonly ends = new Emitter<TargetEnd>()
  /** Requests under the ends of the last moment, by their ids, with its monotonic time. */
  private readonly lastMoment = new Map<string, number>()
  readonly onEnd: Event<TargetEnd> = this.ends.event
  private readonly subscription: Disposable

  constructor (private readonly services: TargetEndsServices) {
    this.subscription = services.targets.onGone((target) => { if (!target.definition.draining) this.entryGone(target) })
  }

  /** Notes that a request is sent to a target. */
  begin (target: KnownTarget, content: RequestContent, requestId: string | undefined): RunAtTarget {
    const watched = this.watch(target)
    const run: Run = { content, requestId: requestId ?? '', beganAt: this.services.clock.monotonic(), broken: false }
    watched.runs.add(run)
    return {
      over: () => { watched.runs.delete(run) },
      broke: async () => await this.broke(target, watched, run)
    }
  }

  dispose (): void {
    this.subscription.dispose()
    this.ends.dispose()
  }

  private watch (target: KnownTarget): Watched {
    const known = this.watched.get(target)
    if (known !== undefined) return known
    const watched: Watched = { runs: new Set(), ended: false, brokeAt: undefined, inquiry: undefined }
    this.watched.set(target, watched)
    target.onRestart(() => { if (watched.runs.size > 0) this.end(target, watched) })
    return watched
  }

  private async broke (target: KnownTarget, watched: Watched, run: Run): Promise<boolean> {
    run.broken = true
    watched.brokeAt ??= this.services.clock.monotonic()
    this.services.clock.after(DOUBT_MS, () => { watched.runs.delete(run) })
    if (watched.ended || target.isOver) return this.end(target, watched)
    watched.inquiry ??= this.inquire(target, watched)
    return await watched.inquiry
  }

  private async inquire (target: KnownTarget, watched: Watched): Promise<boolean> {
    const listening = await this.services.client.listens(target.definition.address)
    watched.inquiry = undefined
    if (listening === 'yes') watched.brokeAt = undefined
    // A process that leaves as planned stops to listen before its last requests are done.
    return listening === 'no' && !target.definition.draining ? this.end(target, watched) : watched.ended
  }

  /** A target that lost its way to the store may live on: only what broke there counts. */
  private entryGone (target: KnownTarget): void {
    const watched = this.watched.get(target)
    if (watched === undefined) return
    const broken = [...watched.runs].filter((run) => run.broken)
    if (broken.length > 0) this.end(target, watched, broken)
  }

  /** By default all requests at the target are under its end: their connections are broken or about to be. */
  private end (target: KnownTarget, watched: Watched, broken: readonly Run[] = [...watched.runs]): boolean {
    for (const run of broken) watched.runs.delete(run)
    watched.ended = true
    // What was sent after a break came too late to cause it: kept connections to a process that has ended look sound until they are used.
    const { brokeAt = Number.POSITIVE_INFINITY } = watched
    const runs = broken.filter((run) => run.beganAt <= brokeAt && !this.wasInLastMoment(run))
    if (runs.length === 0) return true
    const { id, incarnation, service, address } = target.definition
    const life = targetLife(id, incarnation)
    const under = [...new Set(runs.map(({ content }) => this.services.fingerprints.of(content)))]
    this.services.metrics.count('targets.ended')
    this.services.stateLog.decided('target ended under requests', { target: life, service, address, requests: runs.slice(0, MOST_NAMED).map(({ requestId }) => requestId).join(' '), fingerprints: under.slice(0, MOST_NAMED).join(' '), underWay: runs.length })
    this.ends.fire({ life, under })
    return true
  }

  /**
   * Whether another target ended under the same request a moment ago, while this run was under way. A request that is late is at two targets; a rack that
   * takes both would count as two ends, and a request that nothing is wrong with would be held back until its service has sound targets again.
   */
  private wasInLastMoment ({ requestId, beganAt }: Run): boolean {
    const now = this.services.clock.monotonic()
    for (const [id, at] of this.lastMoment) if (now - at > ONE_MOMENT_MS) this.lastMoment.delete(id)
    if (requestId === '') return false
    const endedAt = this.lastMoment.get(requestId)
    if (endedAt !== undefined && beganAt < endedAt) return true
    this.lastMoment.set(requestId, now)
    return false
  }
}
