/**
 * Finds the state that a host starts from: the newest checkpoint that the log's entries continue, or
 * the empty state of a log that has forgotten nothing; while the log does not answer, the newest
 * state among some peers.
 */

import type { Checkpoint } from '../../../core/common/fold/checkpoint.ts'
import { readNewestCheckpoint } from '../../../core/common/fold/checkpoint.ts'
import type { FoldState } from '../../../core/common/fold/fold.ts'
import { emptyState, restore } from '../../../core/common/fold/fold.ts'
import type { Hash } from '../../../ports/common/hash.ts'
import type { Log } from '../../../ports/common/log.ts'
import type { Peers } from '../../../ports/common/peers.ts'

/** What the control log must know of the other hosts. */
export interface PeerDirectory {
  /** Addresses of hosts that may answer, in random order. */
  peerAddresses (): string[]
  /** Whether a whole place is out of reach. */
  placeLost (): boolean
}

export interface StateFinderServices {
  readonly log: Log
  readonly peers: Peers
  readonly directory: PeerDirectory
  readonly hash: Hash
}

/** A state and where it was found; without a state none can be found now. */
export interface FoundState {
  readonly state: FoldState | undefined
  readonly origin: 'log' | 'peer'
}

const PEERS_ASKED = 5
const STATE_TIMEOUT_MS = 5000

export class StateFinder {
  constructor (private readonly services: StateFinderServices) {}

  /** Finds a state; one from peers is taken only above the offset given. */
  async find (above: number): Promise<FoundState> {
    const fromLog = await this.fromLog()
    if (fromLog !== undefined) return { state: fromLog, origin: 'log' }
    return { state: await this.fromPeers(above), origin: 'peer' }
  }

  private async fromLog (): Promise<FoldState | undefined> {
    const { log, hash } = this.services
    const checkpoint = await readNewestCheckpoint(log, hash)
    if (!checkpoint.ok) return undefined
    const control = await log.read('control', 0, { maximumEntries: 1, waitMs: 0 })
    if (!control.ok) return undefined
    if (checkpoint.value !== undefined && checkpoint.value.offset >= control.value.first) return restored(checkpoint.value)
    return control.value.first === 0 ? emptyState() : undefined
  }

  private async fromPeers (above: number): Promise<FoldState | undefined> {
    let best: Checkpoint | undefined
    for (const address of this.services.directory.peerAddresses().slice(0, PEERS_ASKED)) {
      const answer = await this.services.peers.call(address, 'log.state', { above: best?.offset ?? above }, STATE_TIMEOUT_MS)
      const offered = answer.ok ? answer.value : null
      if (offered === null || this.services.hash.digest(offered.snapshot) !== offered.digest) continue
      best = { offset: offered.offset, text: offered.snapshot }
    }
    return best === undefined ? undefined : restored(best)
  }
}

function restored (checkpoint: Checkpoint): FoldState | undefined {
  const state = restore(checkpoint.text)
  return state.ok && state.value.offset === checkpoint.offset ? state.value : undefined
}
