/**
 * Keeps the payloads of undelivered groups in the log. The log retains entries for a limited time,
 * and a group can wait longer than that if its trainer is away. Its payloads are therefore appended
 * again before they expire, and a record updates the references to them.
 */

import type { SubscriptionName } from '../../../base/common/ids.ts'
import type { PayloadReference, RecordOf } from '../../../core/common/fold/records.ts'
import type { Group, SubscriptionState } from '../../../core/common/fold/subscriptions.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { Appender } from '../log/appender.ts'
import type { PayloadStore } from './payloadStore.ts'

export interface PayloadRefresherServices {
  readonly payloads: PayloadStore
  readonly appender: Pick<Appender, 'persist'>
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
}

export class PayloadRefresher {
  private isRefreshing = false

  constructor (private readonly services: PayloadRefresherServices, private readonly refreshAfterMs: number) {}

  /** Appends the payloads of a group again if they are due, one group at a time. */
  refresh (subscription: SubscriptionName, state: SubscriptionState): void {
    if (this.isRefreshing) return
    const dueBefore = this.services.clock.wall() - this.refreshAfterMs
    const dueGroup = Object.entries(state.groups).find(([, group]) => group.refreshedAt < dueBefore)
    if (dueGroup === undefined) return
    this.isRefreshing = true
    this.reappend(subscription, dueGroup[0], dueGroup[1]).catch(() => undefined).finally(() => { this.isRefreshing = false })
  }

  private async reappend (subscription: SubscriptionName, groupName: string, group: Group): Promise<void> {
    const filledSlots = group.slots.flatMap((sample, index) => sample === null ? [] : [{ index, from: sample.payload }])
    const texts = await this.services.payloads.readAll([group.prompt, ...filledSlots.map(({ from }) => from)])
    if (!texts.ok) {
      this.services.metrics.count('payload.unreadable')
      return
    }
    const newReferences = await this.services.payloads.append(texts.value)
    if (!newReferences.ok) return
    const [prompt, ...samples] = newReferences.value
    const record: RecordOf<'moved'> = {
      kind: 'moved',
      id: this.services.chance.id(),
      at: this.services.clock.wall(),
      subscription,
      group: groupName,
      ...(prompt === undefined ? {} : { prompt }),
      samples: filledSlots.map(({ index, from }, position) => ({ index, from, to: samples[position] as PayloadReference }))
    }
    await this.services.appender.persist(record)
    this.services.metrics.count('payload.moved')
  }
}
