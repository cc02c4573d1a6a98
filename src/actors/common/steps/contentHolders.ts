/**
 * Asks the host that wrote a text for it while the store does not give it. What goes wrong without: results are listed, the
 * store goes away, and trainers are refused what hosts around them hold in memory; they see reads answered as stale for as long
 * as the outage lasts.
 */

import type { Metrics } from '../../../ports/common/observation.ts'
import type { PeerHandlers, Peers } from '../../../ports/common/peers.ts'

export interface ContentHolderServices {
  readonly peers: Peers
  readonly metrics: Metrics
  /** Failure domain of the host at an address; `undefined` where it is not known. */
  readonly placeOf: (address: string) => string | undefined
}

/** A host as others reach it. */
export interface ContentHolder {
  readonly address: string
  readonly place: string
}

/** Longest wait for another host, in milliseconds: a trainer reads about twice a second and asks again. */
const ASK_MS = 400

export class ContentHolders {
  constructor (private readonly services: ContentHolderServices, private readonly own: ContentHolder) {}

  /** Where this host answers others that want what it wrote. */
  get ownAddress (): string {
    return this.own.address
  }

  /** Values of a step's records that a host holds; none where it does not answer. */
  async ask (address: string, step: string, keys: readonly string[]): Promise<ReadonlyMap<string, string>> {
    if (address === this.own.address) return new Map()
    const answer = await this.services.peers.call(address, 'contents.values', { step, keys }, ASK_MS)
    if (!answer.ok) return new Map()
    const values = Object.entries(answer.value.values)
    this.services.metrics.count('steps.texts_from_hosts', values.length)
    if (this.services.placeOf(address) !== this.own.place) this.services.metrics.count('steps.characters_between_places', values.reduce((sum, [, value]) => sum + value.length, 0))
    return new Map(values)
  }
}

/** Answers other hosts from what this one holds, never from the store. */
export function serveContents (handlers: PeerHandlers, contents: { heldValues (step: string, keys: readonly string[]): Record<string, string> }): void {
  handlers.handle('contents.values', async ({ step, keys }) => ({ values: contents.heldValues(step, keys) }))
}
