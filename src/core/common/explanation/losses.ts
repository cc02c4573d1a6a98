/**
 * Ranks the causes of late and missing steps in a log. For each late step it determines the part of its time
 * that exceeded the median the most, and the disturbance that occurred in the meantime. A step is late if its
 * wanted groups were listed after they were due. The report also contains how much later than undisturbed ones
 * the following steps were submitted, as a trainer that waits propagates its delay.
 */

import type { LogLine } from './explanation.ts'
import type { StepSummary, StepPart } from './stepSummary.ts'
import { timeBreakdown, summarizeSteps, stepParts } from './stepSummary.ts'

/** Disturbances that can affect a step in progress, most severe first. */
const disturbances = ['store lost', 'holder changed', 'runs broke', 'undisturbed'] as const
export type Disturbance = typeof disturbances[number]

export interface LossRow {
  /** The part of the time that exceeded its median the most; `never` if the wanted groups were not listed. */
  readonly part: StepPart | 'never'
  readonly disturbance: Disturbance
  readonly steps: number
  /** Share of all late steps. */
  readonly share: number
  /** Total time by which the steps were late, in milliseconds. Steps that were never listed add nothing. */
  readonly totalLateMs: number
}

export interface LossReport {
  readonly steps: number
  readonly late: number
  readonly rows: readonly LossRow[]
  /**
   * Time from one step of a model to the next without a delay, and the total time by which steps were submitted later than at this
   * interval, in milliseconds.
   */
  readonly undisturbedIntervalMs: number
  readonly propagatedDelayMs: number
}

interface LateStep {
  readonly part: StepPart | 'never'
  readonly disturbance: Disturbance
  readonly lateMs: number
}

export function analyzeLosses (lines: readonly LogLine[]): LossReport {
  const summaries = summarizeSteps(lines)
  const medians = medianParts(summaries)
  const dueMs = Math.max(0, ...summaries.map((account) => account.dueMs))
  const late = summaries.filter((account) => account.wanted === undefined || account.wanted.time - account.askedAt > dueMs).map((account): LateStep => ({
    part: largestExcessPart(account, medians),
    disturbance: findDisturbance(account, lines),
    lateMs: account.wanted === undefined ? 0 : account.wanted.time - account.askedAt - dueMs
  }))
  return { steps: summaries.length, late: late.length, rows: rankLosses(late), ...computeIntervals(summaries) }
}

function rankLosses (lateSteps: readonly LateStep[]): LossRow[] {
  const rows = new Map<string, LossRow>()
  for (const { part, disturbance, lateMs } of lateSteps) {
    const key = `${part} ${disturbance}`
    const row = rows.get(key)
    const steps = (row?.steps ?? 0) + 1
    rows.set(key, { part, disturbance, steps, share: steps / lateSteps.length, totalLateMs: (row?.totalLateMs ?? 0) + lateMs })
  }
  return [...rows.values()].sort((a, b) => b.steps - a.steps || b.totalLateMs - a.totalLateMs)
}

/** Returns the median of each part over the steps whose wanted groups were listed. */
function medianParts (summaries: readonly StepSummary[]): Map<StepPart, number> {
  const breakdowns = summaries.map(timeBreakdown).filter((parts) => parts !== undefined)
  return new Map(stepParts.map((part) => [part, median(breakdowns.map((parts) => parts[part] ?? 0))]))
}

function largestExcessPart (summary: StepSummary, medians: ReadonlyMap<StepPart, number>): StepPart | 'never' {
  const parts = timeBreakdown(summary)
  if (parts === undefined) return 'never'
  const excess = (part: StepPart): number => (parts[part] ?? 0) - (medians.get(part) ?? 0)
  return stepParts.reduce((largest, part) => excess(part) > excess(largest) ? part : largest)
}

function findDisturbance (summary: StepSummary, lines: readonly LogLine[]): Disturbance {
  const until = summary.wanted?.time ?? summary.endAskedAt ?? Number.POSITIVE_INFINITY
  const holders = new Set(summary.adoptions.map(({ host }) => host))
  const meanwhile = lines.filter(({ time }) => time >= summary.askedAt && time <= until)
  const occurred: Readonly<Record<Disturbance, boolean>> = {
    'store lost': meanwhile.some(({ what, host }) => what === 'store lost' && holders.has(host)),
    'holder changed': summary.adoptions.length > 1,
    'runs broke': meanwhile.some(({ what, details }) => what === 'run ended' && details.step === summary.step && details.failed === true),
    undisturbed: true
  }
  return disturbances.find((disturbance) => occurred[disturbance]) ?? 'undisturbed'
}

/** Computes how much later the next steps of a model were submitted than undisturbed ones. At least a quarter of the steps is assumed to be undisturbed. */
function computeIntervals (summaries: readonly StepSummary[]): { undisturbedIntervalMs: number, propagatedDelayMs: number } {
  const gaps = [...new Set(summaries.map(({ model }) => model))].flatMap((model) => {
    const summariesOfModel = summaries.filter((account) => account.model === model)
    return summariesOfModel.slice(1).map(({ askedAt }, index) => askedAt - (summariesOfModel[index]?.askedAt ?? askedAt))
  })
  const undisturbedIntervalMs = [...gaps].sort((a, b) => a - b)[Math.floor(gaps.length / 4)] ?? 0
  return { undisturbedIntervalMs, propagatedDelayMs: gaps.reduce((sum, gap) => sum + gap - undisturbedIntervalMs, 0) }
}

function median (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0
}

export function formatLosses ({ steps, late, rows, undisturbedIntervalMs, propagatedDelayMs: delayMs }: LossReport): string {
  return [
    `${late} of ${steps} steps late; undisturbed interval between steps ${(undisturbedIntervalMs / 1000).toFixed(1)} s, total delay of steps ${(delayMs / 1000).toFixed(1)} s`,
    ...rows.map(({ part, disturbance, steps: count, share, totalLateMs: lateMs }) => `${String(count).padStart(6)} ${`${Math.round(share * 100)}%`.padStart(5)} ${`${(lateMs / 1000).toFixed(1)} s`.padStart(9)}  ${part}, ${disturbance}`)
  ].join('\n')
}
