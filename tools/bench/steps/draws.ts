/** What chance decides of a modelled day: drawn from its seed before the day begins, so that all policies meet the same. */

import { xoroshiro128plus } from 'pure-rand/generator/XoroShiro'
import type { Shape } from './shape.ts'

export interface ModelItem {
  readonly id: string
  readonly group: string
  readonly events: number
  /** What the trainer says, in events. */
  readonly hint: number
}

export interface Interval {
  readonly fromMs: number
  readonly untilMs: number
}

export interface EngineInterval extends Interval {
  readonly engine: number
}

export interface DayDraws {
  /** New items of each step; the groups carried from earlier ones come instead of some. */
  readonly steps: readonly (readonly ModelItem[])[]
  /** How many times the usual time each engine needs for an event. */
  readonly slowness: readonly number[]
  readonly storeAway: readonly Interval[]
  readonly holderLost: readonly Interval[]
  readonly engineSlow: readonly EngineInterval[]
  readonly engineLost: readonly EngineInterval[]
}

/** Time that a host needs to start and to go on with the steps after all were lost, in milliseconds, as seen in traces. */
const ALL_LOST_MS = 2400

export function drawDay (shape: Shape, seed: number): DayDraws {
  const generator = xoroshiro128plus(seed)
  const uniform = (): number => ((generator.unsafeNext() >>> 0) + 0.5) / 2 ** 32
  const normal = (): number => Math.sqrt(-2 * Math.log(uniform())) * Math.cos(2 * Math.PI * uniform())
  const { day, trainer, items, engines } = shape
  const drawItem = (id: string, group: string): ModelItem => {
    const long = uniform() < items.long_share ? items.long_factor : 1
    const events = Math.min(items.most_events, Math.max(1, Math.round(items.median_events * long * Math.exp(items.spread * normal()))))
    return { id, group, events, hint: events * Math.exp(items.hint_spread * normal()) }
  }
  const steps = Array.from({ length: Math.ceil(day.length_s / trainer.interval_s) }, (_, step) =>
    Array.from({ length: trainer.groups * trainer.group_items }, (_unused, index) => drawItem(`${step}.${index}`, `${step}.${Math.floor(index / trainer.group_items)}`)))
  const intervals = ({ per_day: perDay, least_s: least, most_s: most }: { per_day: number, least_s: number, most_s: number }): Interval[] => {
    const count = Math.floor(perDay) + (uniform() < perDay % 1 ? 1 : 0)
    return Array.from({ length: count }, () => {
      const fromMs = uniform() * day.length_s * 1000
      return { fromMs, untilMs: fromMs + (least + uniform() * (most - least)) * 1000 }
    })
  }
  const ofEngines = (list: readonly Interval[]): EngineInterval[] => list.map((interval) => ({ ...interval, engine: Math.floor(uniform() * engines.count) }))
  return {
    steps,
    slowness: Array.from({ length: engines.count }, () => engines.pace_spread === 0 ? 1 : Math.exp(engines.pace_spread * normal())),
    storeAway: intervals(shape.store_away),
    holderLost: [...intervals(shape.holder_lost), ...(day.all_lost_at_s === undefined ? [] : [{ fromMs: day.all_lost_at_s * 1000, untilMs: day.all_lost_at_s * 1000 + ALL_LOST_MS }])],
    engineSlow: ofEngines(intervals(shape.engine_slow)),
    engineLost: ofEngines(intervals(shape.engine_lost))
  }
}

/** End of the interval in which a moment lies; `undefined` where it lies in none. */
export function endOfInterval (intervals: readonly Interval[], nowMs: number): number | undefined {
  return intervals.find(({ fromMs, untilMs }) => nowMs >= fromMs && nowMs < untilMs)?.untilMs
}
