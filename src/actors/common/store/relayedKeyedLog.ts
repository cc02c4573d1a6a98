/**
 * A keyed topic that a host reaches through another host while the store does not answer it. Stores
 * turn single hosts away (too busy, too many calls, a cut link) and serve the others; without a way
 * around, such a host would go on with old knowledge, or its work would be lost to the others.
 *
 * An append is sent again, by another way, only after a proof that it was not done: the store or a
 * host refused it, or nobody listened. Two records under one key would be one record at the place of
 * the later for hosts that load the topic, and at the place of the first for hosts that follow it.
 * Whoever asked may repeat an append of unknown outcome, under keys of its own where places matter.
 */

import { failure } from '../../../base/common/resultCode.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import type { KeyedLog, KeyedPage, KeyedRecord, NewestPage } from '../../../ports/common/keyedLog.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { PeerHandlers, Peers } from '../../../ports/common/peers.ts'
import type { StoreReach } from './storeReach.ts'

export interface RelayServices {
  readonly peers: Peers
  /** Addresses of hosts that reach the store, as far as they have said lately. */
  readonly helpers: () => readonly string[]
  readonly reach: StoreReach
  readonly metrics: Metrics
}

/** Hosts that are asked for one call, at most: if two cannot reach the store either, it is away for all. */
const MOST_HELPERS = 2
/** Longest wait for a helper's answer, in milliseconds. */
const HELPER_MS = 900
/** Longest wait of a relayed read for records, in milliseconds. */
const RELAYED_POLL_MS = 400

export class RelayedKeyedLog implements KeyedLog {
  constructor (private readonly services: RelayServices, private readonly direct: KeyedLog, private readonly topic: string) {}

  async append (records: readonly KeyedRecord[]): Promise<Result<number>> {
    const straight = await this.straight(async () => await this.direct.append(records))
    if (straight !== undefined && !isUndone(straight)) return straight
    let refused = straight
    for (const address of this.services.helpers().slice(0, MOST_HELPERS)) {
      const relayed = await this.appendThrough(address, records)
      if (!isUndone(relayed)) return relayed
      refused = relayed
    }
    return refused ?? failure('logUnavailable', 'neither the store nor a host that reaches it answers')
  }

  async read (from: number, waitMs: number, givenUp?: AbortSignal): Promise<Result<KeyedPage>> {
    const straight = await this.straight(async (left) => await this.direct.read(from, waitMs, givenUp === undefined ? left : AbortSignal.any([givenUp, left])), { keptMs: waitMs, repeatable: true })
    if (straight?.ok === true) return straight
    const poll = Math.min(waitMs, RELAYED_POLL_MS)
    const relayed = await this.ask(async (address) => await this.services.peers.call(address, 'store.read', { topic: this.topic, from, waitMs: poll }, HELPER_MS + poll))
    return relayed ?? straight ?? failure('logUnavailable', 'neither the store nor a host that reaches it answers')
  }

  async readSome (from: number, kilobytes: number): Promise<Result<KeyedPage>> {
    const straight = await this.straight(async () => await this.direct.readSome(from, kilobytes))
    if (straight?.ok === true) return straight
    const relayed = await this.ask(async (address) => await this.services.peers.call(address, 'store.read-some', { topic: this.topic, from, kilobytes }, HELPER_MS))
    return relayed ?? straight ?? failure('logUnavailable', 'neither the store nor a host that reaches it answers')
  }

  async newest (after: string | undefined): Promise<Result<NewestPage>> {
    const straight = await this.straight(async () => await this.direct.newest(after))
    if (straight?.ok === true) return straight
    const relayed = await this.ask(async (address) => await this.services.peers.call(address, 'store.newest', { topic: this.topic, ...(after === undefined ? {} : { after }) }, HELPER_MS))
    return relayed ?? straight ?? failure('logUnavailable', 'neither the store nor a host that reaches it answers')
  }

  /** Calls the store itself, unless it failed a moment ago; a call that may be repeated is sent once more where its connection alone is silent. */
  private async straight<T> (call: (left: AbortSignal) => Promise<Result<T>>, { keptMs = 0, repeatable = false } = {}): Promise<Result<T> | undefined> {
    const { reach } = this.services
    if (!reach.reached) return undefined
    const left = new AbortController()
    const answer = await reach.answered(call(left.signal), keptMs, repeatable)
    if (answer === 'silent-connection') {
      left.abort()
      return await this.straight(call, { keptMs })
    }
    const result: Result<T> = answer === 'silent-store' ? failure('commandUnknown', 'the store is silent') : answer
    if (!result.ok) this.services.reach.failed()
    return result
  }

  private async appendThrough (address: string, records: readonly KeyedRecord[]): Promise<Result<number>> {
    const answer = await this.services.peers.call(address, 'store.append', { topic: this.topic, records }, HELPER_MS)
    if (!answer.ok) return failure(answer.code === 'targetUnreachable' ? 'logUnavailable' : 'commandUnknown', answer.message)
    if (answer.value.ok) this.services.metrics.count('store.relayed')
    return answer.value
  }

  /** Asks helpers for records until one gives them: reading twice does no harm. */
  private async ask<T> (call: (address: string) => Promise<Result<Result<T>>>): Promise<Result<T> | undefined> {
    let last: Result<T> | undefined
    for (const address of this.services.helpers().slice(0, MOST_HELPERS)) {
      const answer = await call(address)
      if (!answer.ok) continue
      if (answer.value.ok) {
        this.services.metrics.count('store.relayed')
        return answer.value
      }
      last = answer.value
      if (last.code !== 'logUnavailable') return last
    }
    return last
  }
}

/** Whether an append was surely not done and never will be. */
function isUndone (result: Result<number>): boolean {
  return !result.ok && result.code === 'logUnavailable'
}

/** Answers the calls of other hosts for these topics by the store itself, never through yet another host. */
export function serveRelays (handlers: PeerHandlers, logs: ReadonlyMap<string, KeyedLog>): void {
  const unknown = failure('notFound', 'this topic is not relayed')
  handlers.handle('store.append', async ({ topic, records }) => await logs.get(topic)?.append(records) ?? unknown)
  handlers.handle('store.read', async ({ topic, from, waitMs }) => await logs.get(topic)?.read(from, waitMs) ?? unknown)
  handlers.handle('store.read-some', async ({ topic, from, kilobytes }) => await logs.get(topic)?.readSome(from, kilobytes) ?? unknown)
  handlers.handle('store.newest', async ({ topic, after }) => await logs.get(topic)?.newest(after) ?? unknown)
}
