/**
 * Days of steps in virtual time, with every decision in force and with one left out after the other, beside what no
 * policy can beat: the same draws for all, so that differences are told by pairs with their standard errors.
 */

import type { Policies, StepOutcome } from './steps/day.ts'
import { allPolicies, ModelDay, SLACK_MS } from './steps/day.ts'
import { drawDay } from './steps/draws.ts'
import { leastGroupMs } from './steps/bound.ts'
import type { Shape } from './steps/shape.ts'
import { readShape } from './steps/shape.ts'
import type { Experiment, Point } from './report.ts'

const DAYS = Number(process.env.DAYS ?? 100)
const SHAPE = process.env.SHAPE ?? 'tools/bench/steps/long-items.toml'
/** The worst steps of a day count as much as all steps together. */
const WORST_STEPS = 2

/** One day as its trainer sees it. */
interface DayFigures {
  /** Part of the wanted groups that was in time, of all steps and of the worst. */
  readonly inTime: number
  readonly worst: number
  /** Mean of both. */
  readonly value: number
  readonly wantedMs: number
  readonly handedOnMs: number
  readonly neverAsked: number
}

export async function measureSteps (): Promise<Experiment> {
  const shape = readShape(SHAPE)
  if (!shape.ok) throw new Error(shape.message)
  const seeds = Array.from({ length: DAYS }, (_, index) => index + 1)
  const play = (policies: Policies): DayFigures[] => seeds.map((seed) => figuresOf(new ModelDay(shape.value, drawDay(shape.value, seed), policies).run()))
  const whole = play(allPolicies)
  const without = (Object.keys(allPolicies) as (keyof Policies)[]).map((name) => ({ name, days: play({ ...allPolicies, [name]: false }) }))
  const rows = [{ name: 'all decisions', days: whole }, ...without.map(({ name, days }) => ({ name: `without ${name}`, days })), { name: 'lower bound', days: seeds.map((seed) => boundOf(shape.value, seed)) }]
  const figures = rows.map(({ name, days }) => ({ name, ...meansOf(days), difference: told(days.map(({ value }, index) => value - (whole[index]?.value ?? 0))) }))
  const points: Point[] = rows.flatMap(({ name, days }) => [{ series: 'all steps', x: name, y: mean(days.map(({ inTime }) => inTime)) }, { series: 'worst steps', x: name, y: mean(days.map(({ worst }) => worst)) }])
  return { name: 'steps', figures: { days: DAYS, shape: SHAPE, rows: figures }, plot: { title: 'Wanted groups in time', x: 'decisions', y: 'share', mark: 'bar', points } }
}

function figuresOf (steps: readonly StepOutcome[]): DayFigures {
  const asked = steps.filter(({ askedMs }) => askedMs !== undefined)
  return dayOf(steps.map(({ inTime }) => inTime), steps.flatMap(({ wantedMs }) => wantedMs ?? []), mean(asked.map(({ askedMs = 0, plannedMs }) => askedMs - plannedMs)), steps.length - asked.length)
}

function boundOf (shape: Shape, seed: number): DayFigures {
  const { trainer } = shape
  const draws = drawDay(shape, seed)
  const wanted = Math.floor(trainer.groups * trainer.wanted_share)
  const steps = draws.steps.map((_, number) => leastGroupMs(shape, draws, number).slice(0, wanted))
  return dayOf(steps.map((times) => times.filter((time) => time <= trainer.due_s * 1000 + SLACK_MS).length / wanted), steps.map((times) => times.at(-1) ?? 0), 0, 0)
}

function dayOf (shares: readonly number[], times: readonly number[], handedOnMs: number, neverAsked: number): DayFigures {
  const inTime = mean(shares)
  const worst = mean([...shares].sort((a, b) => a - b).slice(0, WORST_STEPS))
  return { inTime, worst, value: (inTime + worst) / 2, wantedMs: mean(times), handedOnMs, neverAsked }
}

function meansOf (days: readonly DayFigures[]): Record<string, number> {
  return Object.fromEntries((['inTime', 'worst', 'value', 'wantedMs', 'handedOnMs', 'neverAsked'] as const).map((name) => [name, round(mean(days.map((day) => day[name])))]))
}

/** Mean and standard error. */
function told (values: readonly number[]): string {
  const centre = mean(values)
  const error = Math.sqrt(values.reduce((sum, value) => sum + (value - centre) ** 2, 0) / (values.length - 1) / values.length)
  return `${centre.toFixed(3)} ± ${error.toFixed(3)}`
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length
}

function round (value: number): number {
  return Math.round(value * 1000) / 1000
}
