/**
 * What is large in steps: payloads of items and texts of results. A host holds what it wrote or read
 * lately. The rest it reads when somebody asks: at the place that the step or the result names, and where the store has no
 * history of it any more, among the newest records. A record here is written before the one that
 * names it, and never changes.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { success } from '../../../base/common/resultCode.ts'
import type { TopicRange } from '../../../core/common/steps/contentRanges.ts'
import { topicRangesFor } from '../../../core/common/steps/contentRanges.ts'
import { keyPrefix, parsePayloads, parseText, textRecord } from '../../../core/common/steps/contentRecords.ts'
import type { ContentLocation, ItemPayload, ListedResult } from '../../../core/common/steps/step.ts'
import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import { tombstone } from '../../../core/common/keyedRecords.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { KeyedLog, KeyedRecord, NewestPage } from '../../../ports/common/keyedLog.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { ContentHolders } from './contentHolders.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import { keyNonce } from '../store/groupAppender.ts'

export interface StepContentsServices {
  readonly log: KeyedLog
  readonly appender: GroupAppender
  readonly holders: ContentHolders
  readonly clock: Clock
  readonly chance: Chance
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

/** A record of contents, as steps and results name it. */
export interface ContentReference {
  readonly key: string
  /** Its place, if that is known. */
  readonly at: ContentLocation | undefined
  /** Address of the host that wrote it, if that is known. */
  readonly from?: string | undefined
}

/** The text of a listed result; `undefined` where it has none. */
export function referenceOf ({ textKey, textAt, textFrom }: ListedResult): ContentReference | undefined {
  return textKey === undefined ? undefined : { key: textKey, at: textAt, from: textFrom }
}

/** How long the removal of records that nobody names is offered to the store, in milliseconds. */
const DROP_MS = 10_000
/** Characters that are held of all steps, at most: some twenty steps, a tenth of a small host's memory. */
const HELD_CHARACTERS = 16_000_000
/** Stretches of a topic that are read at once for one reader: a store that takes 50 ms a call is asked for a step's 60 texts within a second. */
const READS_AT_ONCE = 4
/**
 * How long a record that the store does not have is taken to be missing without another question, in milliseconds. A
 * page of newest records is up to a megabyte; whoever waits for a record asks several times a second.
 */
const MISSING_MS = 1000

export class StepContents {
  /** Values held, by step and key; the steps in the order in which they came. */
  private readonly held = new Map<string, Map<string, string>>()
  private heldCharacters = 0
  /** Steps whose records are being read from the store; whether the store answered. */
  private readonly reading = new Map<string, Promise<boolean>>()
  /** First offset of which the store may still have the history. */
  private firstKept = 0
  /** Keys that the store did not have, with the monotonic time until which they count as missing. */
  private readonly missing = new Map<string, number>()

  constructor (private readonly services: StepContentsServices) {}

  /** A random part for keys. */
  nonce (): string {
    return keyNonce(this.services.chance)
  }

  /** Writes records and gives the offset of the first; what they hold is known here at once. */
  async save (records: readonly KeyedRecord[], timeoutMs: number): Promise<Result<number>> {
    const saved = await this.services.appender.append(() => records, timeoutMs)
    if (saved.ok) for (const { key, value } of records) this.hold(stepOf(key), key, value)
    return saved
  }

  /** Writes the text of a result and tells where it stands; offers it to the store for so long. */
  async saveText (step: string, item: string, text: string, timeoutMs: number): Promise<Result<ContentReference>> {
    const record = textRecord(step, item, text, this.nonce())
    const saved = await this.save([record], timeoutMs)
    return saved.ok ? success({ key: record.key, at: { offset: saved.value, characters: record.value?.length ?? 0 }, from: this.services.holders.ownAddress }) : saved
  }

  /** Reads what a step's items need, so that it is held when somebody asks. */
  async prepare (step: FoldedStep): Promise<void> {
    await this.payloadValues(step)
  }

