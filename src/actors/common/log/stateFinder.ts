/**
 * Finds the state that a host starts from: the newest checkpoint from which the log can be read on,
 * or the empty state if the log still holds all its entries. While the log does not answer, it is
 * the newest state among a few peers.
 */

import type { Checkpoint } from '../../../core/common/fold/checkpoint.ts'
import { readNewestCheckpoint } from '../../../core/common/fold/checkpoint.ts'
import type { FoldState } from '../../../core/common/fold/fold.ts'
import { emptyState, restore } from '../../../core/common/fold/fold.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { Log } from '../../../ports/common/log.ts'
import type { Peers } from '../../../ports/common/peers.ts'

/** Information about the other hosts that the control log needs. */
export interface PeerDirectory {
  /** Returns the addresses of hosts that may answer, in random order. */
  peerAddresses (): string[]
  /** Returns whether all hosts of some failure domain are unreachable. */
  isAnyFailureDomainLost (): boolean
}

export interface StateFinderServices {
  readonly log: Log
  readonly peers: Peers
  readonly directory: PeerDirectory
  readonly hash: Hash
}

/** A state and its origin; the state is absent if none can be found at present. */
export interface FoundState {
  readonly state: FoldState | undefined
  readonly origin: 'log' | 'peer'
}

const MAX_PEERS_ASKED = 5
const STATE_REQUEST_TIMEOUT_MS = 5000

export class StateFinder {
  constructor (private readonly services: StateFinderServices) {}

  /** Finds a state. One from a peer is used only if its offset is greater than `above`. */
  async find (above: number): Promise<FoundState> {
    const loggedState = await this.stateFromLog()
    if (loggedState !== undefined) return { state: loggedState, origin: 'log' }
    return { state: await this.stateFromPeers(above), origin: 'peer' }
  }

  private async stateFromLog (): Promise<FoldState | undefined> {
    const { log, hash } = this.services
    const checkpoint = await readNewestCheckpoint(log, hash)
    if (!checkpoint.ok) return undefined
    const control = await log.read('control', 0, { maximumEntries: 1, waitMs: 0 })
    if (!control.ok) return undefined
    if (checkpoint.value !== undefined && checkpoint.value.offset >= control.value.first) return restoreCheckpoint(checkpoint.value)
    return control.value.first === 0 ? emptyState() : undefined
  }

  private async stateFromPeers (above: number): Promise<FoldState | undefined> {
    let best: Checkpoint | undefined
    for (const address of this.services.directory.peerAddresses().slice(0, MAX_PEERS_ASKED)) {
      const answer = await this.services.peers.call(address, 'log.state', { above: best?.offset ?? above }, STATE_REQUEST_TIMEOUT_MS)
      const offered = answer.ok ? answer.value : null
      if (offered === null || this.services.hash.digest(offered.snapshot) !== offered.digest) continue
      best = { offset: offered.offset, text: offered.snapshot }
    }
    return best === undefined ? undefined : restoreCheckpoint(best)
  }
}

function restoreCheckpoint (checkpoint: Checkpoint): FoldState | undefined {
  const state = restore(checkpoint.text)
  return state.ok && state.value.offset === checkpoint.offset ? state.value : undefined
}
