/**
 * Brings finished samples into the log: their texts as payload, then one record for all that are
 * ready. While the log does not take them they stay here and with one host in another place, which
 * appends them itself should this host die. Appending twice is harmless: the first record of a slot
 * is the sample.
 */

import type { HostId } from '../../../base/common/ids.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import type { PayloadReference, RecordOf, Segment } from '../../../core/common/fold/records.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { PeerHandlers, Peers } from '../../../ports/common/peers.ts'
import type { Appender } from '../log/appender.ts'
import type { MembershipView } from '../membership/membership.ts'
import type { TaskSystem } from '../task.ts'
import { Task } from '../task.ts'
import type { Payloads } from './payloads.ts'

/** A sample that is finished and scored. */
export interface FinishedSample {
  readonly subscription: string
  readonly group: string
  readonly index: number
  readonly segments: readonly Segment[]
  readonly score: number
  readonly text: string
}

/** A sample on its way into the log. */
interface Unrecorded {
  readonly sample: FinishedSample
  readonly recorded: () => void
}

export interface SampleWriterServices {
  readonly system: TaskSystem
  readonly payloads: Payloads
  readonly appender: Pick<Appender, 'persist'>
  readonly membership: MembershipView
  readonly peers: Peers
  readonly handlers: PeerHandlers
  readonly clock: Clock
  readonly chance: Chance
  readonly metrics: Metrics
}

type Message =
  | { readonly type: 'add', readonly samples: readonly Unrecorded[] }
  | { readonly type: 'write' }
  | { readonly type: 'written', readonly batch: readonly Unrecorded[], readonly references: Result<PayloadReference[]> }
  | { readonly type: 'overdue', readonly batch: readonly Unrecorded[] }
  | { readonly type: 'recorded', readonly batch: readonly Unrecorded[], readonly taken: boolean }
  | { readonly type: 'kept', readonly host: HostId, readonly id: string, readonly samples: readonly FinishedSample[] | null }
  | { readonly type: 'members-changed' }

const GATHER_MS = 20
const RETRY_MS = 500
/** Samples that the log has not taken by then are given to another host too, in milliseconds. */
const OVERDUE_MS = 1000
const BATCH_CHARACTERS = 400_000
const BATCH_SAMPLES = 256
const KEEP_TIMEOUT_MS = 2000
/** Samples kept for other hosts, at most; more are refused. */
const KEPT_BATCHES = 200

export class SampleWriter extends Task<Message> {
  private queue: Unrecorded[] = []
  private underway: readonly Unrecorded[] = []
  private unrecorded = 0
  private writing = false
  private due = false
  private backup: { readonly id: string, readonly address: string } | undefined
  private readonly kept = new Map<string, { host: HostId, samples: readonly FinishedSample[] }>()

  constructor (private readonly services: SampleWriterServices) {
    super(services.system, 'sample-writer', services.metrics)
    services.handlers.handle('samples.keep', async ({ id, host, record }) => {
      this.tell({ type: 'kept', host, id, samples: record === null ? null : JSON.parse(record) as FinishedSample[] })
      return null
    })
    this.disposables.add(services.membership.onChange(() => { this.tell({ type: 'members-changed' }) }))
  }

  /** Samples that the log has not confirmed. */
  get backlog (): number {
    return this.unrecorded
  }

  /**
   * Takes a finished sample over; it is not lost from here on unless this host and its backup die.
   * Resolves when the fold holds it, or another sample of its slot.
   */
  async add (sample: FinishedSample): Promise<void> {
    this.unrecorded++
    await new Promise<void>((resolve) => { this.tell({ type: 'add', samples: [{ sample, recorded: resolve }] }) })
  }

  protected override receive (message: Message): void {
    switch (message.type) {
      case 'add': this.queue.push(...message.samples); this.writeSoon(GATHER_MS); break
      case 'write': this.due = false; this.write(); break
      case 'written': this.written(message.batch, message.references); break
      case 'overdue': if (this.underway === message.batch) this.updateBackup(false); break
      case 'recorded': this.recorded(message.batch, message.taken); break
      case 'kept': this.keepFor(message.host, message.id, message.samples); break
      case 'members-changed': this.takeOverFromDead(); break
      default: unreachable(message)
    }
  }

  private writeSoon (delayMs: number): void {
    if (this.due || this.writing) return
    this.due = true
    this.services.clock.after(delayMs, () => { this.tell({ type: 'write' }) })
  }

