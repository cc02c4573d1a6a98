/**
 * Detects that a target's process has crashed while requests ran there, and which requests those were.
 * A broken connection alone does not prove a crash: connections are reset, answers are corrupted and idle
 * connections are closed while the process lives. The process has crashed if its address refuses a connection
 * right after the break, or if a later incarnation becomes known or the entry is removed soon after.
 */

import type { Disposable, Event } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import { targetIncarnationId } from '../../../base/common/ids.ts'
import type { RequestFingerprint, TargetIncarnationId } from '../../../base/common/ids.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Fingerprints, RequestContent } from '../../../ports/common/fingerprints.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { Listening, TargetClient } from '../../../ports/common/targetClient.ts'
import type { KnownTarget, TargetTable } from './targetTable.ts'

/** A crashed target process, with the fingerprints of the requests that ran there unanswered and may be the cause. */
export interface TargetCrash {
  readonly instance: TargetIncarnationId
  readonly under: readonly RequestFingerprint[]
}

export interface TargetCrashDetectorServices {
  readonly targets: Pick<TargetTable, 'onGone'>
  readonly client: Pick<TargetClient, 'listens'>
  readonly fingerprints: Fingerprints
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

/** How long after a break a later incarnation or the removal of the entry still confirms a crash; entries are removed after three missed heartbeats. */
const CRASH_CONFIRMATION_WINDOW_MS = 6000
/** Time within which crashes of several targets count as simultaneous, as with the failure of a machine or a rack. */
const SIMULTANEOUS_CRASH_WINDOW_MS = 50
/** Limit of requests named in one log line; more run at one target only if its queue is long. */
const MAX_LOGGED_REQUESTS = 32

/** Tracks one request while it is at a target. */
export interface RunTracker {
  /** The request was answered, refused or abandoned by this host, so it is unrelated to a later crash. */
  finish (): void
  /** The connection broke without an answer; resolves to true if the target's process has crashed. */
  connectionBroke (): Promise<boolean>
}

interface TrackedRun {
  /** `undefined` for a request that is never the cause of a crash. */
  readonly content: RequestContent | undefined
  readonly requestId: string
  /** Monotonic time. */
  readonly beganAt: number
  broken: boolean
}

/** The state of one incarnation of a target that is in use. */
interface WatchedTarget {
  readonly runs: Set<TrackedRun>
  crashed: boolean
  /** Monotonic time of the first break since the target was last seen listening. */
  firstBreakAt: number | undefined
  /** Present while its address is being probed. */
  pendingProbe: Promise<boolean> | undefined
}

export class TargetCrashDetector implements Disposable {
  private readonly watched = new WeakMap<KnownTarget, WatchedTarget>()
  private readonly ends = new Emitter<TargetCrash>()
  /** Monotonic times of the most recent crashes, by the ids of the requests that ran there. */
  private readonly recentCrashes = new Map<string, number>()
  readonly onCrash: Event<TargetCrash> = this.ends.event
  private readonly subscription: Disposable

  constructor (private readonly services: TargetCrashDetectorServices) {
    this.subscription = services.targets.onGone((target) => { if (!target.definition.draining) this.onEntryGone(target) })
  }

  /**
   * Starts tracking a request that is sent to a target.
   * @param content identifies the request among its repeats; `undefined` for items of steps and their scorer calls, which are never the cause of a crash
   */
  track (target: KnownTarget, content: RequestContent | undefined, requestId: string | undefined): RunTracker {
    const watched = this.watchedTarget(target)
    const run: TrackedRun = { content, requestId: requestId ?? '', beganAt: this.services.clock.monotonic(), broken: false }
    watched.runs.add(run)
    return {
      finish: () => { watched.runs.delete(run) },
      connectionBroke: async () => await this.onConnectionBroken(target, watched, run)
    }
  }

  dispose (): void {
    this.subscription.dispose()
    this.ends.dispose()
  }

