/**
 * Ablation study of the scheduling policies for steps, simulated in virtual time: all policies enabled, each policy
 * disabled in turn, and a lower bound that no policy can beat. All variants use the same random draws, so differences
 * are reported as paired differences with their standard errors.
 */

import type { Policies, StepOutcome } from './steps/day.ts'
import { allPolicies, DaySimulation, DUE_TOLERANCE_MS } from './steps/day.ts'
import { drawDay } from './steps/draws.ts'
import { minGroupCompletionMs } from './steps/bound.ts'
import type { DayShape } from './steps/shape.ts'
import { readDayShape } from './steps/shape.ts'
import type { Experiment, PlotPoint } from './report.ts'

const DAY_COUNT = Number(process.env.DAYS ?? 100)
const SHAPE_PATH = process.env.SHAPE ?? 'tools/bench/steps/long-items.toml'
/** Number of worst steps of a day. Their mean has the same weight as the mean of all steps. */
const WORST_STEP_COUNT = 2

/** Results of one simulated day from the trainer's point of view. */
interface DayFigures {
  /** Fraction of the wanted groups that were complete in time, over all steps and over the worst steps. */
  readonly inTime: number
  readonly worst: number
  /** Mean of `inTime` and `worst`. */
  readonly value: number
  readonly wantedMs: number
  readonly handedOnMs: number
  readonly neverAsked: number
}

export async function measureSteps (): Promise<Experiment> {
  const shape = readDayShape(SHAPE_PATH)
  if (!shape.ok) throw new Error(shape.message)
  const seeds = Array.from({ length: DAY_COUNT }, (_, index) => index + 1)
  const simulateDays = (policies: Policies): DayFigures[] => seeds.map((seed) => dayFiguresOf(new DaySimulation(shape.value, drawDay(shape.value, seed), policies).run()))
  const baseline = simulateDays(allPolicies)
  const ablations = (Object.keys(allPolicies) as (keyof Policies)[]).map((name) => ({ name, days: simulateDays({ ...allPolicies, [name]: false }) }))
  const rows = [{ name: 'all decisions', days: baseline }, ...ablations.map(({ name, days }) => ({ name: `without ${name}`, days })), { name: 'lower bound', days: seeds.map((seed) => lowerBoundFor(shape.value, seed)) }]
  const figures = rows.map(({ name, days }) => ({ name, ...meanFigures(days), difference: formatMeanWithError(days.map(({ value }, index) => value - (baseline[index]?.value ?? 0))) }))
  const points: PlotPoint[] = rows.flatMap(({ name, days }) => [{ series: 'all steps', x: name, y: mean(days.map(({ inTime }) => inTime)) }, { series: 'worst steps', x: name, y: mean(days.map(({ worst }) => worst)) }])
  return { name: 'steps', figures: { days: DAY_COUNT, shape: SHAPE_PATH, rows: figures }, plot: { title: 'Wanted groups in time', x: 'decisions', y: 'share', mark: 'bar', points } }
}

function dayFiguresOf (steps: readonly StepOutcome[]): DayFigures {
  const submitted = steps.filter(({ submittedMs: askedMs }) => askedMs !== undefined)
  return summarizeDay(steps.map(({ inTime }) => inTime), steps.flatMap(({ wantedMs }) => wantedMs ?? []), mean(submitted.map(({ submittedMs: askedMs = 0, plannedMs }) => askedMs - plannedMs)), steps.length - submitted.length)
}

function lowerBoundFor (shape: DayShape, seed: number): DayFigures {
  const { trainer } = shape
  const draws = drawDay(shape, seed)
  const wantedGroupCount = Math.floor(trainer.groups * trainer.wanted_share)
  const steps = draws.steps.map((_, number) => minGroupCompletionMs(shape, draws, number).slice(0, wantedGroupCount))
  return summarizeDay(steps.map((times) => times.filter((time) => time <= trainer.due_s * 1000 + DUE_TOLERANCE_MS).length / wantedGroupCount), steps.map((times) => times.at(-1) ?? 0), 0, 0)
}

function summarizeDay (inTimeShares: readonly number[], wantedTimesMs: readonly number[], handedOnMs: number, neverAsked: number): DayFigures {
  const inTime = mean(inTimeShares)
  const worst = mean([...inTimeShares].sort((a, b) => a - b).slice(0, WORST_STEP_COUNT))
  return { inTime, worst, value: (inTime + worst) / 2, wantedMs: mean(wantedTimesMs), handedOnMs, neverAsked }
}

function meanFigures (days: readonly DayFigures[]): Record<string, number> {
  return Object.fromEntries((['inTime', 'worst', 'value', 'wantedMs', 'handedOnMs', 'neverAsked'] as const).map((name) => [name, roundToThousandths(mean(days.map((day) => day[name])))]))
}

/** Formats the mean of the values with its standard error. */
function formatMeanWithError (values: readonly number[]): string {
  const average = mean(values)
  const standardError = Math.sqrt(values.reduce((sum, value) => sum + (value - average) ** 2, 0) / (values.length - 1) / values.length)
  return `${average.toFixed(3)} ± ${standardError.toFixed(3)}`
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function roundToThousandths (value: number): number {
  return Math.round(value * 1000) / 1000
}
