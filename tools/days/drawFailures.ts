/**
 * Draws a random sample of the failed requests, runs and steps from the log of a test day and prints the log lines
 * about each, as `explain` does. The sample is for reviewing whether the log lines reveal the cause of a failure.
 * Usage: npx tsx tools/days/drawFailures.ts LOGFILE [--count 10] [--seed 1] [--except notFound]
 */

import { readFileSync } from 'node:fs'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { parseLogLine } from '../../src/commandLine/node/explainCommand.ts'
import type { LogLine } from '../../src/core/common/explanation/explanation.ts'
import { explain, formatTimeline } from '../../src/core/common/explanation/explanation.ts'

/** Maximum number of lines printed per failure. A step has many lines, and those near the failed decision show its cause. */
const MAX_PRINTED_LINES = 25

/** Returns the id of the request, item or step that a failed decision is about. */
function failedId ({ details }: LogLine): string | undefined {
  if (details.failed !== true) return undefined
  return [details.request, details.item, details.step].find((id): id is string => typeof id === 'string' && id !== '')
}

const options = await yargs(hideBin(process.argv))
  .option('count', { type: 'number', default: 10 })
  .option('seed', { type: 'number', default: 1 })
  .option('except', { type: 'string', array: true, default: [] as string[], describe: 'outcomes that are excluded from the sample' })
  .demandCommand(1, 'the log of a test day is required')
  .parse()
const lines = readFileSync(String(options._[0]), 'utf8').split('\n').flatMap((text) => parseLogLine(text) ?? [])
const failures = new Map(lines.flatMap((line): [string, LogLine][] => {
  const id = failedId(line)
  return id === undefined || options.except.includes(String(line.details.outcome)) ? [] : [[id, line]]
}))
const ids = [...failures.keys()]
const random = xoroshiro128plus(options.seed)
process.stdout.write(`${ids.length} distinct failures in ${lines.length} lines\n`)
for (let drawn = 0; drawn < options.count && ids.length > 0; drawn++) {
  const [id = ''] = ids.splice(unsafeUniformIntDistribution(0, ids.length - 1, random), 1)
  const explanation = explain(lines, id)
  const failureIndex = explanation.findIndex((line) => line === failures.get(id))
  const firstIndex = Math.max(0, Math.min(failureIndex - MAX_PRINTED_LINES / 2, explanation.length - MAX_PRINTED_LINES))
  process.stdout.write(`\n${drawn + 1}. ${id}: ${failures.get(id)?.what ?? ''}\n${formatTimeline(explanation.slice(firstIndex, firstIndex + MAX_PRINTED_LINES))}\n`)
}
