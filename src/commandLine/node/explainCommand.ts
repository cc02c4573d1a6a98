/** `explain`: reads log files and prints the story of an id. */

import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { LogLine } from '../../core/common/explanation/explanation.ts'
import { explain, formatStory } from '../../core/common/explanation/explanation.ts'

/** Reads files and gives the story of a request, an item or a step as text. */
export async function explainFromFiles (id: string, files: readonly string[]): Promise<Result<string>> {
  const lines: LogLine[] = []
  for (const file of files) {
    try {
      for await (const text of createInterface({ input: createReadStream(file, 'utf8'), crlfDelay: Number.POSITIVE_INFINITY })) {
        const line = readLine(text)
        if (line !== undefined) lines.push(line)
      }
    } catch (error) {
      return failure('notFound', `${file}: ${(error as Error).message}`)
    }
  }
  const story = explain(lines, id)
  return story.length === 0 ? failure('notFound', `no line of ${lines.length} names ${id}`) : success(formatStory(story))
}

/** Reads a line; anything before its opening brace is passed over, and what is not a log line is `undefined`. */
export function readLine (text: string): LogLine | undefined {
  const begin = text.indexOf('{"time"')
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
