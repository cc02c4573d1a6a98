/**
 * Draws failed requests, runs and steps of a played day from its log, and prints the story of each as
 * `explain` tells it. Whoever reads them checks whether the lines tell the cause; where they do not, the lines
 * are to be mended. Usage: npx tsx tools/days/drawFailures.ts LOGFILE [--count 10] [--seed 1] [--except notFound]
 */

import { readFileSync } from 'node:fs'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { readLine } from '../../src/commandLine/node/explainCommand.ts'
import type { LogLine } from '../../src/core/common/explanation/explanation.ts'
import { explain, formatTimeline } from '../../src/core/common/explanation/explanation.ts'

/** Lines of a story that are printed, at most: a step's is long, and what failed stands near its id. */
const STORY_LINES = 25

/** The id that a failed decision is about: its request, its item, or its step. */
function failedId ({ details }: LogLine): string | undefined {
  if (details.failed !== true) return undefined
  return [details.request, details.item, details.step].find((id): id is string => typeof id === 'string' && id !== '')
}

const options = await yargs(hideBin(process.argv))
  .option('count', { type: 'number', default: 10 })
  .option('seed', { type: 'number', default: 1 })
  .option('except', { type: 'string', array: true, default: [] as string[], describe: 'outcomes that are not drawn' })
  .demandCommand(1, 'the log of a played day')
  .parse()
const lines = readFileSync(String(options._[0]), 'utf8').split('\n').flatMap((text) => readLine(text) ?? [])
const failures = new Map(lines.flatMap((line): [string, LogLine][] => {
  const id = failedId(line)
  return id === undefined || options.except.includes(String(line.details.outcome)) ? [] : [[id, line]]
}))
const ids = [...failures.keys()]
const random = xoroshiro128plus(options.seed)
process.stdout.write(`${ids.length} failed of ${lines.length} lines\n`)
for (let drawn = 0; drawn < options.count && ids.length > 0; drawn++) {
  const [id = ''] = ids.splice(unsafeUniformIntDistribution(0, ids.length - 1, random), 1)
  const story = explain(lines, id)
  const about = story.findIndex((line) => line === failures.get(id))
  const from = Math.max(0, Math.min(about - STORY_LINES / 2, story.length - STORY_LINES))
  process.stdout.write(`\n${drawn + 1}. ${id}: ${failures.get(id)?.what ?? ''}\n${formatTimeline(story.slice(from, from + STORY_LINES))}\n`)
}