  /** Payloads of a step's items; `undefined` while the store does not give them. */
  async payloads (step: FoldedStep): Promise<ReadonlyMap<string, ItemPayload> | undefined> {
    const values = await this.payloadValues(step)
    return values.includes(undefined) ? undefined : parsePayloads(values as string[])
  }

  /** Texts of a step at these places, in order; those that the store does not give now are absent. */
  async texts (step: string, references: readonly ContentReference[]): Promise<(string | undefined)[]> {
    const missing = references.filter(({ key }) => this.held.get(step)?.has(key) !== true)
    if (missing.length > 0) await this.readOnce(step, missing)
    return this.values(step, references.map(({ key }) => key)).map((value) => value === undefined ? undefined : parseText(value))
  }

  /** Values of these records that this host holds. */
  heldValues (step: string, keys: readonly string[]): Record<string, string> {
    const held = this.held.get(step)
    return Object.fromEntries(keys.flatMap((key) => {
      const value = held?.get(key)
      return value === undefined ? [] : [[key, value]]
    }))
  }

  /** Forgets a step here. */
  forget (step: string): void {
    for (const value of this.held.get(step)?.values() ?? []) this.heldCharacters -= value.length
    this.held.delete(step)
  }

  /** Removes records from the store. */
  async drop (keys: readonly string[]): Promise<Result<number>> {
    return await this.services.appender.append(() => keys.map(tombstone), DROP_MS)
  }

  private async payloadValues ({ submission, payloadKeys, payloadsAt }: FoldedStep): Promise<(string | undefined)[]> {
    if (!this.holds(submission.id, payloadKeys)) await this.readOnce(submission.id, payloadKeys.map((key, index) => ({ key, at: index === 0 ? payloadsAt : undefined })))
    return this.values(submission.id, payloadKeys)
  }

  private values (step: string, keys: readonly string[]): (string | undefined)[] {
    const held = this.held.get(step)
    return keys.map((key) => held?.get(key))
  }

  private holds (step: string, keys: readonly string[]): boolean {
    const held = this.held.get(step)
    return keys.every((key) => held?.has(key) === true)
  }

  /**
   * One reader at a time for a step: a trainer that starts over and a holder that takes over ask for the same. Those who
   * waited for a reader that the store did not answer are not answered either; were each to ask anew, the last would
   * wait for all before it.
   */
  private async readOnce (step: string, references: readonly ContentReference[]): Promise<void> {
    const keys = references.map(({ key }) => key)
    for (let underway = this.reading.get(step); underway !== undefined; underway = this.reading.get(step)) {
      if (!await underway || this.holds(step, keys)) return
    }
    const reading = this.read(step, references).finally(() => { this.reading.delete(step) })
    this.reading.set(step, reading)
    await reading
  }

  /** Reads records of a step; whether there is an answer, by the store or by those who wrote them. */
  private async read (step: string, references: readonly ContentReference[]): Promise<boolean> {
    const keys = references.map(({ key }) => key)
    return await this.readStore(step, keys, references.flatMap(({ at }) => at ?? [])) || await this.askWriters(step, references)
  }

  /** Asks those who wrote what the store does not give; whether they gave all. */
  private async askWriters (step: string, references: readonly ContentReference[]): Promise<boolean> {
    const wanted = references.filter(({ key }) => this.held.get(step)?.has(key) !== true)
    const writers = new Set(wanted.flatMap(({ from }) => from ?? []))
    await Promise.all([...writers].map(async (writer) => {
      const keys = wanted.filter(({ from }) => from === writer).map(({ key }) => key)
      for (const [key, value] of await this.services.holders.ask(writer, step, keys)) if (keys.includes(key)) this.hold(step, key, value)
    }))
    return this.holds(step, references.map(({ key }) => key))
  }

