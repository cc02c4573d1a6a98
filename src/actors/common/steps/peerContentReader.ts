/**
 * Fetches texts from the host that wrote them while the store cannot deliver them. Without this, reads of listed results fail
 * as stale for the whole duration of a store outage, although other hosts still have the texts in memory.
 */

import type { Metrics } from '../../../ports/common/observation.ts'
import type { PeerHandlers, Peers } from '../../../ports/common/peers.ts'

export interface PeerContentServices {
  readonly peers: Peers
  readonly metrics: Metrics
  /** Failure domain of the host at an address; `undefined` if it is not known. */
  readonly failureDomainOf: (address: string) => string | undefined
}

/** The address and failure domain under which other hosts know a host. */
export interface HostEndpoint {
  readonly address: string
  readonly place: string
}

/** A trainer polls about twice a second, so a read that times out is repeated soon. */
const PEER_REQUEST_TIMEOUT_MS = 400

export class PeerContentReader {
  constructor (private readonly services: PeerContentServices, private readonly ownEndpoint: HostEndpoint) {}

  /** Address at which this host serves the texts that it wrote. */
  get ownAddress (): string {
    return this.ownEndpoint.address
  }

  /** Returns the values of a step's records that the host at `address` has in memory; empty if it does not answer. */
  async fetch (address: string, step: string, keys: readonly string[]): Promise<ReadonlyMap<string, string>> {
    if (address === this.ownEndpoint.address) return new Map()
    const answer = await this.services.peers.call(address, 'contents.values', { step, keys }, PEER_REQUEST_TIMEOUT_MS)
    if (!answer.ok) return new Map()
    const values = Object.entries(answer.value.values)
    this.services.metrics.count('steps.texts_from_hosts', values.length)
    if (this.services.failureDomainOf(address) !== this.ownEndpoint.place) this.services.metrics.count('steps.characters_between_places', values.reduce((sum, [, value]) => sum + value.length, 0))
    return new Map(values)
  }
}

/** Registers the handler that serves records to other hosts from memory only, never from the store. */
export function registerContentHandlers (handlers: PeerHandlers, contents: { cachedValues (step: string, keys: readonly string[]): Record<string, string> }): void {
  handlers.handle('contents.values', async ({ step, keys }) => ({ values: contents.cachedValues(step, keys) }))
}
