/**
 * Which parts of a topic to read for records whose places are known. Load pattern: trainers ask some 6 times
 * a second for texts of a step, each time at another host, and want those that were listed since; texts of
 * steps that run side by side stand between each other. Reading just these costs a store that all hosts share what is
 * asked for; following the topic at 84 hosts cost it 84 times what was written (701 MB read of 8.3 MB in
 * `test/actors/steps/contentsLoad.test.ts`; 0.13 MB since, for ten texts that are asked for).
 */

import type { ContentPlace } from './step.ts'

/** A stretch of a topic. */
export interface TopicStretch {
  readonly from: number
  readonly kilobytes: number
}

/** Records that nobody wants between two that are read in one call, at most: a call costs more than reading them. */
const MOST_BETWEEN = 3
/** Bytes of a record beside its value: length, key. */
const RECORD_EXTRA_BYTES = 128
/** Bytes that a character takes in most texts, with some to spare. */
const CHARACTER_BYTES = 1.1
const KILOBYTE = 1024
/** Kilobytes of one call, at most: the store gives no more. */
const MOST_KILOBYTES = 1024

/** Stretches that hold what stands at these places, in their order. */
export function stretchesOf (places: readonly ContentPlace[]): TopicStretch[] {
  const sorted = [...places].sort((a, b) => a.offset - b.offset)
  const stretches: { from: number, to: number, characters: number, records: number }[] = []
  for (const { offset, characters } of sorted) {
    const last = stretches.at(-1)
    if (last !== undefined && offset - last.to <= MOST_BETWEEN + 1) {
      last.to = offset
      last.characters += characters
      last.records++
    } else {
      stretches.push({ from: offset, to: offset, characters, records: 1 })
    }
  }
  return stretches.map(({ from, to, characters, records }) => {
    const share = (to - from + 1) / records
    const bytes = share * (characters * CHARACTER_BYTES + records * RECORD_EXTRA_BYTES)
    return { from, kilobytes: Math.min(MOST_KILOBYTES, Math.ceil(bytes / KILOBYTE)) }
  })
}
