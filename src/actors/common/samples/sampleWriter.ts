/**
 * Writes finished samples to the log: first their texts as payload, then one record per subscription
 * for all samples of a batch. While the log does not accept them, they are held here and by one host
 * in another failure domain, if there is one, which appends them if this host dies. Appending them
 * twice has no effect, as the first record of a slot determines the sample.
 */

import type { HostId } from '../../../base/common/ids.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import type { PayloadReference, RecordOf, Segment } from '../../../core/common/fold/records.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { PeerHandlers, Peers } from '../../../ports/common/peers.ts'
import type { Appender } from '../log/appender.ts'
import type { MembershipView } from '../membership/membership.ts'
import type { TaskSystem } from '../task.ts'
import { Task } from '../task.ts'
import type { PayloadStore } from './payloadStore.ts'

/** A finished and scored sample. */
export interface FinishedSample {
  readonly subscription: string
  readonly group: string
  readonly index: number
  readonly segments: readonly Segment[]
  readonly score: number
  readonly text: string
}

/** A sample that is not yet recorded in the log. */
interface PendingSample {
  readonly sample: FinishedSample
  readonly onRecorded: () => void
}

export interface SampleWriterServices {
  readonly system: TaskSystem
  readonly payloads: PayloadStore
  readonly appender: Pick<Appender, 'persist'>
  readonly membership: MembershipView
  readonly peers: Peers
  readonly handlers: PeerHandlers
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
}

type Message =
  | { readonly type: 'add', readonly samples: readonly PendingSample[] }
  | { readonly type: 'write' }
  | { readonly type: 'written', readonly batch: readonly PendingSample[], readonly references: Result<PayloadReference[]> }
  | { readonly type: 'overdue', readonly batch: readonly PendingSample[] }
  | { readonly type: 'recorded', readonly batch: readonly PendingSample[], readonly taken: boolean }
  | { readonly type: 'kept', readonly host: HostId, readonly id: string, readonly samples: readonly FinishedSample[] | null }
  | { readonly type: 'members-changed' }

const BATCH_DELAY_MS = 20
const RETRY_DELAY_MS = 500
/** Time after which samples that the log has not accepted are also sent to another host. */
const BACKUP_DELAY_MS = 1000
const MAX_BATCH_CHARACTERS = 400_000
const MAX_BATCH_SAMPLES = 256
const BACKUP_TIMEOUT_MS = 2000
/** Maximum number of batches held for other hosts; further ones are dropped. */
const MAX_BACKUP_BATCHES = 200

export class SampleWriter extends Task<Message> {
  private queue: PendingSample[] = []
  private batchInProgress: readonly PendingSample[] = []
  private unrecordedCount = 0
  private writing = false
  private isWriteScheduled = false
  private backup: { readonly id: string, readonly address: string } | undefined
  private readonly backupBatches = new Map<string, { host: HostId, samples: readonly FinishedSample[] }>()

  constructor (private readonly services: SampleWriterServices) {
    super(services.system, 'sample-writer', services.metrics)
    services.handlers.handle('samples.keep', async ({ id, host, record }) => {
      this.tell({ type: 'kept', host, id, samples: record === null ? null : JSON.parse(record) as FinishedSample[] })
      return null
    })
    this.disposables.add(services.membership.onChange(() => { this.tell({ type: 'members-changed' }) }))
  }

  /** Number of samples that the log has not confirmed. */
  get backlog (): number {
    return this.unrecordedCount
  }

  /**
   * Accepts a finished sample and resolves when the fold holds it, or another sample of its slot. Once
   * the sample is backed up, it is lost only if both this host and the backup host die.
   */
  async add (sample: FinishedSample): Promise<void> {
    this.unrecordedCount++
    await new Promise<void>((resolve) => { this.tell({ type: 'add', samples: [{ sample, onRecorded: resolve }] }) })
  }

  protected override receive (message: Message): void {
    switch (message.type) {
      case 'add': this.queue.push(...message.samples); this.scheduleWrite(BATCH_DELAY_MS); break
      case 'write': this.isWriteScheduled = false; this.write(); break
      case 'written': this.handlePayloadsAppended(message.batch, message.references); break
      case 'overdue': if (this.batchInProgress === message.batch) this.updateBackup(false); break
      case 'recorded': this.handleRecorded(message.batch, message.taken); break
      case 'kept': this.keepBackup(message.host, message.id, message.samples); break
      case 'members-changed': this.takeOverFromDeadHosts(); break
      default: unreachable(message)
    }
  }

