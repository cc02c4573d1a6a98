/**
 * This host's lease on a shard, which is the right to send orders to its engines. It is acquired when
 * there is something to order and released afterwards, so that it costs the log nothing between changes.
 *
 * A lease can expire while its holder is paused and unaware of it. The holder therefore checks its own
 * monotonic clock right before each order, counting from before it requested the lease. A successor waits
 * for the duration of the former lease plus the maximum time that an order is in flight, counting from when
 * it read the record.
 */

import type { HostId, ShardKey } from '../../../base/common/ids.ts'
import type { RecordOf } from '../../../core/common/fold/records.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { Appender } from '../log/appender.ts'
import type { FoldView } from '../log/controlLog.ts'

export interface LeaseSettings {
  readonly durationMs: number
  readonly maxInFlightMs: number
}

export interface LeaseServices {
  readonly fold: FoldView
  readonly appender: Pick<Appender, 'decide'>
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export class LeaseHolder {
  private validUntil = Number.NEGATIVE_INFINITY
  private fence = 0
  private observedEpoch = -1
  private observedAt = 0
  private requesting = false

  constructor (private readonly services: LeaseServices, private readonly settings: LeaseSettings, private readonly host: HostId, private readonly shard: ShardKey) {}

  /** Returns the fencing token for an order; `undefined` while the lease is not held. Must be called right before each order. */
  currentFence (): number | undefined {
    const { clock, fold } = this.services
    const held = fold.state.leases[this.shard]?.holder === this.host
    return held && fold.fresh && clock.monotonic() < this.validUntil ? this.fence : undefined
  }

  /** Records changes of the lease in the fold. Must be called frequently, as a takeover is timed from the observed change. */
  observe (): void {
    const epoch = this.services.fold.state.leases[this.shard]?.epoch ?? 0
    if (epoch === this.observedEpoch) return
    this.observedEpoch = epoch
    this.observedAt = this.services.clock.monotonic()
  }

  /** Acquires or renews the lease if that is due and allowed. */
  async acquireOrRenew (): Promise<void> {
    if (this.requesting || !this.isDue()) return
    this.requesting = true
    try {
      await this.requestLease()
    } finally {
      this.requesting = false
    }
  }

  /** Releases the lease, so that the next holder need not wait for its expiry. */
  async release (): Promise<void> {
    const lease = this.services.fold.state.leases[this.shard]
    this.validUntil = Number.NEGATIVE_INFINITY
    if (lease?.holder !== this.host || this.requesting) return
    this.requesting = true
    const record: RecordOf<'lease-end'> = { kind: 'lease-end', id: this.services.chance.id(), at: this.services.clock.wall(), shard: this.shard, holder: this.host, ifEpoch: lease.epoch }
    try {
      await this.services.appender.decide(record, this.settings.durationMs)
    } finally {
      this.requesting = false
    }
  }

  private isDue (): boolean {
    const { fold, clock } = this.services
    if (!fold.fresh) return false
    const now = clock.monotonic()
    const lease = fold.state.leases[this.shard]
    if (lease?.holder === undefined) return true
    if (lease.holder === this.host) return now > this.validUntil - this.settings.durationMs / 2
    return now - this.observedAt > lease.durationMs + this.settings.maxInFlightMs
  }

  private async requestLease (): Promise<void> {
    const { fold, clock, chance, appender } = this.services
    const requestedAt = clock.monotonic()
    const record: RecordOf<'lease'> = {
      kind: 'lease',
      id: chance.id(),
      at: clock.wall(),
      shard: this.shard,
      holder: this.host,
      ifEpoch: fold.state.leases[this.shard]?.epoch ?? 0,
      durationMs: this.settings.durationMs
    }
    const decided = await appender.decide(record, this.settings.durationMs / 2)
    if (!decided.ok || !decided.value.result.ok) return
    const fence = decided.value.result.value as number
    if (fence !== this.fence) {
      this.services.metrics.count('lease.taken')
      this.services.stateLog.changed('lease taken', { shard: this.shard, fence })
    }
    this.fence = fence
    this.validUntil = requestedAt + this.settings.durationMs
  }
}
