/** Identities of peers, operators, callers and trainers, authenticated by the keys in the settings. */

import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { Settings } from '../../settings/common/settings.ts'

export type Identity =
  | { readonly type: 'peer' }
  | { readonly type: 'operator', readonly name: string }
  | { readonly type: 'caller', readonly name: string, readonly trainer: boolean }

/** The access that a route requires. */
export type Access = 'anyone' | 'caller' | 'trainer' | 'operator' | 'peer'

export class Identities {
  private readonly byKey = new Map<string, Identity>()

  constructor (settings: Pick<Settings, 'peers' | 'callers' | 'operators'>) {
    this.byKey.set(settings.peers.key, { type: 'peer' })
    for (const { name, key } of settings.operators) this.byKey.set(key, { type: 'operator', name })
    for (const { name, key, role } of settings.callers) this.byKey.set(key, { type: 'caller', name, trainer: role === 'trainer' })
  }

  /** Authenticates an `authorization` header and checks whether its identity has access to a route. */
  authorize (authorization: string | undefined, access: Access): Result<Identity | undefined> {
    const key = /^Bearer (.+)$/.exec(authorization ?? '')?.[1]
    const identity = key === undefined ? undefined : this.byKey.get(key)
    if (access === 'anyone') return success(identity)
    if (identity === undefined) return failure('unauthenticated', 'a valid key is required as bearer token')
    return hasAccess(identity, access) ? success(identity) : failure('forbidden', `this key does not grant ${access} access`)
  }
}

function hasAccess (identity: Identity, access: Exclude<Access, 'anyone'>): boolean {
  switch (access) {
    case 'peer': return identity.type === 'peer'
    case 'operator': return identity.type === 'operator'
    case 'trainer': return identity.type === 'caller' && identity.trainer
    case 'caller': return identity.type === 'caller'
  }
}
