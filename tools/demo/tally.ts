/** Counts of the demo, taken from the records of the trainers, callers, engines and services. */

import { build } from 'hdr-histogram-js'

export interface Tally {
  samples: { submitted: number, delivered: number, deliveredTwice: number, lost: number, tooOld: number, wronglyAttributed: number }
  requests: { asked: number, answeredWhole: number, refusedNotRun: number, unknown: number, brokenByKill: number, wrongAnswers: number }
  stop: { inFlightAtPlannedStop: number, cutByPlannedStop: number }
  onceOnly: { entries: number, ranOnce: number, ranTwice: number, neverRan: number, saidNotRunAndRan: number, unknown: number }
  trainers: { idleShare: number, staleness: Record<string, number> }
  copies: { busyShare: number }
  latencyMs: Record<string, { p50: number, p90: number, p99: number, max: number, count: number }>
}

export function emptyTally (): Tally {
  return {
    samples: { submitted: 0, delivered: 0, deliveredTwice: 0, lost: 0, tooOld: 0, wronglyAttributed: 0 },
    requests: { asked: 0, answeredWhole: 0, refusedNotRun: 0, unknown: 0, brokenByKill: 0, wrongAnswers: 0 },
    stop: { inFlightAtPlannedStop: 0, cutByPlannedStop: 0 },
    onceOnly: { entries: 0, ranOnce: 0, ranTwice: 0, neverRan: 0, saidNotRunAndRan: 0, unknown: 0 },
    trainers: { idleShare: 0, staleness: {} },
    copies: { busyShare: 0 },
    latencyMs: {}
  }
}

/** Latency histograms by name, with a resolution of 0.01 ms. */
export class Latencies {
  private readonly histograms = new Map<string, ReturnType<typeof build>>()

  record (name: string, milliseconds: number): void {
    const histogram = this.histograms.get(name) ?? build({ numberOfSignificantValueDigits: 3 })
    this.histograms.set(name, histogram)
    histogram.recordValue(Math.max(1, Math.round(milliseconds * 100)))
  }

  summary (): Tally['latencyMs'] {
    const at = (histogram: ReturnType<typeof build>, percentile: number): number => histogram.getValueAtPercentile(percentile) / 100
    return Object.fromEntries([...this.histograms].map(([name, histogram]) => [name, {
      p50: at(histogram, 50), p90: at(histogram, 90), p99: at(histogram, 99), max: histogram.maxValue / 100, count: histogram.totalCount
    }]))
  }
}

/** Returns the violated guarantees and the kinds of work that were never done. Empty if the demo succeeded. */
export function findViolations (tally: Tally): string[] {
  const mustBeZero: Record<string, number> = {
    'samples delivered twice': tally.samples.deliveredTwice,
    'samples lost': tally.samples.lost,
    'samples too old': tally.samples.tooOld,
    'samples wrongly attributed': tally.samples.wronglyAttributed,
    'wrong answers': tally.requests.wrongAnswers,
    'requests cut by a planned stop': tally.stop.cutByPlannedStop,
    'once-only entries that ran twice': tally.onceOnly.ranTwice,
    'said not run and ran': tally.onceOnly.saidNotRunAndRan
  }
  const mustBePositive: Record<string, number> = {
    'samples delivered': tally.samples.delivered,
    'requests answered whole': tally.requests.answeredWhole,
    'once-only entries that ran': tally.onceOnly.ranOnce,
    'requests in flight at the planned stop': tally.stop.inFlightAtPlannedStop
  }
  return [
    ...Object.entries(mustBeZero).filter(([, count]) => count !== 0).map(([what, count]) => `${what}: ${count}`),
    ...Object.entries(mustBePositive).filter(([, count]) => count === 0).map(([what]) => `${what}: none`)
  ]
}

/** Formats the tally as a table. */
export function formatTally (tally: Tally): string {
  const lines: string[] = []
  for (const [part, values] of Object.entries(tally)) {
    for (const [name, value] of Object.entries(values as Record<string, unknown>)) {
      lines.push(`${part.padEnd(12)}${name.padEnd(24)}${typeof value === 'object' ? JSON.stringify(value) : String(value)}`)
    }
  }
  return lines.join('\n')
}