  private async readStore (step: string, keys: readonly string[], places: readonly ContentLocation[]): Promise<boolean> {
    const { clock, metrics, stateLog } = this.services
    const now = clock.monotonic()
    if (keys.some((key) => (this.missing.get(key) ?? now) > now)) return true
    metrics.count('steps.contents_read')
    if (!await this.readPlaces(step, keys, places)) return false
    if (this.holds(step, keys)) return true
    metrics.count('steps.contents_searched')
    const searched = await this.search(step, keys)
    if (searched !== 'absent') return searched === 'found'
    for (const key of keys) if (this.held.get(step)?.has(key) !== true) this.missing.set(key, clock.monotonic() + MISSING_MS)
    this.forgetMissing()
    stateLog.alarm('contents of a step are missing', { step, wanted: keys.length, held: this.held.get(step)?.size ?? 0 })
    return true
  }

  /** Reads the stretches of the topic in which the records stand and that the store still has, some at a time; whether it answered. */
  private async readPlaces (step: string, keys: readonly string[], places: readonly ContentLocation[]): Promise<boolean> {
    const wanted = new Set(keys)
    const stretches = topicRangesFor(places)
    let answered = true
    const readNext = async (): Promise<void> => {
      // The newest first: if the history of one is gone, so is that of all before it.
      for (let stretch = stretches.pop(); stretch !== undefined && answered; stretch = stretches.pop()) {
        if (stretch.from >= this.firstKept) answered = await this.readStretch(step, wanted, stretch)
      }
    }
    await Promise.all(Array.from({ length: Math.min(READS_AT_ONCE, stretches.length) }, readNext))
    return answered
  }

  private async readStretch (step: string, wanted: ReadonlySet<string>, { from, kilobytes }: TopicRange): Promise<boolean> {
    const page = await this.services.log.readSome(from, kilobytes)
    if (!page.ok) return false
    if (page.value.type === 'forgotten') this.firstKept = Math.max(this.firstKept, from + 1)
    else for (const { key, value } of page.value.entries) if (wanted.has(key)) this.hold(step, key, value)
    return true
  }

  /** Looks for keys among the newest records, of which those of a step stand together; all of the step's are held, as the next reader wants the others. */
  private async search (step: string, keys: readonly string[]): Promise<'found' | 'absent' | 'not-answered'> {
    const prefix = keyPrefix(keys[0] ?? '')
    let after = prefix
    for (;;) {
      const page = await this.services.log.newest(after)
      if (!page.ok) return 'not-answered'
      for (const { key, value } of page.value.entries) if (key.startsWith(prefix)) this.hold(step, key, value)
      if (page.value.next === undefined || isPast(page.value, prefix)) return this.holds(step, keys) ? 'found' : 'absent'
      after = page.value.next
    }
  }

  private hold (step: string, key: string, value: string | undefined): void {
    if (value === undefined) return
    const held = this.held.get(step) ?? new Map<string, string>()
    this.heldCharacters += value.length - (held.get(key)?.length ?? 0)
    held.set(key, value)
    this.held.set(step, held)
    this.missing.delete(key)
    for (const oldest of this.held.keys()) {
      if (this.heldCharacters <= HELD_CHARACTERS) break
      // What a reader has found so far must stay until it has all.
      if (oldest !== step && !this.reading.has(oldest)) this.forget(oldest)
    }
  }

  private forgetMissing (): void {
    const now = this.services.clock.monotonic()
    for (const [key, until] of this.missing) if (until <= now) this.missing.delete(key)
  }
}

/** Whether a page of newest records goes beyond the keys that begin like this. */
function isPast ({ entries }: NewestPage, prefix: string): boolean {
  const last = entries.at(-1)
  return last !== undefined && last.key > prefix && !last.key.startsWith(prefix)
}

/** Step of a record of contents, by its key. */
function stepOf (key: string): string {
  return decodeURIComponent(key.split('/')[1] ?? '')
}
