/** Writes the results of an experiment to reports/: its figures as JSON and one plot as SVG. */

import { mkdirSync, writeFileSync } from 'node:fs'
import { cpus, totalmem } from 'node:os'
import type { TopLevelSpec } from 'vega-lite'
import { compile } from 'vega-lite'
import { View, parse } from 'vega'

export interface PlotPoint {
  readonly series: string
  readonly x: number | string
  readonly y: number
}

export interface Experiment {
  readonly name: string
  readonly figures: unknown
  readonly plot?: { readonly title: string, readonly x: string, readonly y: string, readonly mark: 'bar' | 'line', readonly points: readonly PlotPoint[] }
}

export async function writeExperiment (experiment: Experiment): Promise<void> {
  mkdirSync('reports', { recursive: true })
  const machine = { cores: cpus().length, memoryGigabytes: Math.round(totalmem() / 2 ** 30), node: process.version }
  writeFileSync(`reports/${experiment.name}.json`, JSON.stringify({ name: experiment.name, at: new Date().toISOString(), machine, figures: experiment.figures }, undefined, 2))
  if (experiment.plot !== undefined) writeFileSync(`reports/${experiment.name}.svg`, await renderPlot(experiment.plot))
}

async function renderPlot (plot: NonNullable<Experiment['plot']>): Promise<string> {
  const nominal = plot.points.some(({ x }) => typeof x === 'string')
  const spec: TopLevelSpec = {
    title: plot.title,
    width: 480,
    height: 300,
    data: { values: [...plot.points] },
    mark: plot.mark === 'line' ? { type: 'line', point: true } : { type: 'bar' },
    encoding: {
      x: { field: 'x', type: nominal ? 'nominal' : 'quantitative', title: plot.x },
      y: { field: 'y', type: 'quantitative', title: plot.y },
      color: { field: 'series', type: 'nominal' },
      ...(plot.mark === 'bar' ? { xOffset: { field: 'series' } } : {})
    }
  }
  return await new View(parse(compile(spec).spec), { renderer: 'none' }).toSVG()
}

/** Returns the median, minimum and maximum of several runs. */
export function spread (values: readonly number[]): { median: number, least: number, most: number } {
  const sorted = [...values].sort((a, b) => a - b)
  const roundToThousandths = (value: number | undefined): number => Math.round((value ?? Number.NaN) * 1000) / 1000
  return { median: roundToThousandths(sorted[Math.floor(sorted.length / 2)]), least: roundToThousandths(sorted[0]), most: roundToThousandths(sorted.at(-1)) }
}
