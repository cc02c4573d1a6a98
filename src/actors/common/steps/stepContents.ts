/**
 * Reads and writes the large contents of steps: payloads of items and texts of results. A host caches what it recently wrote or
 * read. Other records are read on demand: at the topic offset that the step or the result names, or, if the store no longer
 * has the history at that offset, among the newest records. A content record is written before the record that refers to it,
 * and never changes.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { success } from '../../../base/common/resultCode.ts'
import type { TopicRange } from '../../../core/common/steps/contentRanges.ts'
import { topicRangesFor } from '../../../core/common/steps/contentRanges.ts'
import { keyPrefix, parsePayloads, parseText, textRecord } from '../../../core/common/steps/contentRecords.ts'
import type { ContentLocation, ItemPayload, ListedResult } from '../../../core/common/steps/step.ts'
import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import { tombstone } from '../../../core/common/keyedRecords.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { KeyedLog, KeyedRecord, NewestPage } from '../../../ports/common/keyedLog.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { PeerContentReader } from './peerContentReader.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import { keyNonce } from '../store/groupAppender.ts'

export interface StepContentsServices {
  readonly log: KeyedLog
  readonly appender: GroupAppender
  readonly peerContent: PeerContentReader
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

/** Reference from a step or a result to a content record. */
export interface ContentReference {
  readonly key: string
  /** Location in the topic, if known. */
  readonly at: ContentLocation | undefined
  /** Address of the host that wrote the record, if known. */
  readonly from?: string | undefined
}

/** Returns the reference to the text of a listed result; `undefined` if it has no text. */
export function textReferenceOf ({ textKey, textAt, textFrom }: ListedResult): ContentReference | undefined {
  return textKey === undefined ? undefined : { key: textKey, at: textAt, from: textFrom }
}

/** Time limit for deleting records that nothing refers to. */
const DELETE_TIMEOUT_MS = 10_000
/** Enough for some twenty steps, and a tenth of a small host's memory. */
const MAX_CACHED_CHARACTERS = 16_000_000
/** Topic ranges read in parallel for one reader. With 50 ms for each call to the store, a step's 60 texts are read within a second. */
const MAX_CONCURRENT_READS = 4
/**
 * Time for which a record counts as missing after the store did not have it. A page of newest records is up to a megabyte,
 * and a caller that waits for a record asks several times a second.
 */
const MISSING_KEY_TTL_MS = 1000

export class StepContents {
  /** Cached values by step and key. Steps are in insertion order. */
  private readonly held = new Map<string, Map<string, string>>()
  private cachedCharacters = 0
  /** Reads in progress by step; each resolves to whether an answer was received. */
  private readonly pendingReads = new Map<string, Promise<boolean>>()
  /** First offset at which the store may still have history. */
  private firstRetainedOffset = 0
  /** Keys that the store did not have, and the monotonic time until which they count as missing. */
  private readonly missing = new Map<string, number>()

  constructor (private readonly services: StepContentsServices) {}

  /** Returns a random part for record keys. */
  nonce (): string {
    return keyNonce(this.services.chance)
  }

  /** Writes records, caches their values, and returns the offset of the first record. */
  async save (records: readonly KeyedRecord[], timeoutMs: number): Promise<Result<number>> {
    const saved = await this.services.appender.append(() => records, timeoutMs)
    if (saved.ok) for (const { key, value } of records) this.cache(stepIdOf(key), key, value)
    return saved
  }

  /** Writes the text of a result and returns the reference to it. */
  async saveText (step: string, item: string, text: string, timeoutMs: number): Promise<Result<ContentReference>> {
    const record = textRecord(step, item, text, this.nonce())
    const saved = await this.save([record], timeoutMs)
    return saved.ok ? success({ key: record.key, at: { offset: saved.value, characters: record.value?.length ?? 0 }, from: this.services.peerContent.ownAddress }) : saved
  }

  /** Reads the payloads of a step's items into the cache. */
  async prefetch (step: FoldedStep): Promise<void> {
    await this.payloadValues(step)
  }

