/**
 * Leases: who may send orders to the engines of a shard. The fold has no clock that lapses a lease.
 * A host that wants one waits out the duration on its own clock, counted from when it read the last
 * renewal, and then appends a record conditional on the epoch it saw: a renewal in between wins.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { RecordOf } from './records.ts'

/** State of the lease of one shard. */
export interface Lease {
  /** Host that holds it; absent after it was given back. */
  holder?: string
  /** Changes with every renewal; a record must name the one it knows. */
  epoch: number
  /** Changes with every new holder only; orders carry it and an old one is refused by engines that check. */
  fence: number
  durationMs: number
}

export type Leases = Record<string, Lease>

/** Takes or renews a lease; returns the fencing number. */
export function applyLease (leases: Leases, record: RecordOf<'lease'>, sequence: number): Result<number> {
  const current = leases[record.shard]
  const epoch = current?.epoch ?? 0
  if (record.ifEpoch !== epoch) return failure('revisionConflict', 'the lease changed hands or was renewed', { revision: epoch })
  const renewed = current !== undefined && current.holder === record.holder
  const fence = renewed ? current.fence : sequence
  leases[record.shard] = { holder: record.holder, epoch: sequence, fence, durationMs: record.durationMs }
  return success(fence)
}

/** Gives a lease back; the next holder need not wait. */
export function applyLeaseEnd (leases: Leases, record: RecordOf<'lease-end'>, sequence: number): Result<number> {
  const current = leases[record.shard]
  if (current === undefined || current.holder !== record.holder || current.epoch !== record.ifEpoch) {
    return failure('revisionConflict', 'the lease is not held at this epoch', { revision: current?.epoch ?? 0 })
  }
  leases[record.shard] = { epoch: sequence, fence: current.fence, durationMs: current.durationMs }
  return success(sequence)
}
