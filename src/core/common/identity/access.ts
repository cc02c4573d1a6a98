/**
 * Whether a request is admitted by the key that it presents. Load pattern: keys are taken away while a host is cut off from the
 * store, or suspended with requests in its sockets; it must not serve them by what it knew before. And callers come with keys that
 * are newer than what the host has read, or with wrong ones in any number: the first are looked up, the latter must not cost a
 * call to the store each.
 *
 * The store's answers are linearizable: a read tells all that had been acknowledged when it was sent. So a key is accepted only by a
 * read that was sent no longer ago than the bound; whatever the read did not tell is newer than that.
 */

import type { Instant } from '../../../base/common/instant.ts'
import { elapsedMs, isWithin } from '../../../base/common/instant.ts'
import type { CallerIdentity, PresentedKey, WorkspaceKeys } from './workspaces.ts'

export interface AccessQuestion {
  readonly key: PresentedKey
  readonly isPublic: boolean
  /** Absent where the configuration knows no workspaces. */
  readonly keys: WorkspaceKeys | undefined
  /** When the newest read of the configuration that came back was sent. */
  readonly readAt: Instant | undefined
  readonly now: Instant
  /** How old the knowledge of a valid key may be, in milliseconds; absent where it may be of any age. */
  readonly revocationMs: number | undefined
}

export type Access =
  | { readonly type: 'granted', readonly caller: CallerIdentity }
  | { readonly type: 'denied', readonly why: string }
  /** What is known is too old to tell. */
  | { readonly type: 'unsure', readonly why: string }

/** Age of the knowledge by which an unknown key is rejected, in milliseconds: a flood of them costs a read in this time, not each a read. */
export const UNKNOWN_KEY_AGE_MS = 250

export function decideAccess ({ key, isPublic, keys, readAt, now, revocationMs }: AccessQuestion): Access {
  if (keys === undefined) return { type: 'granted', caller: { type: 'open' } }
  if (isPublic) return { type: 'granted', caller: { type: 'anonymous' } }
  switch (key.type) {
    case 'none': return { type: 'denied', why: 'this route needs a key' }
    case 'unusable': return { type: 'denied', why: key.why }
    case 'key': break
  }
  const workspace = keys.holder(key.digest)
  if (workspace === undefined) {
    return elapsedMs(readAt, now) <= UNKNOWN_KEY_AGE_MS ? { type: 'denied', why: 'the key is not known' } : { type: 'unsure', why: 'the key may be newer than what this host knows' }
  }
  if (revocationMs !== undefined && !isWithin(revocationMs, readAt, now)) return { type: 'unsure', why: 'the key may have been taken away since this host heard of the configuration' }
  return { type: 'granted', caller: { type: 'workspace', name: workspace.name, priority: workspace.priority } }
}
