/**
 * Estimates how fast an engine generates events from its observed streams. Two figures are kept because engines
 * differ in two ways: some are permanently slower by design, and some slow down for a few seconds. An estimate
 * from recent events alone loses the permanent difference between two steps; an estimate that never expires keeps
 * an engine out of use long after it has recovered.
 */

/**
 * Time constant of the moving average of event intervals. Weights depend on the age of an event and not on the number of
 * later ones: events that wait for this host and are read together would otherwise count without the time they took.
 */
const INTERVAL_TIME_CONSTANT_MS = 500
/**
 * How long the moving average stays valid without a new event: a slow engine that is avoided must get a chance to
 * show that it has recovered.
 */
const RECENT_INTERVAL_VALIDITY_MS = 3000
/** Minimum number of events for a run to be evaluated: with fewer, a pause in this host's own reading distorts the result. */
const MIN_RUN_EVENTS = 12
/** Number of most recent runs that are evaluated: about those of a few steps on one engine. */
const MAX_RECORDED_RUNS = 32
/** Quantile of the recorded runs, fastest first, that is the baseline: most runs take place while the engine is not slowed down. */
const BASELINE_QUANTILE = 0.25

/** Tracks the event intervals of one engine. */
export class EnginePace {
  /** Sum of the event intervals and number of the events, both weighted by age. */
  private weightedMs = 0
  private weightedEvents = 0
  private updatedAtMs = Number.NEGATIVE_INFINITY
  private readonly runs: number[] = []
  private baselineMs: number | undefined

  /** Records the time between two events of a stream. */
  recordEventInterval (intervalMs: number, nowMs: number): void {
    const decay = Math.exp((this.updatedAtMs - nowMs) / INTERVAL_TIME_CONSTANT_MS)
    this.weightedMs = this.weightedMs * decay + intervalMs
    this.weightedEvents = this.weightedEvents * decay + 1
    this.updatedAtMs = nowMs
  }

  /** Records a complete run by the time from its first event to its last. */
  recordRun (durationMs: number, events: number): void {
    if (events < MIN_RUN_EVENTS) return
    this.runs.push(durationMs / (events - 1))
    if (this.runs.length > MAX_RECORDED_RUNS) this.runs.shift()
    // Sorted once per run and not on each choice of an engine, which queries all engines for every item placed and every
    // check for moves.
    const sorted = [...this.runs].sort((a, b) => a - b)
    this.baselineMs = sorted[Math.floor(sorted.length * BASELINE_QUANTILE)]
  }

  /** Current time between two events; `undefined` if there were none recently. */
  recentIntervalMs (nowMs: number): number | undefined {
    return nowMs - this.updatedAtMs < RECENT_INTERVAL_VALIDITY_MS ? this.weightedMs / this.weightedEvents : undefined
  }

  /** Time between two events while the engine is not slowed down. */
  get baselineIntervalMs (): number | undefined {
    return this.baselineMs
  }
}

/** The slowdown that an engine has reported, and what is left of it. */
export interface EngineSlowdown {
  /** Reported time per unit of work relative to usual (1). */
  readonly slowdown: number
  /** Fraction of the distance from 1 that is still expected; 0 once the report says nothing about the present. */
  readonly weight: number
}

/** Maximum slowness of an engine without recent events, so that it is tried again. */
const MAX_BASELINE_SLOWNESS = 1.5

/**
 * Returns the current event interval of each engine relative to the median; 1 for engines without any data.
 * A reported slowdown counts by its weight and the observed intervals by the rest, as recent intervals already
 * contain the slowdown of the time in which they were observed.
 */
export function relativeSlowness (paces: readonly EnginePace[], nowMs: number, slowdowns: readonly (EngineSlowdown | undefined)[] = []): number[] {
  const typicalMs = median(paces.flatMap((pace) => pace.baselineIntervalMs ?? pace.recentIntervalMs(nowMs) ?? []))
  const isKnown = typicalMs !== undefined && typicalMs > 0
  return paces.map((pace, index) => {
    const observed = isKnown ? observedSlowness(pace, typicalMs, nowMs) : 1
    const reported = slowdowns[index]
    if (reported === undefined || reported.weight === 0) return observed
    const usual = isKnown && pace.baselineIntervalMs !== undefined ? pace.baselineIntervalMs / typicalMs : 1
    return usual * reported.slowdown * reported.weight + observed * (1 - reported.weight)
  })
}

function observedSlowness (pace: EnginePace, typicalMs: number, nowMs: number): number {
  const recentMs = pace.recentIntervalMs(nowMs)
  if (recentMs !== undefined) return recentMs / typicalMs
  return pace.baselineIntervalMs === undefined ? 1 : Math.min(MAX_BASELINE_SLOWNESS, pace.baselineIntervalMs / typicalMs)
}

function median (values: readonly number[]): number | undefined {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(sorted.length / 2)]
}
