/**
 * Leases that grant one host the right to send orders to the engines of a shard. The fold has no
 * clock, so it does not expire leases. A host that wants to take over a lease waits for its duration
 * on its own clock, counted from when it read the last renewal, and then appends a record that is
 * conditional on the epoch it read. If the holder renewed in between, the renewal wins.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { RecordOf } from './records.ts'

/** State of the lease of one shard. */
export interface Lease {
  /** The host that holds the lease; absent after it was released. */
  holder?: string
  /** Changes with every renewal. A lease record must name the current epoch. */
  epoch: number
  /** Fencing token; changes only with a new holder. Orders carry it, and engines that check it refuse an older one. */
  fence: number
  durationMs: number
}

export type Leases = Record<string, Lease>

/** Takes or renews a lease and returns the fencing token. */
export function applyLease (leases: Leases, record: RecordOf<'lease'>, sequence: number): Result<number> {
  const current = leases[record.shard]
  const epoch = current?.epoch ?? 0
  if (record.ifEpoch !== epoch) return failure('revisionConflict', `the lease was taken over or renewed: it is at epoch ${epoch}, not ${record.ifEpoch}`, { revision: epoch })
  const isRenewal = current !== undefined && current.holder === record.holder
  const fence = isRenewal ? current.fence : sequence
  leases[record.shard] = { holder: record.holder, epoch: sequence, fence, durationMs: record.durationMs }
  return success(fence)
}

/** Releases a lease, so that the next holder does not have to wait for its duration. */
export function applyLeaseEnd (leases: Leases, record: RecordOf<'lease-end'>, sequence: number): Result<number> {
  const current = leases[record.shard]
  if (current === undefined || current.holder !== record.holder || current.epoch !== record.ifEpoch) {
    return failure('revisionConflict', `${record.holder} does not hold the lease at epoch ${record.ifEpoch}`, { revision: current?.epoch ?? 0 })
  }
  leases[record.shard] = { epoch: sequence, fence: current.fence, durationMs: current.durationMs }
  return success(sequence)
}
