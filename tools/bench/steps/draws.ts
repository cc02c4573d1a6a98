/** Random draws of a simulated day. All are made from the seed before the day begins, so that all policies face the same day. */

import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro'
import type { DayShape } from './shape.ts'

export interface ItemDraw {
  readonly id: string
  readonly group: string
  readonly events: number
  /** Number of events that the trainer announces. */
  readonly estimatedEvents: number
}

export interface Interval {
  readonly fromMs: number
  readonly untilMs: number
}

export interface EngineInterval extends Interval {
  readonly engine: number
}

export interface DayDraws {
  /** New items of each step. Groups carried over from earlier steps replace some of them. */
  readonly steps: readonly (readonly ItemDraw[])[]
  /** Time per event of each engine, as a multiple of the usual time. */
  readonly slowness: readonly number[]
  readonly storeOutages: readonly Interval[]
  readonly holderLosses: readonly Interval[]
  readonly engineSlowdowns: readonly EngineInterval[]
  readonly engineLosses: readonly EngineInterval[]
}

/** Time that a host needs to start and resume the steps after all hosts were lost, in milliseconds. Taken from traces. */
const FULL_RESTART_MS = 2400

export function drawDay (shape: DayShape, seed: number): DayDraws {
  const generator = xoroshiro128plus(seed)
  const uniform = (): number => ((generator.unsafeNext() >>> 0) + 0.5) / 2 ** 32
  const normal = (): number => Math.sqrt(-2 * Math.log(uniform())) * Math.cos(2 * Math.PI * uniform())
  const { day, trainer, items, engines } = shape
  const drawItem = (id: string, group: string): ItemDraw => {
    const lengthFactor = uniform() < items.long_share ? items.long_factor : 1
    const events = Math.min(items.most_events, Math.max(1, Math.round(items.median_events * lengthFactor * Math.exp(items.spread * normal()))))
    return { id, group, events, estimatedEvents: events * Math.exp(items.hint_spread * normal()) }
  }
  const steps = Array.from({ length: Math.ceil(day.length_s / trainer.interval_s) }, (_, step) =>
    Array.from({ length: trainer.groups * trainer.group_items }, (_unused, index) => drawItem(`${step}.${index}`, `${step}.${Math.floor(index / trainer.group_items)}`)))
  const drawIntervals = ({ per_day: perDay, least_s: minSeconds, most_s: maxSeconds }: { per_day: number, least_s: number, most_s: number }): Interval[] => {
    const count = Math.floor(perDay) + (uniform() < perDay % 1 ? 1 : 0)
    return Array.from({ length: count }, () => {
      const fromMs = uniform() * day.length_s * 1000
      return { fromMs, untilMs: fromMs + (minSeconds + uniform() * (maxSeconds - minSeconds)) * 1000 }
    })
  }
  const assignEngines = (list: readonly Interval[]): EngineInterval[] => list.map((interval) => ({ ...interval, engine: Math.floor(uniform() * engines.count) }))
  return {
    steps,
    slowness: Array.from({ length: engines.count }, () => engines.pace_spread === 0 ? 1 : Math.exp(engines.pace_spread * normal())),
    storeOutages: drawIntervals(shape.store_away),
    holderLosses: [...drawIntervals(shape.holder_lost), ...(day.all_lost_at_s === undefined ? [] : [{ fromMs: day.all_lost_at_s * 1000, untilMs: day.all_lost_at_s * 1000 + FULL_RESTART_MS }])],
    engineSlowdowns: assignEngines(drawIntervals(shape.engine_slow)),
    engineLosses: assignEngines(drawIntervals(shape.engine_lost))
  }
}

/** Returns the end of the interval that contains a time, or `undefined` if none does. */
export function endOfInterval (intervals: readonly Interval[], nowMs: number): number | undefined {
  return intervals.find(({ fromMs, untilMs }) => nowMs >= fromMs && nowMs < untilMs)?.untilMs
}
