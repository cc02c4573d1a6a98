/** `explain` reads log files and prints the story of an id; `losses` ranks what of their steps was late. */

import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { LogLine } from '../../core/common/explanation/explanation.ts'
import { explain, formatTimeline } from '../../core/common/explanation/explanation.ts'
import { formatLosses, analyzeLosses } from '../../core/common/explanation/losses.ts'
import { formatStepSummary, summarizeSteps } from '../../core/common/explanation/stepSummary.ts'

/** Reads files and gives the story of a request, an item or a step as text; that of a step begins with its account. */
export async function explainFromFiles (id: string, files: readonly string[]): Promise<Result<string>> {
  const read = await readFiles(files)
  if (!read.ok) return read
  const lines = read.value
  const story = explain(lines, id)
  if (story.length === 0) return failure('notFound', `no line of ${lines.length} names ${id}`)
  const account = summarizeSteps(lines).find(({ step }) => step === id)
  return success(account === undefined ? formatTimeline(story) : `${formatStepSummary(account)}\n\n${formatTimeline(story)}`)
}

/**
 * Reads files and ranks what was late or missing of their steps, as text. A file that ends within a line is an error:
 * what came after it would be missing from the sums. A host that is killed cuts a line where others go on after it; such
 * lines are passed over.
 */
export async function lossesFromFiles (files: readonly string[]): Promise<Result<string>> {
  const read = await readFiles(files, true)
  if (!read.ok) return read
  const report = analyzeLosses(read.value)
  return report.steps === 0 ? failure('notFound', `no line of ${read.value.length} tells that a step was accepted`) : success(formatLosses(report))
}

/** Reads all log lines and passes over what is none; with `whole`, a file must not end within a line. */
async function readFiles (files: readonly string[], whole = false): Promise<Result<LogLine[]>> {
  const lines: LogLine[] = []
  for (const file of files) {
    let number = 0
    let endsCut = false
    try {
      for await (const text of createInterface({ input: createReadStream(file, 'utf8'), crlfDelay: Number.POSITIVE_INFINITY })) {
        number++
        const line = readLine(text)
        if (line !== undefined) lines.push(line)
        endsCut = line === undefined && text.includes(LINE_BEGIN)
      }
      if (whole && endsCut) return failure('malformed', `${file}:${number}: the file ends within a line`)
    } catch (error) {
      return failure('notFound', `${file}: ${(error as Error).message}`)
    }
  }
  return success(lines)
}

const LINE_BEGIN = '{"time"'

/** Reads a line; anything before its opening brace is passed over, and what is not a log line is `undefined`. */
export function readLine (text: string): LogLine | undefined {
  const begin = text.indexOf(LINE_BEGIN)
  if (begin < 0) return undefined
  let parsed: unknown
  try {
    parsed = JSON.parse(text.slice(begin))
  } catch {
    return undefined
  }
  const { time, host, type, what, ...details } = parsed as Record<string, unknown>
  if (typeof time !== 'string' || typeof host !== 'string' || typeof type !== 'string' || typeof what !== 'string') return undefined
  return { time: Date.parse(time), host, type, what, details }
}
