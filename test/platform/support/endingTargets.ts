/** Targets whose processes end while they run certain requests, and are back a little later: a new id at the same address. */

import type { Fleet } from './fleet.ts'
import type { RunRecord, TargetOptions, TargetStandIn } from './targetStandIn.ts'

export interface EndedRun {
  readonly target: string
  readonly at: number
}

/** A run that a target began, in any of its lives. */
export interface BegunRun extends RunRecord {
  readonly target: string
}

export interface EndingOptions {
  readonly under: (run: RunRecord) => boolean
  /** Time from the begin of the run to the end of the process, in milliseconds. */
  readonly afterMs: number
  /** Time from the end of a process to the next one's begin, in milliseconds. */
  readonly backAfterMs: number
}

export class EndingTargets {
  /** Ends under the requests that end their targets. */
  readonly ended: EndedRun[] = []
  private stopped = false

  private constructor (private readonly fleet: Fleet, private readonly options: EndingOptions) {}

  static async start (fleet: Fleet, targets: readonly TargetOptions[], options: EndingOptions): Promise<EndingTargets> {
    const ending = new EndingTargets(fleet, options)
    for (const target of targets) await fleet.addTarget(ending.ofLife(target, 0))
    return ending
  }

  /** Runs in the order in which they began. */
  get runs (): BegunRun[] {
    return this.fleet.targets.flatMap(({ options: { id }, runs }) => runs.map((run) => ({ ...run, target: id }))).sort((a, b) => a.at - b.at)
  }

  /** Ends the process of a target for no reason of a request, and has it back later. */
  async end (target: TargetStandIn): Promise<void> {
    await target.kill()
    this.comeBack(target)
  }

  /** No target comes back any more. */
  stop (): void {
    this.stopped = true
  }

  private ofLife (target: TargetOptions, life: number): TargetOptions {
    const { under, afterMs } = this.options
    return {
      ...target,
      id: life === 0 ? target.id : `${target.id}.${life}`,
      ends: {
        under,
        afterMs,
        onEnd: (ended) => {
          this.ended.push({ target: ended.options.id, at: Date.now() })
          this.comeBack(ended)
        }
      }
    }
  }

  private comeBack (ended: TargetStandIn): void {
    const [id = '', life = '0'] = ended.options.id.split('.')
    setTimeout(() => {
      if (this.stopped) return
      ended.leave()
      this.fleet.addTarget(this.ofLife({ ...ended.options, id }, Number(life) + 1), Number(ended.address.split(':')[1])).catch(() => undefined)
    }, this.options.backAfterMs)
  }
}
