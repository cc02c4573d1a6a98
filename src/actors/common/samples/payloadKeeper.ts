/**
 * Keeps the payloads of undelivered groups in the log: entries are kept for a limited time only, and
 * a group can wait longer than that (its trainer is away). Its payloads are appended anew before
 * then, and a record moves the references.
 */

import type { SubscriptionName } from '../../../base/common/ids.ts'
import type { PayloadReference, RecordOf } from '../../../core/common/fold/records.ts'
import type { Group, SubscriptionState } from '../../../core/common/fold/subscriptions.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { Appender } from '../log/appender.ts'
import type { Payloads } from './payloads.ts'

export interface PayloadKeeperServices {
  readonly payloads: Payloads
  readonly appender: Pick<Appender, 'persist'>
  readonly clock: Clock
  readonly chance: Chance
  readonly metrics: Metrics
}

export class PayloadKeeper {
  private refreshing = false

  constructor (private readonly services: PayloadKeeperServices, private readonly refreshMs: number) {}

  /** Appends the payloads of the oldest group anew if they are due; one group at a time. */
  refresh (subscription: SubscriptionName, state: SubscriptionState): void {
    if (this.refreshing) return
    const due = this.services.clock.wall() - this.refreshMs
    const found = Object.entries(state.groups).find(([, group]) => group.refreshedAt < due)
    if (found === undefined) return
    this.refreshing = true
    this.move(subscription, found[0], found[1]).catch(() => undefined).finally(() => { this.refreshing = false })
  }

  private async move (subscription: SubscriptionName, name: string, group: Group): Promise<void> {
    const filled = group.slots.flatMap((sample, index) => sample === null ? [] : [{ index, from: sample.payload }])
    const texts = await this.services.payloads.readAll([group.prompt, ...filled.map(({ from }) => from)])
    if (!texts.ok) {
      this.services.metrics.count('payload.unreadable')
      return
    }
    const moved = await this.services.payloads.append(texts.value)
    if (!moved.ok) return
    const [prompt, ...samples] = moved.value
    const record: RecordOf<'moved'> = {
      kind: 'moved',
      id: this.services.chance.id(),
      at: this.services.clock.wall(),
      subscription,
      group: name,
      ...(prompt === undefined ? {} : { prompt }),
      samples: filled.map(({ index, from }, position) => ({ index, from, to: samples[position] as PayloadReference }))
    }
    await this.services.appender.persist(record)
    this.services.metrics.count('payload.moved')
  }
}
