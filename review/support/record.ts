/** Writes what a case sent, was answered and saw run to `record.txt` in the folder of the case. */

import { createWriteStream } from 'node:fs'
import type { WriteStream } from 'node:fs'

export class Record {
  private readonly stream: WriteStream
  private readonly startedAt = Date.now()

  constructor (path: string) {
    this.stream = createWriteStream(path)
  }

  /** Milliseconds since the start of the case. */
  get now (): number {
    return Date.now() - this.startedAt
  }

  write (line: string): void {
    this.stream.write(`${String(this.now).padStart(6)} ${line}\n`)
  }

  async close (): Promise<void> {
    await new Promise<void>((resolve) => { this.stream.end(() => { resolve() }) })
  }
}

/** Whether the case runs with its disruption. */
export const isTroubled = process.env['TROUBLE'] !== '0'

export async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, Math.max(0, milliseconds)))
}

/** Exit statuses of a case. */
const EXIT_HELD = 0
const EXIT_BROKEN = 1
const EXIT_NOT_RUN = 2

/** Runs a case and exits with its verdict. The case returns the lines that show the broken rule; none if it held. */
export async function runCase (path: string, play: (record: Record, cleanUp: (task: () => Promise<void>) => void) => Promise<readonly string[]>): Promise<void> {
  const record = new Record(path)
  const tasks: (() => Promise<void>)[] = []
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { process.exit(EXIT_NOT_RUN) })
  let status = EXIT_NOT_RUN
  try {
    const broken = await play(record, (task) => { tasks.push(task) })
    for (const line of broken) record.write(`BROKEN ${line}`)
    record.write(broken.length === 0 ? 'verdict: the rule held' : `verdict: the rule was broken (${broken.length})`)
    status = broken.length === 0 ? EXIT_HELD : EXIT_BROKEN
  } catch (error) {
    record.write(`verdict: the case could not run: ${String((error as Error).stack ?? error)}`)
  }
  for (const task of tasks.reverse()) await task().catch(() => undefined)
  await record.close()
  process.exit(status)
}