  /** Returns the payloads of a step's items; `undefined` while the store does not deliver them. */
  async payloads (step: FoldedStep): Promise<ReadonlyMap<string, ItemPayload> | undefined> {
    const values = await this.payloadValues(step)
    return values.includes(undefined) ? undefined : parsePayloads(values as string[])
  }

  /** Returns the texts of a step in the order of the references; `undefined` for each text that is currently unavailable. */
  async texts (step: string, references: readonly ContentReference[]): Promise<(string | undefined)[]> {
    const missing = references.filter(({ key }) => this.held.get(step)?.has(key) !== true)
    if (missing.length > 0) await this.readSerialized(step, missing)
    return this.values(step, references.map(({ key }) => key)).map((value) => value === undefined ? undefined : parseText(value))
  }

  /** Returns the values of those records that are in this host's cache. */
  cachedValues (step: string, keys: readonly string[]): Record<string, string> {
    const cached = this.held.get(step)
    return Object.fromEntries(keys.flatMap((key) => {
      const value = cached?.get(key)
      return value === undefined ? [] : [[key, value]]
    }))
  }

  /** Removes a step from the cache. */
  evict (step: string): void {
    for (const value of this.held.get(step)?.values() ?? []) this.cachedCharacters -= value.length
    this.held.delete(step)
  }

  /** Deletes records from the store. */
  async deleteRecords (keys: readonly string[]): Promise<Result<number>> {
    return await this.services.appender.append(() => keys.map(tombstone), DELETE_TIMEOUT_MS)
  }

  private async payloadValues ({ submission, payloadKeys, payloadsAt }: FoldedStep): Promise<(string | undefined)[]> {
    if (!this.hasAll(submission.id, payloadKeys)) await this.readSerialized(submission.id, payloadKeys.map((key, index) => ({ key, at: index === 0 ? payloadsAt : undefined })))
    return this.values(submission.id, payloadKeys)
  }

  private values (step: string, keys: readonly string[]): (string | undefined)[] {
    const cached = this.held.get(step)
    return keys.map((key) => cached?.get(key))
  }

  private hasAll (step: string, keys: readonly string[]): boolean {
    const cached = this.held.get(step)
    return keys.every((key) => cached?.has(key) === true)
  }

  /**
   * Runs one read at a time for each step, as a trainer that restarts and a holder that takes over request the same records.
   * Callers that waited for a read without an answer fail with it. If each of them retried, the last one would wait for the
   * time-outs of all others.
   */
  private async readSerialized (step: string, references: readonly ContentReference[]): Promise<void> {
    const keys = references.map(({ key }) => key)
    for (let pending = this.pendingReads.get(step); pending !== undefined; pending = this.pendingReads.get(step)) {
      if (!await pending || this.hasAll(step, keys)) return
    }
    const reading = this.read(step, references).finally(() => { this.pendingReads.delete(step) })
    this.pendingReads.set(step, reading)
    await reading
  }

  /** Reads records of a step. Returns whether the store or the hosts that wrote the records answered. */
  private async read (step: string, references: readonly ContentReference[]): Promise<boolean> {
    const keys = references.map(({ key }) => key)
    return await this.readStore(step, keys, references.flatMap(({ at }) => at ?? [])) || await this.fetchFromWriters(step, references)
  }

  /** Fetches records that the store did not deliver from the hosts that wrote them. Returns whether all are now cached. */
  private async fetchFromWriters (step: string, references: readonly ContentReference[]): Promise<boolean> {
    const wanted = references.filter(({ key }) => this.held.get(step)?.has(key) !== true)
    const writers = new Set(wanted.flatMap(({ from }) => from ?? []))
    await Promise.all([...writers].map(async (writer) => {
      const keys = wanted.filter(({ from }) => from === writer).map(({ key }) => key)
      for (const [key, value] of await this.services.peerContent.fetch(writer, step, keys)) if (keys.includes(key)) this.cache(step, key, value)
    }))
    return this.hasAll(step, references.map(({ key }) => key))
  }

