/**
 * Tracks whether this host reaches the store directly. After a failed call no further calls are
 * sent; short probes detect when the store answers again, and listeners are notified at once.
 * Otherwise each pending call would run into its own timeout, and a host would detect the end of an
 * outage seconds late.
 *
 * A link may also be cut without an error. If a call is late, a cheap probe is sent alongside it. If the probe is not answered either,
 * the store is considered silent for this host and all pending calls are abandoned. Otherwise a host that holds a duty would lose it
 * while the renewal of its lease is pending, though other hosts could relay the renewal: a pending call took 1.2 s to time out, whereas
 * a silent store is abandoned after 0.55 s.
 *
 * If the store answers the probe while the call is still late, only the connection of the call is silent. An idempotent call is then
 * abandoned so that it can be sent again: a configuration is read 1.2 s late instead of 2.2 s, the timeout of the call itself.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import type { Clock } from '../../../ports/common/clock.ts'

/** Interval between probes; it bounds how late the end of an outage is detected. */
const PROBE_INTERVAL_MS = 150
const MAX_PENDING_PROBES = 3
/** Time without an answer after which a call is considered late: fifty times the usual answer time. */
const LATE_CALL_MS = 200
/** Timeout of the probe that a late call triggers. Together with `LATE_CALL_MS` and the renewal period it must be shorter than a lease. */
const PROBE_TIMEOUT_MS = 350
/** Calls and probes may take at least this multiple of the mean answer time, so that a slow store is not taken for a silent one. */
const MEAN_ANSWER_TIME_FACTOR = 1.8
/** Weight of the newest answer in the moving average of the answer time; a store that becomes slow is recognised within a few calls. */
const NEWEST_ANSWER_WEIGHT = 0.3

/** Reason for which a pending call was abandoned. */
export type AbandonReason = 'silent-store' | 'silent-connection'

export class StoreReachability implements Disposable {
  private readonly reconnectedEmitter = new Emitter<void>()
  readonly onRegained = this.reconnectedEmitter.event
  private readonly storeSilentEmitter = new Emitter<void>()
  /** Fires when the store answers a probe while a call is late. */
  private readonly probeAnsweredEmitter = new Emitter<void>()
  private timer: Disposable | undefined
  private pendingProbes = 0
  private checkingLateCall = false
  private meanAnswerMs = 0

  /** @param probe sends a cheap call to the store; resolves to true if the store answers within a short time */
  constructor (private readonly clock: Clock, private readonly probe: () => Promise<boolean>) {}

  get isReachable (): boolean {
    return this.timer === undefined
  }

  /** Reports a failed call; starts probing until a probe is answered. */
  reportFailure (): void {
    this.timer ??= this.clock.every(PROBE_INTERVAL_MS, () => { this.probeOnce() })
  }

  /**
   * Waits for a call that the store itself may hold for up to `serverWaitMs`. Resolves to the reason if the call is abandoned: the store is
   * silent or, for an idempotent call, only its connection is. The outcome of an abandoned call is unknown.
   */
  async awaitAnswer<T> (call: Promise<T>, serverWaitMs: number, idempotent: boolean): Promise<T | AbandonReason> {
    const startedAt = this.clock.monotonic()
    return await new Promise((resolve, reject) => {
      const disposeAll = (): void => {
        timer.dispose()
        storeSilentListener.dispose()
        probeAnsweredListener.dispose()
      }
      const abandon = (reason: AbandonReason): void => {
        disposeAll()
        resolve(reason)
      }
      let late = false
      const timer = this.clock.after(serverWaitMs + Math.max(LATE_CALL_MS, this.meanAnswerMs * MEAN_ANSWER_TIME_FACTOR), () => {
        late = true
        this.checkLateCall()
      })
      const storeSilentListener = this.storeSilentEmitter.event(() => { abandon('silent-store') })
      const probeAnsweredListener = this.probeAnsweredEmitter.event(() => { if (late && idempotent) abandon('silent-connection') })
      call.then((result) => {
        disposeAll()
        if (serverWaitMs === 0) this.noteAnswerTime(startedAt)
        resolve(result)
      }, (error: unknown) => {
        disposeAll()
        reject(error instanceof Error ? error : new Error(String(error)))
      })
    })
  }

  dispose (): void {
    this.timer?.dispose()
    this.reconnectedEmitter.dispose()
    this.storeSilentEmitter.dispose()
    this.probeAnsweredEmitter.dispose()
  }

  private noteAnswerTime (startedAt: number): void {
    this.meanAnswerMs += (this.clock.monotonic() - startedAt - this.meanAnswerMs) * NEWEST_ANSWER_WEIGHT
  }

  /** Probes the store for a late call; the store is considered silent unless it answers in time. */
  private checkLateCall (): void {
    if (!this.isReachable || this.checkingLateCall) return
    this.checkingLateCall = true
    const startedAt = this.clock.monotonic()
    const timer = this.clock.after(Math.max(PROBE_TIMEOUT_MS, this.meanAnswerMs * MEAN_ANSWER_TIME_FACTOR), () => {
      this.checkingLateCall = false
      this.reportFailure()
      this.storeSilentEmitter.fire()
    })
    this.probe().then((answered) => {
      if (!answered) return
      timer.dispose()
      this.checkingLateCall = false
      this.noteAnswerTime(startedAt)
      this.probeAnsweredEmitter.fire()
    }, () => undefined)
  }

  private probeOnce (): void {
    if (this.pendingProbes >= MAX_PENDING_PROBES) return
    this.pendingProbes++
    this.probe().then((answered) => {
      this.pendingProbes--
      if (answered) this.markReconnected()
    }, () => { this.pendingProbes-- })
  }

  private markReconnected (): void {
    if (this.timer === undefined) return
    this.timer.dispose()
    this.timer = undefined
    this.reconnectedEmitter.fire()
  }
}
