/**
 * The parameters of a modelled day: its trainer, the lengths of items, the engines, the store, and what goes
 * wrong how often. Every key names its unit. A file that has a mistake is refused whole, with its lines.
 */

import { readFileSync } from 'node:fs'
import { z } from 'zod'
import type { Result } from '../../../src/base/common/resultCode.ts'
import { failure, resultCodes } from '../../../src/base/common/resultCode.ts'
import { parseChecked } from '../../../src/settings/node/readSettings.ts'

const positive = z.number().positive()
const share = z.number().min(0).max(1)
const rate = z.number().nonnegative()

/** How often something happens, how long it lasts, and how much of what there is it meets. */
const trouble = z.strictObject({
  per_day: rate.describe('times a day, in the mean'),
  least_s: rate.describe('shortest duration, in seconds'),
  most_s: rate.describe('longest duration, in seconds')
})

export const shapeSchema = z.strictObject({
  day: z.strictObject({
    length_s: positive.describe('time in which steps are asked, in seconds'),
    all_lost_at_s: positive.optional().describe('when all hosts are lost at once, in seconds')
  }),
  trainer: z.strictObject({
    groups: z.int().positive().describe('groups of a step'),
    group_items: z.int().positive().describe('items of a group'),
    wanted_share: share.describe('part of the groups that the trainer waits for'),
    interval_s: positive.describe('time from one step to the next, in seconds'),
    training_s: rate.describe('time from the wanted groups to the next version, in seconds'),
    ahead: z.int().nonnegative().describe('steps that are asked before the one before them is done'),
    due_s: positive.describe('time from a submission until a group counts as late, in seconds'),
    patience_s: positive.describe('time after which the trainer gives a step up, in seconds'),
    read_s: rate.describe('time between two reads of results, in seconds')
  }),
  items: z.strictObject({
    median_events: positive.describe('events of an item, in the median'),
    spread: rate.describe('standard deviation of the logarithm of that number'),
    long_share: share.describe('part of the items that are longer by a factor'),
    long_factor: positive.describe('that factor'),
    most_events: z.int().positive().describe('most events of an item'),
    hint_spread: rate.describe("standard deviation of the logarithm of the trainer's estimate against the truth")
  }),
  engines: z.strictObject({
    count: z.int().positive().describe('engines'),
    slots: z.int().positive().describe('items that an engine runs at once'),
    event_ms: positive.describe('time for an event of an item that runs alone, in milliseconds'),
    event_ms_a_run: rate.describe('what each further run adds to that, in milliseconds'),
    pace_spread: rate.default(0).describe('standard deviation of the logarithm of that time among engines: some are built slower than others'),
    start_ms: rate.describe('time from a start to the first event, in milliseconds'),
    load_ms: positive.describe('time of a change of weights, in milliseconds'),
    finish_ms: rate.describe("time from an item's last event until it is listed, in milliseconds")
  }),
  store_away: trouble.describe('the store answers nobody'),
  holder_lost: trouble.describe('the host that runs the steps is lost; the duration is the time until another one goes on'),
  engine_slow: trouble.extend({ factor: positive.describe('how many times as long an event takes') }),
  engine_lost: trouble.describe('an engine answers nobody; its runs go on elsewhere after the longest silence')
})

export type Shape = z.infer<typeof shapeSchema>

/** Reads the shape of a day from a TOML file; the message of a failure has its number, the file and each mistake's line. */
export function readShape (path: string): Result<Shape> {
  const refused = (message: string): Result<Shape> => failure('invalidSettings', `${resultCodes.invalidSettings.number} invalidSettings: ${path}: ${message}`)
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    return refused((error as Error).message)
  }
  const shape = parseChecked(text, shapeSchema)
  return shape.ok ? shape : refused(shape.message)
}
