/**
 * Whether this host reaches the store itself. After a failed call nothing more is sent into the
 * silence: short probes find out when the store answers again, and whoever waits hears it at once.
 * Otherwise each waiting call would run into its own time limit, and a host would notice the end of
 * an outage seconds late.
 *
 * A link may also be cut without a word. A call that is late then has the store asked something cheap beside it;
 * if that is not answered either, the store is silent for this host, and no call waits for it any longer. Otherwise a
 * host that holds a duty would lose it while its renewal waits, though other hosts could pass it on: after 1.2 s in a traced
 * case, where a silent store is left after 0.55 s now.
 *
 * If the store answers the probe while the call is still late, the connection of the call is silent by itself. What does no harm when
 * it is sent twice is left then, to be sent again: a configuration was read 2.2 s late, after the call's own limit, and 1.2 s now.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { Emitter } from '../../../base/common/lifecycle.ts'
import type { Clock } from '../../../ports/common/clock.ts'

/** Time between two probes, in milliseconds: what the end of an outage is noticed late at most. */
const PROBE_MS = 150
/** Probes without an answer yet, at most. */
const MOST_PROBES = 3
/** Time for an answer after which a call is late, in milliseconds: fifty times the usual one. */
const LATE_MS = 200
/** Time for the answer to the probe that a late call brings about, in milliseconds; with `LATE_MS` and a renewal's period it ends before a lease does. */
const DOUBT_MS = 350
/** A store is given this many times the answers' mean time, where that is more: one that is slow is not silent. */
const PATIENCE = 1.8
/** Weight of the newest answer in the mean time: a store that turns slow shows it within a few calls. */
const ANSWER_WEIGHT = 0.3

/** Why a call is no longer waited for. */
export type Silence = 'silent-store' | 'silent-connection'

export class StoreReach implements Disposable {
  private readonly regains = new Emitter<void>()
  readonly onRegained = this.regains.event
  private readonly silences = new Emitter<void>()
  /** Fires when the store answered though a call to it is late. */
  private readonly passes = new Emitter<void>()
  private timer: Disposable | undefined
  private probes = 0
  private doubted = false
  private answerMs = 0

  /** @param probe asks the store something cheap; true if it answers within a short time */
  constructor (private readonly clock: Clock, private readonly probe: () => Promise<boolean>) {}

  get reached (): boolean {
    return this.timer === undefined
  }

  /** A call failed: probes until one is answered. */
  failed (): void {
    this.timer ??= this.clock.every(PROBE_MS, () => { this.probeOnce() })
  }

  /**
   * Waits for a call, which the store itself may keep waiting for so long; a silence once the store is silent, or, for a call that may
   * be repeated, its connection alone. What became of a call that is left so is not known.
   */
  async answered<T> (call: Promise<T>, keptMs: number, repeatable: boolean): Promise<T | Silence> {
    const began = this.clock.monotonic()
    return await new Promise((resolve, reject) => {
      const done = (): void => {
        timer.dispose()
        silence.dispose()
        pass.dispose()
      }
      const leave = (silent: Silence): void => {
        done()
        resolve(silent)
      }
      let late = false
      const timer = this.clock.after(keptMs + Math.max(LATE_MS, this.answerMs * PATIENCE), () => {
        late = true
        this.doubt()
      })
      const silence = this.silences.event(() => { leave('silent-store') })
      const pass = this.passes.event(() => { if (late && repeatable) leave('silent-connection') })
      call.then((result) => {
        done()
        if (keptMs === 0) this.noteAnswer(began)
        resolve(result)
      }, (error: unknown) => {
        done()
        reject(error instanceof Error ? error : new Error(String(error)))
      })
    })
  }

  dispose (): void {
    this.timer?.dispose()
    this.regains.dispose()
    this.silences.dispose()
    this.passes.dispose()
  }

  private noteAnswer (began: number): void {
    this.answerMs += (this.clock.monotonic() - began - this.answerMs) * ANSWER_WEIGHT
  }

  /** A call is late: the store is silent unless it answers a probe in time. */
  private doubt (): void {
    if (!this.reached || this.doubted) return
    this.doubted = true
    const began = this.clock.monotonic()
    const timer = this.clock.after(Math.max(DOUBT_MS, this.answerMs * PATIENCE), () => {
      this.doubted = false
      this.failed()
      this.silences.fire()
    })
    this.probe().then((answered) => {
      if (!answered) return
      timer.dispose()
      this.doubted = false
      this.noteAnswer(began)
      this.passes.fire()
    }, () => undefined)
  }

  private probeOnce (): void {
    if (this.probes >= MOST_PROBES) return
    this.probes++
    this.probe().then((answered) => {
      this.probes--
      if (answered) this.regained()
    }, () => { this.probes-- })
  }

  private regained (): void {
    if (this.timer === undefined) return
    this.timer.dispose()
    this.timer = undefined
    this.regains.fire()
  }
}
