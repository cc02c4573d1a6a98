/**
 * What is large in steps: payloads of items and texts of results. Every host follows their topic from
 * the moment of its start, so that it holds what is written while it runs; what is older it reads from
 * the store when somebody asks for it. A record here is written before the one that names it, and never changes.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import type { Disposable } from '../../../base/common/lifecycle.ts'
import { decodeKeyPart, keyPrefix, readPayloads, readText, textRecord } from '../../../core/common/steps/contentRecords.ts'
import type { ItemPayload } from '../../../core/common/steps/step.ts'
import type { FoldedStep } from '../../../core/common/steps/stepFold.ts'
import { dropRecord } from '../../../core/common/steps/stepRecords.ts'
import type { Chance } from '../../../ports/common/clock.ts'
import type { KeyedEntry, KeyedRecord } from '../../../ports/common/keyedLog.ts'
import type { GroupAppender } from '../store/groupAppender.ts'
import { keyNonce } from '../store/groupAppender.ts'
import type { TailServices, TailSettings } from '../store/keyedTail.ts'
import { KeyedTail } from '../store/keyedTail.ts'

export interface StepContentsServices extends TailServices {
  readonly appender: GroupAppender
  readonly chance: Chance
}

/** How long the removal of records that nobody names is offered to the store, in milliseconds. */
const DROP_MS = 10_000

export class StepContents implements Disposable {
  private readonly tail: KeyedTail
  /** Values held, by step and key. */
  private readonly held = new Map<string, Map<string, string>>()
  /** Steps whose records are being read from the store. */
  private readonly reading = new Map<string, Promise<void>>()

  constructor (private readonly services: StepContentsServices, settings: TailSettings) {
    const take = (entries: readonly KeyedEntry[]): void => { for (const entry of entries) this.take(entry) }
    this.tail = new KeyedTail(services, { ...settings, fromEnd: true }, { reset: take, apply: take })
  }

  start (): void {
    this.tail.start()
  }

  dispose (): void {
    this.tail.dispose()
  }

  /** A random part for keys. */
  nonce (): string {
    return keyNonce(this.services.chance)
  }

  /** Writes records; what they hold is known here at once. */
  async save (records: readonly KeyedRecord[], timeoutMs: number): Promise<Result<number>> {
    const saved = await this.services.appender.append(() => records, timeoutMs)
    if (saved.ok) for (const record of records) this.take({ ...record, offset: saved.value })
    return saved
  }

  /** Writes the text of a result and gives its key; offers it to the store for so long. */
  async saveText (step: string, item: string, text: string, timeoutMs: number): Promise<Result<string>> {
    const record = textRecord(step, item, text, this.nonce())
    const saved = await this.save([record], timeoutMs)
    return saved.ok ? { ok: true, value: record.key } : saved
  }

  /** Reads what a step's items need, so that it is held when somebody asks. */
  async prepare (step: FoldedStep): Promise<void> {
    await this.values(step.submission.id, step.payloadKeys)
  }

  /** Payloads of a step's items; `undefined` while the store does not give them. */
  async payloads (step: FoldedStep): Promise<ReadonlyMap<string, ItemPayload> | undefined> {
    const values = await this.values(step.submission.id, step.payloadKeys)
    return values.includes(undefined) ? undefined : readPayloads(values as string[])
  }

  /** Texts under these keys of a step, in order; those that the store does not give now are absent. */
  async texts (step: string, keys: readonly string[]): Promise<(string | undefined)[]> {
    return (await this.values(step, keys)).map((value) => value === undefined ? undefined : readText(value))
  }

  /** Forgets a step here. */
  forget (step: string): void {
    this.held.delete(step)
  }

  /** Removes records from the store. */
  async drop (keys: readonly string[]): Promise<Result<number>> {
    return await this.services.appender.append(() => keys.map(dropRecord), DROP_MS)
  }

  private async values (step: string, keys: readonly string[]): Promise<(string | undefined)[]> {
    // This host may be some records behind the one that wrote them.
    if (!this.holds(step, keys)) await this.tail.catchUp()
    if (!this.holds(step, keys)) await this.readOnce(step, keys)
    const held = this.held.get(step)
    return keys.map((key) => held?.get(key))
  }

  private holds (step: string, keys: readonly string[]): boolean {
    const held = this.held.get(step)
    return keys.every((key) => held?.has(key) === true)
  }

  /** One reader at a time for a step: a trainer that starts over and a holder that takes over ask for the same. */
  private async readOnce (step: string, keys: readonly string[]): Promise<void> {
    const underway = this.reading.get(step)
    if (underway !== undefined) {
      await underway
      if (this.holds(step, keys)) return
    }
    const reading = this.read(step, keys).finally(() => { this.reading.delete(step) })
    this.reading.set(step, reading)
    await reading
  }

  /** Reads from where the step's keys stand if the store orders them, else from the beginning. */
  private async read (step: string, keys: readonly string[]): Promise<void> {
    this.services.metrics.count('steps.contents_read')
    const prefix = keyPrefix(keys[0] ?? '')
    for (const start of [prefix, undefined]) {
      let after: string | undefined = start
      do {
        const page = await this.services.log.newest(after)
        if (!page.ok) return
        for (const entry of page.value.entries) if (entry.key.startsWith(prefix)) this.take(entry)
        if (this.holds(step, keys)) return
        after = page.value.next
      } while (after !== undefined)
    }
    this.services.stateLog.alarm('contents of a step are missing', { step, wanted: keys.length, held: this.held.get(step)?.size ?? 0, offset: this.tail.position })
  }

  private take ({ key, value }: KeyedEntry): void {
    const step = decodeKeyPart(key.split('/')[1] ?? '')
    if (step === undefined) return
    const held = this.held.get(step) ?? new Map<string, string>()
    if (value === undefined) held.delete(key)
    else held.set(key, value)
    if (held.size === 0) this.held.delete(step)
    else this.held.set(step, held)
  }
}
