/** Moves between engines, decided from the times at which a host reads events. The host is paused now and then, while its engines go on. */

import { expect } from 'chai'
import { MIN_RUN_ON_SLOW_ENGINE_MS, MoveConfirmation, shouldMove } from '../../../src/core/common/steps/engineChoice.ts'
import { EnginePace, relativeSlowness } from '../../../src/core/common/steps/enginePace.ts'
import { SeededRandom } from '../../soak/seededRandom.ts'

/** Interval between two checks for moves, in milliseconds. */
const CHECK_INTERVAL_MS = 50

/** Checks for moves of one run on the first of several engines. */
class MoveChecks {
  private readonly paces: readonly EnginePace[]
  private readonly lastReadMs: number[]
  private readonly confirmation = new MoveConfirmation<string>()

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

  /** Checks whether the run moves, as it does if a second check confirms the first. */
  moves (nowMs: number): boolean {
    return this.confirmation.confirm(this.isMoveProposed(nowMs) ? ['run'] : [], nowMs).length > 0
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

  it('stays if only the first event of its own engine has been read', () => {
    // Guards against a run that moves because a check takes place between the readings of events that arrived during a pause.
    checks.read(0, [PAUSE_END_MS])
    expect(checks.moves(PAUSE_END_MS + 1)).to.equal(false)
    const timesMs = Array.from({ length: 5 }, (_, index) => PAUSE_END_MS + 10 * (index + 1))
    checks.read(0, [...Array(18).fill(PAUSE_END_MS + 1), ...timesMs])
    checks.read(1, [...Array(19).fill(PAUSE_END_MS + 1), ...timesMs])
    expect(checks.moves(PAUSE_END_MS + 1 + CHECK_INTERVAL_MS)).to.equal(false)
  })
})

describe('a run on a host that is paused for 50 to 300 ms twice per second', () => {
  // Load: one run each on two engines. Events arrive during a pause and are read after it, engine by engine, and a check may
  // take place after the first event, or between the engines.
  const DURATION_MS = 4000
  const SLOWED_AT_MS = 1500

  interface Load {
    readonly eventMs: number
    /** Factor by which the engine of the run is slower from `SLOWED_AT_MS` on. */
    readonly slowdown: number
  }

  /** Returns when the run moves; `undefined` if it stays. */
  function movedAtMs (seed: number, { eventMs, slowdown }: Load): number | undefined {
    const random = new SeededRandom(seed)
    const checks = new MoveChecks(2)
    const nextEventMs = [random.intBetween(0, eventMs), random.intBetween(0, eventMs)]
    let nextCheckMs = 1000
    let nextPauseMs = random.intBetween(0, 1000)
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs++) {
      if (nowMs >= nextPauseMs) {
        nowMs += random.intBetween(50, 300)
        nextPauseMs = nowMs + random.intBetween(0, 1000)
      }
      const isCheckDue = nowMs >= nextCheckMs
      if (isCheckDue) nextCheckMs = nowMs + CHECK_INTERVAL_MS
      const unread = nextEventMs.map((firstMs, engine) => {
        let eventAtMs = firstMs
        let count = 0
        for (; eventAtMs <= nowMs; count++) eventAtMs += eventMs * (engine === 0 && eventAtMs >= SLOWED_AT_MS ? slowdown : 1) * random.intBetween(85, 115) / 100
        nextEventMs[engine] = eventAtMs
        return Array<number>(count).fill(nowMs)
      })
      const first = random.intBetween(0, 1)
      const readBeforeCheck = random.chance(0.5) ? 1 : Number.POSITIVE_INFINITY
      checks.read(first, unread[first]?.slice(0, readBeforeCheck) ?? [])
      if (isCheckDue && checks.moves(nowMs)) return nowMs
      checks.read(first, unread[first]?.slice(readBeforeCheck) ?? [])
      checks.read(1 - first, unread[1 - first] ?? [])
    }
    return undefined
  }

  const seeds = Array.from({ length: 200 }, (_, index) => index + 1)

  for (const eventMs of [10, 46]) {
    it(`stays if the engines are equally fast, with an event each ${eventMs} ms`, () => {
      // Guards against a pace that contains the pauses of the host that reads the events.
      expect(seeds.filter((seed) => movedAtMs(seed, { eventMs, slowdown: 1 }) !== undefined)).to.deep.equal([])
    })

    it(`leaves an engine that becomes three times slower, with an event each ${eventMs} ms`, () => {
      // The mean time on the slow engine, pauses included, has to be shorter than the minimum time of a run on a slow engine.
      const stayedMs = seeds.map((seed) => (movedAtMs(seed, { eventMs, slowdown: 3 }) ?? Number.POSITIVE_INFINITY) - SLOWED_AT_MS)
      expect(stayedMs.reduce((sum, ms) => sum + ms, 0) / seeds.length).to.be.below(MIN_RUN_ON_SLOW_ENGINE_MS)
    })
  }
})