  private watchedTarget (target: KnownTarget): WatchedTarget {
    const known = this.watched.get(target)
    if (known !== undefined) return known
    const watched: WatchedTarget = { runs: new Set(), crashed: false, firstBreakAt: undefined, pendingProbe: undefined }
    this.watched.set(target, watched)
    target.onRestart(() => { if (watched.runs.size > 0) this.recordCrash(target, watched) })
    return watched
  }

  private async onConnectionBroken (target: KnownTarget, watched: WatchedTarget, run: TrackedRun): Promise<boolean> {
    run.broken = true
    watched.firstBreakAt ??= this.services.clock.monotonic()
    this.services.clock.after(CRASH_CONFIRMATION_WINDOW_MS, () => { watched.runs.delete(run) })
    if (watched.crashed || target.isSuperseded) return this.recordCrash(target, watched)
    watched.pendingProbe ??= this.probe(target, watched)
    return await watched.pendingProbe
  }

  private async probe (target: KnownTarget, watched: WatchedTarget): Promise<boolean> {
    const listening = await this.services.client.listens(target.definition.address).catch((): Listening => 'unknown')
    watched.pendingProbe = undefined
    if (listening === 'yes') watched.firstBreakAt = undefined
    // A process that shuts down as planned stops listening before its last requests are complete.
    return listening === 'no' && !target.definition.draining ? this.recordCrash(target, watched) : watched.crashed
  }

  /** A target that lost only its connection to the store may still be running, so only requests with broken connections count. */
  private onEntryGone (target: KnownTarget): void {
    const watched = this.watched.get(target)
    if (watched === undefined) return
    const brokenRuns = [...watched.runs].filter((run) => run.broken)
    if (brokenRuns.length > 0) this.recordCrash(target, watched, brokenRuns)
  }

  /** By default all requests at the target are affected by its crash, as their connections are broken or about to break. */
  private recordCrash (target: KnownTarget, watched: WatchedTarget, affected: readonly TrackedRun[] = [...watched.runs]): boolean {
    for (const run of affected) watched.runs.delete(run)
    watched.crashed = true
    // A request sent after the first break cannot have caused it: reused connections to a crashed process look intact until they are used.
    const { firstBreakAt: brokeAt = Number.POSITIVE_INFINITY } = watched
    const runs = affected.filter((run) => run.beganAt <= brokeAt && !this.isCountedAlready(run))
    if (runs.length === 0) return true
    const { id, incarnation, service, address } = target.definition
    const crashedInstance = targetIncarnationId(id, incarnation)
    const under = [...new Set(runs.flatMap(({ content }) => content === undefined ? [] : [this.services.fingerprints.of(content)]))]
    this.services.metrics.count('targets.ended')
    this.services.stateLog.decided('target ended under requests', { target: crashedInstance, service, address, requests: runs.slice(0, MAX_LOGGED_REQUESTS).map(({ requestId }) => requestId).join(' '), fingerprints: under.slice(0, MAX_LOGGED_REQUESTS).join(' '), underWay: runs.length })
    if (under.length > 0) this.ends.fire({ instance: crashedInstance, under })
    return true
  }

  /**
   * Whether another target crashed with the same request a moment ago, while this run was in progress. A hedged request is at two targets; a rack
   * failure that takes both would count as two crashes, and a harmless request would be held back until its service has live targets again.
   */
  private isCountedAlready ({ requestId, beganAt }: TrackedRun): boolean {
    const now = this.services.clock.monotonic()
    for (const [id, at] of this.recentCrashes) if (now - at > SIMULTANEOUS_CRASH_WINDOW_MS) this.recentCrashes.delete(id)
    if (requestId === '') return false
    const crashedAt = this.recentCrashes.get(requestId)
    if (crashedAt !== undefined && beganAt < crashedAt) return true
    this.recentCrashes.set(requestId, now)
    return false
  }
}
