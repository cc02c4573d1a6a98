/**
 * Keyed topic that is accessed through another host while the store does not answer this one. A
 * store may reject a single host (it is overloaded, the host exceeds a call limit, the link is cut)
 * and still serve the others. Without relaying, such a host would keep working with outdated data,
 * or the other hosts would not see its work.
 *
 * An append is sent again by another route only if it was provably not applied: the store or a host
 * refused it, or the connection was refused. If two records were written under one key, hosts that
 * load the topic would see one record at the later position, and hosts that follow it would see one
 * at the earlier position. The caller may repeat an append of unknown outcome, with new keys where
 * positions matter.
 */

import { failure } from '../../../base/common/resultCode.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import type { KeyedLog, KeyedPage, KeyedRecord, NewestPage } from '../../../ports/common/keyedLog.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { PeerHandlers, Peers } from '../../../ports/common/peers.ts'
import type { StoreReachability } from './storeReachability.ts'

export interface RelayServices {
  readonly peers: Peers
  /** Addresses of the hosts that recently reported that they reach the store. */
  readonly helpers: () => readonly string[]
  readonly reach: StoreReachability
  readonly metrics: Metrics
}

interface DirectCallOptions {
  readonly keptMs?: number
  readonly repeatable?: boolean
  readonly cancelled?: AbortSignal | undefined
}

/** Maximum number of hosts asked per call: if two of them do not reach the store either, it is considered unavailable for all. */
const MAX_RELAY_HOSTS = 2
const RELAY_TIMEOUT_MS = 900
/** Maximum time for which a relayed read waits for records. */
const MAX_RELAYED_POLL_MS = 400

export class RelayedKeyedLog implements KeyedLog {
  constructor (private readonly services: RelayServices, private readonly direct: KeyedLog, private readonly topic: string) {}

  async append (records: readonly KeyedRecord[]): Promise<Result<number>> {
    const directResult = await this.callDirect(async () => await this.direct.append(records))
    if (directResult !== undefined && !isSurelyNotApplied(directResult)) return directResult
    let lastRefusal = directResult
    for (const address of this.services.helpers().slice(0, MAX_RELAY_HOSTS)) {
      const relayedResult = await this.appendThroughRelay(address, records)
      if (!isSurelyNotApplied(relayedResult)) return relayedResult
      lastRefusal = relayedResult
    }
    return lastRefusal ?? failure('logUnavailable', 'neither the store nor a host that reaches it answers')
  }

  async read (from: number, waitMs: number, signal?: AbortSignal): Promise<Result<KeyedPage>> {
    const directResult = await this.callDirect(async (abandoned) => await this.direct.read(from, waitMs, abandoned), { keptMs: waitMs, repeatable: true, cancelled: signal })
    if (directResult?.ok === true) return directResult
    const relayedWaitMs = Math.min(waitMs, MAX_RELAYED_POLL_MS)
    const relayedResult = await this.readThroughRelays(async (address) => await this.services.peers.call(address, 'store.read', { topic: this.topic, from, waitMs: relayedWaitMs }, RELAY_TIMEOUT_MS + relayedWaitMs))
    return relayedResult ?? directResult ?? failure('logUnavailable', 'neither the store nor a host that reaches it answers')
  }

  async readSome (from: number, kilobytes: number): Promise<Result<KeyedPage>> {
    const directResult = await this.callDirect(async () => await this.direct.readSome(from, kilobytes))
    if (directResult?.ok === true) return directResult
    const relayedResult = await this.readThroughRelays(async (address) => await this.services.peers.call(address, 'store.read-some', { topic: this.topic, from, kilobytes }, RELAY_TIMEOUT_MS))
    return relayedResult ?? directResult ?? failure('logUnavailable', 'neither the store nor a host that reaches it answers')
  }

  async newest (after: string | undefined): Promise<Result<NewestPage>> {
    const directResult = await this.callDirect(async () => await this.direct.newest(after))
    if (directResult?.ok === true) return directResult
    const relayedResult = await this.readThroughRelays(async (address) => await this.services.peers.call(address, 'store.newest', { topic: this.topic, ...(after === undefined ? {} : { after }) }, RELAY_TIMEOUT_MS))
    return relayedResult ?? directResult ?? failure('logUnavailable', 'neither the store nor a host that reaches it answers')
  }

  /**
   * Calls the store directly; returns `undefined` without a call while the store is considered unreachable. `keptMs` is the time for which the
   * store itself may hold the call. A repeatable call is sent once more if only its connection is silent. `cancelled` aborts the call.
   */
  private async callDirect<T> (call: (abandoned: AbortSignal) => Promise<Result<T>>, { keptMs = 0, repeatable = false, cancelled }: DirectCallOptions = {}): Promise<Result<T> | undefined> {
    const { reach } = this.services
    if (!reach.isReachable) return undefined
    const abandonController = new AbortController()
    const abandon = (): void => { abandonController.abort(cancelled?.reason) }
    if (cancelled?.aborted === true) abandon()
    cancelled?.addEventListener('abort', abandon, { once: true })
    const answer = await reach.awaitAnswer(call(abandonController.signal), keptMs, repeatable).finally(() => { cancelled?.removeEventListener('abort', abandon) })
    if (answer === 'silent-connection') {
      abandonController.abort()
      return await this.callDirect(call, { keptMs, cancelled })
    }
    const result: Result<T> = answer === 'silent-store' ? failure('commandUnknown', 'the store did not answer in time') : answer
    if (!result.ok) this.services.reach.reportFailure()
    return result
  }

  private async appendThroughRelay (address: string, records: readonly KeyedRecord[]): Promise<Result<number>> {
    const answer = await this.services.peers.call(address, 'store.append', { topic: this.topic, records }, RELAY_TIMEOUT_MS)
    if (!answer.ok) return failure(answer.code === 'targetUnreachable' ? 'logUnavailable' : 'commandUnknown', answer.message)
    if (answer.value.ok) this.services.metrics.count('store.relayed')
    return answer.value
  }

  /** Calls relay hosts until one returns records. Reads are idempotent, so repeating them is safe. */
  private async readThroughRelays<T> (call: (address: string) => Promise<Result<Result<T>>>): Promise<Result<T> | undefined> {
    let lastFailure: Result<T> | undefined
    for (const address of this.services.helpers().slice(0, MAX_RELAY_HOSTS)) {
      const answer = await call(address)
      if (!answer.ok) continue
      if (answer.value.ok) {
        this.services.metrics.count('store.relayed')
        return answer.value
      }
      lastFailure = answer.value
      if (lastFailure.code !== 'logUnavailable') return lastFailure
    }
    return lastFailure
  }
}

/** Returns whether an append was not applied and never will be. */
function isSurelyNotApplied (result: Result<number>): boolean {
  return !result.ok && result.code === 'logUnavailable'
}

/** Serves the calls of other hosts for these topics by direct calls to the store, never through a further host. */
export function serveRelays (handlers: PeerHandlers, logs: ReadonlyMap<string, KeyedLog>): void {
  const unknownTopic = failure('notFound', 'this topic is not relayed')
  handlers.handle('store.append', async ({ topic, records }) => await logs.get(topic)?.append(records) ?? unknownTopic)
  handlers.handle('store.read', async ({ topic, from, waitMs }) => await logs.get(topic)?.read(from, waitMs) ?? unknownTopic)
  handlers.handle('store.read-some', async ({ topic, from, kilobytes }) => await logs.get(topic)?.readSome(from, kilobytes) ?? unknownTopic)
  handlers.handle('store.newest', async ({ topic, after }) => await logs.get(topic)?.newest(after) ?? unknownTopic)
}
