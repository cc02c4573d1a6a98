/**
 * Computes which ranges of a topic to read for records whose locations are known. Trainers request texts of a step
 * about 6 times a second, each time from a different host, and only those listed since the previous request;
 * records of concurrent steps are interleaved in the topic.
 *
 * Reading only these ranges loads the shared store with what is requested. Tailing the whole topic on each of 84
 * hosts loads it with 84 times what is written: 701 MB read for 8.3 MB written, against 0.13 MB for ten requested
 * texts (see `test/actors/steps/contentsLoad.test.ts`).
 */

import type { ContentLocation } from './step.ts'

/** A contiguous range of a topic, read in one call. */
export interface TopicRange {
  readonly from: number
  readonly kilobytes: number
}

/** Maximum number of unrequested records between two requested ones that share a read: an extra call costs more than reading them. */
const MAX_GAP_RECORDS = 3
/** Size of a record in addition to its value: length and key. */
const RECORD_OVERHEAD_BYTES = 128
/** Average encoded size of a character, rounded up for most texts. */
const BYTES_PER_CHARACTER = 1.1
const BYTES_PER_KILOBYTE = 1024
/** Maximum size of one read; the store returns no more. */
const MAX_READ_KILOBYTES = 1024

/** Returns the ranges that cover the records at the given locations, in offset order. */
export function topicRangesFor (locations: readonly ContentLocation[]): TopicRange[] {
  const sorted = [...locations].sort((a, b) => a.offset - b.offset)
  const ranges: { from: number, to: number, characters: number, records: number }[] = []
  for (const { offset, characters } of sorted) {
    const last = ranges.at(-1)
    if (last !== undefined && offset - last.to <= MAX_GAP_RECORDS + 1) {
      last.to = offset
      last.characters += characters
      last.records++
    } else {
      ranges.push({ from: offset, to: offset, characters, records: 1 })
    }
  }
  return ranges.map(({ from, to, characters, records }) => {
    const recordsPerLocation = (to - from + 1) / records
    const bytes = recordsPerLocation * (characters * BYTES_PER_CHARACTER + records * RECORD_OVERHEAD_BYTES)
    return { from, kilobytes: Math.min(MAX_READ_KILOBYTES, Math.ceil(bytes / BYTES_PER_KILOBYTE)) }
  })
}
