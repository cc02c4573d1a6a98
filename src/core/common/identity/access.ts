/**
 * Decides whether a request is admitted by the key that it presents. Load pattern: keys are revoked while a host is partitioned
 * from the store, or suspended with requests in its socket buffers; the host must not admit these requests based on outdated
 * configuration. Callers also present keys that are newer than the configuration that the host has read, or any number of invalid
 * keys. The former are looked up; the latter must not each cause a call to the store.
 *
 * Reads from the store are linearizable: a read returns everything that was acknowledged before it was sent. Therefore a key is
 * accepted only based on a read that was sent within the revocation bound; any change that the read did not return is more recent.
 */

import type { Instant } from '../../../base/common/instant.ts'
import { elapsedMs, isWithin } from '../../../base/common/instant.ts'
import type { CallerIdentity, PresentedKey, WorkspaceKeys } from './workspaces.ts'

export interface AccessCheck {
  readonly key: PresentedKey
  readonly isPublic: boolean
  /** Absent if the configuration defines no workspaces. */
  readonly keys: WorkspaceKeys | undefined
  /** Time at which the newest completed read of the configuration was sent. */
  readonly readAt: Instant | undefined
  readonly now: Instant
  /** Maximum age of the read by which a known key is accepted, in milliseconds; absent if any age is accepted. */
  readonly revocationMs: number | undefined
}

export type AccessDecision =
  | { readonly type: 'granted', readonly caller: CallerIdentity }
  | { readonly type: 'denied', readonly why: string }
  /** The last read is too old to decide. */
  | { readonly type: 'unsure', readonly why: string }

/** Maximum age of the read by which an unknown key is rejected. A flood of unknown keys causes one read per this interval instead of one read per request. */
export const MAX_UNKNOWN_KEY_READ_AGE_MS = 250

export function decideAccess ({ key, isPublic, keys, readAt, now, revocationMs }: AccessCheck): AccessDecision {
  if (keys === undefined) return { type: 'granted', caller: { type: 'open' } }
  if (isPublic) return { type: 'granted', caller: { type: 'anonymous' } }
  switch (key.type) {
    case 'none': return { type: 'denied', why: 'this route needs a key' }
    case 'unusable': return { type: 'denied', why: key.why }
    case 'key': break
  }
  const workspace = keys.findWorkspace(key.digest)
  if (workspace === undefined) {
    return elapsedMs(readAt, now) <= MAX_UNKNOWN_KEY_READ_AGE_MS ? { type: 'denied', why: 'the key is not known' } : { type: 'unsure', why: 'the key may be newer than the configuration that this host has read' }
  }
  if (revocationMs !== undefined && !isWithin(revocationMs, readAt, now)) return { type: 'unsure', why: 'the key may have been revoked since this host last read the configuration' }
  return { type: 'granted', caller: { type: 'workspace', name: workspace.name, priority: workspace.priority } }
}
