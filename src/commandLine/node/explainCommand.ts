/** Implements `explain`, which shows the events of an id from log files, and `losses`, which ranks the delays of steps. */

import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { LogLine } from '../../core/common/explanation/explanation.ts'
import { explain, formatTimeline } from '../../core/common/explanation/explanation.ts'
import { formatLosses, analyzeLosses } from '../../core/common/explanation/losses.ts'
import { formatStepSummary, summarizeSteps } from '../../core/common/explanation/stepSummary.ts'

/** Reads log files and formats the events of a request, an item or a step. Those of a step are preceded by a summary of its time. */
export async function explainFromFiles (id: string, files: readonly string[]): Promise<Result<string>> {
  const logLines = await readLogFiles(files)
  if (!logLines.ok) return logLines
  const lines = logLines.value
  const events = explain(lines, id)
  if (events.length === 0) return failure('notFound', `none of ${lines.length} log lines mentions ${id}`)
  const stepAccount = summarizeSteps(lines).find(({ step }) => step === id)
  return success(stepAccount === undefined ? formatTimeline(events) : `${formatStepSummary(stepAccount)}\n\n${formatTimeline(events)}`)
}

/**
 * Reads log files and formats a ranking of late or missing results of steps. A file that ends within a line is an error,
 * as the lines after it would be missing from the totals. A truncated line that is followed by others is skipped, as a
 * killed host leaves one.
 */
export async function lossesFromFiles (files: readonly string[]): Promise<Result<string>> {
  const logLines = await readLogFiles(files, true)
  if (!logLines.ok) return logLines
  const report = analyzeLosses(logLines.value)
  return report.steps === 0 ? failure('notFound', `no line of ${logLines.value.length} tells that a step was accepted`) : success(formatLosses(report))
}

/** Reads all log lines and skips other text. With `rejectTruncated`, a file that ends within a line is an error. */
async function readLogFiles (files: readonly string[], rejectTruncated = false): Promise<Result<LogLine[]>> {
  const lines: LogLine[] = []
  for (const file of files) {
    let lineNumber = 0
    let endsTruncated = false
    try {
      for await (const text of createInterface({ input: createReadStream(file, 'utf8'), crlfDelay: Number.POSITIVE_INFINITY })) {
        lineNumber++
        const line = parseLogLine(text)
        if (line !== undefined) lines.push(line)
        endsTruncated = line === undefined && text.includes(LINE_START)
      }
      if (rejectTruncated && endsTruncated) return failure('malformed', `${file}:${lineNumber}: the file ends within a line`)
    } catch (error) {
      return failure('notFound', `${file}: ${(error as Error).message}`)
    }
  }
  return success(lines)
}

const LINE_START = '{"time"'

/** Parses a log line, ignoring any prefix before its opening brace. Returns `undefined` for other text. */
export function parseLogLine (text: string): LogLine | undefined {
  const start = text.indexOf(LINE_START)
  if (start < 0) return undefined
  let parsed: unknown
  try {
    parsed = JSON.parse(text.slice(start))
  } catch {
    return undefined
  }
  const { time, host, type, what, ...details } = parsed as Record<string, unknown>
  if (typeof time !== 'string' || typeof host !== 'string' || typeof type !== 'string' || typeof what !== 'string') return undefined
  return { time: Date.parse(time), host, type, what, details }
}
