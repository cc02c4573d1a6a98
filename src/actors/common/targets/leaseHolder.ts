/**
 * This host's lease on a shard: the right to send orders to its engines. Taken when there is
 * something to order and given back after, so that it costs the log nothing between changes.
 *
 * A lease can lapse while its holder is paused and unaware. So the holder checks its own monotonic
 * clock right before each order, counted from before the lease was asked for; and a successor waits
 * out the former lease and the longest flight of an order, counted from when it read the record.
 */

import type { HostId, ShardKey } from '../../../base/common/ids.ts'
import type { RecordOf } from '../../../core/common/fold/records.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { Appender } from '../log/appender.ts'
import type { FoldView } from '../log/controlLog.ts'

export interface LeaseSettings {
  readonly durationMs: number
  readonly flightMs: number
}

export interface LeaseServices {
  readonly fold: FoldView
  readonly appender: Pick<Appender, 'decide'>
  readonly clock: Clock
  readonly chance: Chance
  readonly metrics: Metrics
  readonly stateLog: StateLog
}

export class LeaseHolder {
  private validUntil = Number.NEGATIVE_INFINITY
  private fence = 0
  private seenEpoch = -1
  private seenAt = 0
  private asking = false

  constructor (private readonly services: LeaseServices, private readonly settings: LeaseSettings, private readonly host: HostId, private readonly shard: ShardKey) {}

  /** Fencing number to order with now; undefined while the lease is not held. Ask right before each order. */
  fenceNow (): number | undefined {
    const { clock, fold } = this.services
    const held = fold.state.leases[this.shard]?.holder === this.host
    return held && fold.fresh && clock.monotonic() < this.validUntil ? this.fence : undefined
  }

  /** Takes note of the lease as the fold has it; call often. */
  observe (): void {
    const epoch = this.services.fold.state.leases[this.shard]?.epoch ?? 0
    if (epoch === this.seenEpoch) return
    this.seenEpoch = epoch
    this.seenAt = this.services.clock.monotonic()
  }

  /** Takes or renews the lease if that is due and allowed. */
  async keep (): Promise<void> {
    if (this.asking || !this.due()) return
    this.asking = true
    try {
      await this.ask()
    } finally {
      this.asking = false
    }
  }

  /** Gives the lease back, so that the next holder need not wait. */
  async end (): Promise<void> {
    const lease = this.services.fold.state.leases[this.shard]
    this.validUntil = Number.NEGATIVE_INFINITY
    if (lease?.holder !== this.host || this.asking) return
    this.asking = true
    const record: RecordOf<'lease-end'> = { kind: 'lease-end', id: this.services.chance.id(), at: this.services.clock.wall(), shard: this.shard, holder: this.host, ifEpoch: lease.epoch }
    try {
      await this.services.appender.decide(record, this.settings.durationMs)
    } finally {
      this.asking = false
    }
  }

  private due (): boolean {
    const { fold, clock } = this.services
    if (!fold.fresh) return false
    const now = clock.monotonic()
    const lease = fold.state.leases[this.shard]
    if (lease?.holder === undefined) return true
    if (lease.holder === this.host) return now > this.validUntil - this.settings.durationMs / 2
    return now - this.seenAt > lease.durationMs + this.settings.flightMs
  }

  private async ask (): Promise<void> {
    const { fold, clock, chance, appender } = this.services
    const asked = clock.monotonic()
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
    this.validUntil = asked + this.settings.durationMs
  }
}
