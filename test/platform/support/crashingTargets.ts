/** Targets that crash while they run certain requests, and restart shortly afterwards with a new id at the same address. */

import type { Fleet } from './fleet.ts'
import type { RunRecord, TargetOptions, TargetStandIn } from './targetStandIn.ts'

export interface CrashRecord {
  readonly target: string
  readonly at: number
}

/** A run of a target, in any of its incarnations. */
export interface TargetRun extends RunRecord {
  readonly target: string
}

export interface CrashingOptions {
  readonly under: (run: RunRecord) => boolean
  /** Time from the start of the run to the crash, in milliseconds. */
  readonly afterMs: number
  /** Time from a crash to the restart, in milliseconds. */
  readonly restartAfterMs: number
}

export class CrashingTargets {
  /** Crashes caused by requests. */
  readonly ended: CrashRecord[] = []
  private isStopped = false

  private constructor (private readonly fleet: Fleet, private readonly options: CrashingOptions) {}

  static async start (fleet: Fleet, targets: readonly TargetOptions[], options: CrashingOptions): Promise<CrashingTargets> {
    const crashing = new CrashingTargets(fleet, options)
    for (const target of targets) await fleet.addTarget(crashing.optionsOfIncarnation(target, 0))
    return crashing
  }

  /** All runs in the order of their start. */
  get runs (): TargetRun[] {
    return this.fleet.targets.flatMap(({ options: { id }, runs }) => runs.map((run) => ({ ...run, target: id }))).sort((a, b) => a.at - b.at)
  }

  /** Crashes a target for a reason unrelated to requests, and restarts it later. */
  async crash (target: TargetStandIn): Promise<void> {
    await target.kill()
    this.scheduleRestart(target)
  }

  /** Prevents further restarts. */
  stop (): void {
    this.isStopped = true
  }

  private optionsOfIncarnation (target: TargetOptions, incarnation: number): TargetOptions {
    const { under, afterMs } = this.options
    return {
      ...target,
      id: incarnation === 0 ? target.id : `${target.id}.${incarnation}`,
      ends: {
        under,
        afterMs,
        onCrash: (ended) => {
          this.ended.push({ target: ended.options.id, at: Date.now() })
          this.scheduleRestart(ended)
        }
      }
    }
  }

  private scheduleRestart (crashed: TargetStandIn): void {
    const [id = '', incarnation = '0'] = crashed.options.id.split('.')
    setTimeout(() => {
      if (this.isStopped) return
      crashed.deregister()
      this.fleet.addTarget(this.optionsOfIncarnation({ ...crashed.options, id }, Number(incarnation) + 1), Number(crashed.address.split(':')[1])).catch(() => undefined)
    }, this.options.restartAfterMs)
  }
}
