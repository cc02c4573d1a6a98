/** Moves between engines, decided from the times at which a host reads events. The host is paused now and then, while its engines go on. */

import { expect } from 'chai'
import { shouldMove } from '../../../src/core/common/steps/engineChoice.ts'
import { EnginePace, relativeSlowness } from '../../../src/core/common/steps/enginePace.ts'

/** Checks for moves of one run on the first of several engines. */
class MoveChecks {
  private readonly paces: readonly EnginePace[]
  private readonly lastReadMs: number[]

  constructor (engines: number) {
    this.paces = Array.from({ length: engines }, () => new EnginePace())
    this.lastReadMs = Array(engines).fill(Number.NaN)
  }

  /** Records the times at which the events of one stream of an engine were read. */
  read (engine: number, timesMs: readonly number[]): void {
    for (const timeMs of timesMs) {
      const lastMs = this.lastReadMs[engine] ?? Number.NaN
      if (!Number.isNaN(lastMs)) this.paces[engine]?.recordEventInterval(timeMs - lastMs, timeMs)
      this.lastReadMs[engine] = timeMs
    }
  }

  /** Returns whether the run, which started long ago, should move to another engine by the current pace of the engines. */
  isMoveProposed (nowMs: number): boolean {
    const [current = 1, ...others] = relativeSlowness(this.paces, nowMs)
    return shouldMove({ slowness: current }, { slowness: Math.min(...others) }, Number.POSITIVE_INFINITY)
  }
}

/** Times at which a host read the events of two engines that generated one each 10 ms, until it was paused. */
const readBeforePause = [
  [16548, 16555, 16565, 16575, 16587, 16599, 16610, 16623, 16633, 16651, 16660, 16670, 16680, 16693, 16700, 16711, 16722, 16732, 16743, 16752, 16762, 16773, 16782, 16792, 16805, 16814, 16825],
  [16548, 16555, 16565, 16575, 16587, 16596, 16610, 16617, 16628, 16638, 16651, 16660, 16670, 16681, 16693, 16702, 16712, 16725, 16737, 16746, 16756, 16766, 16776, 16787, 16798, 16812, 16821, 16831]
] as const
/** End of the pause, after which the events that had arrived were read one engine after the other. */
const PAUSE_END_MS = 17021

describe('after a pause of the host, a run', () => {
  let checks: MoveChecks
  beforeEach(() => {
    checks = new MoveChecks(2)
    readBeforePause.forEach((timesMs, engine) => { checks.read(engine, timesMs) })
  })

  it('stays if only the events of the other engine have been read', () => {
    // Guards against a run that moves to an engine that looks twice as fast: its events were read together after a pause.
    checks.read(1, Array(19).fill(PAUSE_END_MS))
    expect(checks.isMoveProposed(PAUSE_END_MS + 1)).to.equal(false)
  })
})
