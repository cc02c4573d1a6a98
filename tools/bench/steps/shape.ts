/**
 * Parameters of a simulated day: trainer, lengths of items, engines, store, and the frequency of disruptions. Keys of
 * durations end with their unit. A file with an error is rejected as a whole, with the line of each error.
 */

import { readFileSync } from 'node:fs'
import { z } from 'zod'
import type { Result } from '../../../src/base/common/resultCode.ts'
import { failure, resultCodes } from '../../../src/base/common/resultCode.ts'
import { parseWithSchema } from '../../../src/settings/node/readSettings.ts'

const positive = z.number().positive()
const share = z.number().min(0).max(1)
const rate = z.number().nonnegative()

/** Frequency and duration of a kind of disruption. */
const disruption = z.strictObject({
  per_day: rate.describe('mean number of occurrences per day'),
  least_s: rate.describe('shortest duration, in seconds'),
  most_s: rate.describe('longest duration, in seconds')
})

export const dayShapeSchema = z.strictObject({
  day: z.strictObject({
    length_s: positive.describe('period in which steps are submitted, in seconds'),
    all_lost_at_s: positive.optional().describe('time at which all hosts are lost at once, in seconds')
  }),
  trainer: z.strictObject({
    groups: z.int().positive().describe('number of groups per step'),
    group_items: z.int().positive().describe('number of items per group'),
    wanted_share: share.describe('fraction of the groups that the trainer waits for'),
    interval_s: positive.describe('time from one step to the next, in seconds'),
    training_s: rate.describe('time from receiving the wanted groups to the next weight version, in seconds'),
    ahead: z.int().nonnegative().describe('number of steps submitted before their predecessor is finished'),
    due_s: positive.describe('time after submission at which a group is due, in seconds'),
    patience_s: positive.describe('time after which the trainer abandons a step, in seconds'),
    read_s: rate.describe('interval at which results are read, in seconds')
  }),
  items: z.strictObject({
    median_events: positive.describe('median number of events per item'),
    spread: rate.describe('standard deviation of the logarithm of the number of events'),
    long_share: share.describe('fraction of items that are longer by `long_factor`'),
    long_factor: positive.describe('factor by which long items are longer'),
    most_events: z.int().positive().describe('maximum number of events per item'),
    hint_spread: rate.describe("standard deviation of the logarithm of the ratio between the trainer's estimate and the true length")
  }),
  engines: z.strictObject({
    count: z.int().positive().describe('number of engines'),
    slots: z.int().positive().describe('number of items that an engine runs concurrently'),
    event_ms: positive.describe('time per event of an item that runs alone on an engine, in milliseconds'),
    event_ms_a_run: rate.describe('additional time per event for each further concurrent run, in milliseconds'),
    pace_spread: rate.default(0).describe('standard deviation of the logarithm of the time per event between engines, for hardware of different speeds'),
    start_ms: rate.describe('time from the start of a run to its first event, in milliseconds'),
    load_ms: positive.describe('duration of a weight load, in milliseconds'),
    finish_ms: rate.describe('time from the last event of an item until its result is listed, in milliseconds')
  }),
  store_away: disruption.describe('the store is unavailable to all hosts'),
  holder_lost: disruption.describe('the host that runs the steps is lost; the duration is the time until another host resumes them'),
  engine_slow: disruption.extend({ factor: positive.describe('factor by which events take longer') }),
  engine_lost: disruption.describe('an engine stops answering; its runs are resumed on other engines after the silence timeout')
})

export type DayShape = z.infer<typeof dayShapeSchema>

/** Reads the shape of a day from a TOML file. The message of a failure contains the error number, the file and the line of each error. */
export function readDayShape (path: string): Result<DayShape> {
  const refused = (message: string): Result<DayShape> => failure('invalidSettings', `${resultCodes.invalidSettings.number} invalidSettings: ${path}: ${message}`)
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    return refused((error as Error).message)
  }
  const shape = parseWithSchema(text, dayShapeSchema)
  return shape.ok ? shape : refused(shape.message)
}