  private scheduleWrite (delayMs: number): void {
    if (this.isWriteScheduled || this.writing) return
    this.isWriteScheduled = true
    this.services.clock.after(delayMs, () => { this.tell({ type: 'write' }) })
  }

  private write (): void {
    if (this.writing || this.queue.length === 0) return
    this.writing = true
    const batch = this.takeBatch()
    this.batchInProgress = batch
    this.services.clock.after(BACKUP_DELAY_MS, () => { this.tell({ type: 'overdue', batch }) })
    this.services.payloads.append(batch.map(({ sample }) => sample.text))
      .then((references) => { this.tell({ type: 'written', batch, references }) }, () => { this.tell({ type: 'recorded', batch, taken: false }) })
  }

  private takeBatch (): PendingSample[] {
    let characters = 0
    const end = this.queue.findIndex(({ sample }, index) => {
      characters += sample.text.length
      return index >= MAX_BATCH_SAMPLES || (index > 0 && characters > MAX_BATCH_CHARACTERS)
    })
    return this.queue.splice(0, end === -1 ? this.queue.length : end)
  }

  private handlePayloadsAppended (batch: readonly PendingSample[], references: Result<PayloadReference[]>): void {
    if (!references.ok) {
      this.handleRecorded(batch, false)
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

  private handleRecorded (batch: readonly PendingSample[], isRecorded: boolean): void {
    this.writing = false
    this.batchInProgress = []
    if (isRecorded) {
      for (const { onRecorded } of batch) onRecorded()
      this.unrecordedCount -= batch.length
      this.services.metrics.count('samples.recorded', batch.length)
    } else {
      this.queue.unshift(...batch)
      this.services.metrics.count('samples.held')
    }
    this.updateBackup(isRecorded)
    if (this.queue.length > 0) this.scheduleWrite(isRecorded ? 0 : RETRY_DELAY_MS)
  }

  /** Sends samples that the log does not accept to a backup host, preferably in another failure domain, and withdraws them once they are recorded. */
  private updateBackup (isRecorded: boolean): void {
    if (isRecorded) {
      if (this.backup !== undefined && this.queue.length === 0) this.sendBackup(this.backup, null)
      if (this.queue.length === 0) this.backup = undefined
      return
    }
    const address = this.backup?.address ?? this.chooseBackup()
    if (address === undefined) return
    this.backup ??= { id: this.services.chance.id(), address }
    this.sendBackup(this.backup, JSON.stringify([...this.batchInProgress, ...this.queue].map(({ sample }) => sample)))
  }

  private chooseBackup (): string | undefined {
    const { self } = this.services.membership
    const others = this.services.membership.available().filter((member) => member.host !== self.host)
    return (others.find((member) => member.place !== self.place) ?? others[0])?.address
  }

  private sendBackup (backup: { id: string, address: string }, record: string | null): void {
    const host = this.services.membership.self.host
    this.services.peers.call(backup.address, 'samples.keep', { id: backup.id, host, record }, BACKUP_TIMEOUT_MS).then((answer) => {
      if (answer.ok) this.services.metrics.count('samples.backed_up')
      else this.backup = undefined
    }, () => undefined)
  }

  private keepBackup (host: HostId, id: string, samples: readonly FinishedSample[] | null): void {
    if (samples === null) this.backupBatches.delete(id)
    else if (this.backupBatches.has(id) || this.backupBatches.size < MAX_BACKUP_BATCHES) this.backupBatches.set(id, { host, samples })
  }

  private takeOverFromDeadHosts (): void {
    const statusByHost = new Map(this.services.membership.members().map((member) => [member.host, member.status]))
    for (const [id, { host, samples }] of [...this.backupBatches]) {
      if (statusByHost.has(host) && statusByHost.get(host) !== 'dead') continue
      this.backupBatches.delete(id)
      this.unrecordedCount += samples.length
      this.services.metrics.count('samples.taken_over', samples.length)
      this.receive({ type: 'add', samples: samples.map((sample) => ({ sample, onRecorded: () => undefined })) })
    }
  }
}