  private write (): void {
    if (this.writing || this.queue.length === 0) return
    this.writing = true
    const batch = this.takeBatch()
    this.underway = batch
    this.services.clock.after(OVERDUE_MS, () => { this.tell({ type: 'overdue', batch }) })
    this.services.payloads.append(batch.map(({ sample }) => sample.text))
      .then((references) => { this.tell({ type: 'written', batch, references }) }, () => { this.tell({ type: 'recorded', batch, taken: false }) })
  }

  private takeBatch (): Unrecorded[] {
    let characters = 0
    const end = this.queue.findIndex(({ sample }, index) => {
      characters += sample.text.length
      return index >= BATCH_SAMPLES || (index > 0 && characters > BATCH_CHARACTERS)
    })
    return this.queue.splice(0, end === -1 ? this.queue.length : end)
  }

  private written (batch: readonly Unrecorded[], references: Result<PayloadReference[]>): void {
    if (!references.ok) {
      this.recorded(batch, false)
      return
    }
    const bySubscription = new Map<string, RecordOf<'samples'>['items']>()
    batch.forEach(({ sample: { subscription, group, index, segments, score } }, position) => {
      const payload = references.value[position]
      if (payload === undefined) return
      const items = bySubscription.get(subscription) ?? []
      items.push({ group, index, segments: [...segments], score, payload })
      bySubscription.set(subscription, items)
    })
    const records = [...bySubscription].map(async ([subscription, items]) => await this.services.appender.persist({
      kind: 'samples', id: this.services.chance.id(), at: this.services.clock.wall(), subscription, items
    }))
    Promise.all(records).then((results) => {
      this.tell({ type: 'recorded', batch, taken: results.every((result) => result.ok) })
    }, () => { this.tell({ type: 'recorded', batch, taken: false }) })
  }

  private recorded (batch: readonly Unrecorded[], taken: boolean): void {
    this.writing = false
    this.underway = []
    if (taken) {
      for (const { recorded } of batch) recorded()
      this.unrecorded -= batch.length
      this.services.metrics.count('samples.recorded', batch.length)
    } else {
      this.queue.unshift(...batch)
      this.services.metrics.count('samples.held')
    }
    this.updateBackup(taken)
    if (this.queue.length > 0) this.writeSoon(taken ? 0 : RETRY_MS)
  }

  /** Gives what the log does not take to a host in another place, and takes it back once it is in. */
  private updateBackup (taken: boolean): void {
    if (taken) {
      if (this.backup !== undefined && this.queue.length === 0) this.tellBackup(this.backup, null)
      if (this.queue.length === 0) this.backup = undefined
      return
    }
    const address = this.backup?.address ?? this.chooseBackup()
    if (address === undefined) return
    this.backup ??= { id: this.services.chance.id(), address }
    this.tellBackup(this.backup, JSON.stringify([...this.underway, ...this.queue].map(({ sample }) => sample)))
  }

  private chooseBackup (): string | undefined {
    const { self } = this.services.membership
    const others = this.services.membership.available().filter((member) => member.host !== self.host)
    return (others.find((member) => member.place !== self.place) ?? others[0])?.address
  }

  private tellBackup (backup: { id: string, address: string }, record: string | null): void {
    const host = this.services.membership.self.host
    this.services.peers.call(backup.address, 'samples.keep', { id: backup.id, host, record }, KEEP_TIMEOUT_MS).then((answer) => {
      if (answer.ok) this.services.metrics.count('samples.backed_up')
      else this.backup = undefined
    }, () => undefined)
  }

  private keepFor (host: HostId, id: string, samples: readonly FinishedSample[] | null): void {
    if (samples === null) this.kept.delete(id)
    else if (this.kept.has(id) || this.kept.size < KEPT_BATCHES) this.kept.set(id, { host, samples })
  }

  private takeOverFromDead (): void {
    const status = new Map(this.services.membership.members().map((member) => [member.host, member.status]))
    for (const [id, { host, samples }] of [...this.kept]) {
      if (status.has(host) && status.get(host) !== 'dead') continue
      this.kept.delete(id)
      this.unrecorded += samples.length
      this.services.metrics.count('samples.taken_over', samples.length)
      this.receive({ type: 'add', samples: samples.map((sample) => ({ sample, recorded: () => undefined })) })
    }
  }
}
