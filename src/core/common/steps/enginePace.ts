/**
 * How fast an engine makes events, from what is seen of its streams. Two figures, because engines
 * differ in two ways: some are built slower than others, which stays, and some turn slow for some
 * seconds, which passes. A pace that is only ever the newest one forgets the first between two steps;
 * one that is never forgotten keeps an engine out of use long after it has recovered.
 */

/** Weight of the newest event in the moving mean of the time between events: some ten count. */
const GAP_WEIGHT = 0.1
/** How long the moving mean is believed without another event, in milliseconds: a slow engine that is avoided must get a chance to show that it has recovered. */
const FRESH_MS = 3000
/** Events of a run that says something about the engine: over fewer, a pause of this host's own reading weighs too much. */
const LEAST_EVENTS = 12
/** Runs whose pace is kept: about those of some steps at one engine. */
const KEPT_RUNS = 32
/** Which of the kept runs counts, from the fastest on: most runs are made while the engine is not slowed. */
const OWN_PACE_RANK = 0.25

export class EnginePace {
  private mean: number | undefined
  private noted = Number.NEGATIVE_INFINITY
  private readonly runs: number[] = []
  private ownPace: number | undefined

  /** Notes the time between two events of a stream, in milliseconds. */
  noteGap (gapMs: number, nowMs: number): void {
    const known = this.recent(nowMs)
    this.mean = known === undefined ? gapMs : known + (gapMs - known) * GAP_WEIGHT
    this.noted = nowMs
  }

  /** Notes a whole run: the time from its first event to its last. */
  noteRun (tookMs: number, events: number): void {
    if (events < LEAST_EVENTS) return
    this.runs.push(tookMs / (events - 1))
    if (this.runs.length > KEPT_RUNS) this.runs.shift()
    // Sorted once a run, not at each choice of an engine: every item placed and every look for moves asks all of them.
    const sorted = [...this.runs].sort((a, b) => a - b)
    this.ownPace = sorted[Math.floor(sorted.length * OWN_PACE_RANK)]
  }

  /** Time between two events as of now, in milliseconds; `undefined` where none came lately. */
  recent (nowMs: number): number | undefined {
    return nowMs - this.noted < FRESH_MS ? this.mean : undefined
  }

  /** Time between two events while the engine is not slowed, in milliseconds. */
  get own (): number | undefined {
    return this.ownPace
  }
}

/** An engine whose slowness is not fresh counts as slower than the usual by this at most, so that it is tried again. */
const MOST_REMEMBERED = 1.5

/** How many times the usual time engines need for an event, as of now; 1 for those of which nothing is known. */
export function slownessOf (paces: readonly EnginePace[], nowMs: number): number[] {
  const usual = median(paces.flatMap((pace) => pace.own ?? pace.recent(nowMs) ?? []))
  if (usual === undefined || usual <= 0) return paces.map(() => 1)
  return paces.map((pace) => {
    const recent = pace.recent(nowMs)
    if (recent !== undefined) return recent / usual
    return pace.own === undefined ? 1 : Math.min(MOST_REMEMBERED, pace.own / usual)
  })
}

function median (values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)]
}