  private async readStore (step: string, keys: readonly string[], locations: readonly ContentLocation[]): Promise<boolean> {
    const { clock, metrics, stateLog } = this.services
    const now = clock.monotonic()
    if (keys.some((key) => (this.missing.get(key) ?? now) > now)) return true
    metrics.count('steps.contents_read')
    if (!await this.readLocations(step, keys, locations)) return false
    if (this.hasAll(step, keys)) return true
    metrics.count('steps.contents_searched')
    const searched = await this.searchNewest(step, keys)
    if (searched !== 'absent') return searched === 'found'
    for (const key of keys) if (this.held.get(step)?.has(key) !== true) this.missing.set(key, clock.monotonic() + MISSING_KEY_TTL_MS)
    this.removeExpiredMissing()
    stateLog.alarm('contents of a step are missing', { step, wanted: keys.length, held: this.held.get(step)?.size ?? 0 })
    return true
  }

  /** Reads the topic ranges that contain the records, as far as the store still has them, in parallel. Returns whether the store answered. */
  private async readLocations (step: string, keys: readonly string[], locations: readonly ContentLocation[]): Promise<boolean> {
    const wanted = new Set(keys)
    const ranges = topicRangesFor(locations)
    let answered = true
    const readNext = async (): Promise<void> => {
      // Newest first: if the history of one range is gone, that of all earlier ranges is gone too.
      for (let range = ranges.pop(); range !== undefined && answered; range = ranges.pop()) {
        if (range.from >= this.firstRetainedOffset) answered = await this.readRange(step, wanted, range)
      }
    }
    await Promise.all(Array.from({ length: Math.min(MAX_CONCURRENT_READS, ranges.length) }, readNext))
    return answered
  }

  private async readRange (step: string, wanted: ReadonlySet<string>, { from, kilobytes }: TopicRange): Promise<boolean> {
    const page = await this.services.log.readSome(from, kilobytes)
    if (!page.ok) return false
    if (page.value.type === 'forgotten') this.firstRetainedOffset = Math.max(this.firstRetainedOffset, from + 1)
    else for (const { key, value } of page.value.entries) if (wanted.has(key)) this.cache(step, key, value)
    return true
  }

  /** Searches the newest records for keys. The records of a step are adjacent, and all of them are cached, as the next reader needs the others. */
  private async searchNewest (step: string, keys: readonly string[]): Promise<'found' | 'absent' | 'not-answered'> {
    const prefix = keyPrefix(keys[0] ?? '')
    let after = prefix
    for (;;) {
      const page = await this.services.log.newest(after)
      if (!page.ok) return 'not-answered'
      for (const { key, value } of page.value.entries) if (key.startsWith(prefix)) this.cache(step, key, value)
      if (page.value.next === undefined || isPastPrefix(page.value, prefix)) return this.hasAll(step, keys) ? 'found' : 'absent'
      after = page.value.next
    }
  }

  private cache (step: string, key: string, value: string | undefined): void {
    if (value === undefined) return
    const cached = this.held.get(step) ?? new Map<string, string>()
    this.cachedCharacters += value.length - (cached.get(key)?.length ?? 0)
    cached.set(key, value)
    this.held.set(step, cached)
    this.missing.delete(key)
    for (const oldest of this.held.keys()) {
      if (this.cachedCharacters <= MAX_CACHED_CHARACTERS) break
      // A step that is being read stays in the cache until the read has found all records.
      if (oldest !== step && !this.pendingReads.has(oldest)) this.evict(oldest)
    }
  }

  private removeExpiredMissing (): void {
    const now = this.services.clock.monotonic()
    for (const [key, until] of this.missing) if (until <= now) this.missing.delete(key)
  }
}

/** Returns whether a page of newest records extends beyond the keys with this prefix. */
function isPastPrefix ({ entries }: NewestPage, prefix: string): boolean {
  const last = entries.at(-1)
  return last !== undefined && last.key > prefix && !last.key.startsWith(prefix)
}

/** Returns the id of the step that a content record belongs to, from the record's key. */
function stepIdOf (key: string): string {
  return decodeURIComponent(key.split('/')[1] ?? '')
}
