/** Who presents a key: peers, operators, callers and trainers, as the settings name them. */

import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { Settings } from '../../settings/common/settings.ts'

export type Identity =
  | { readonly type: 'peer' }
  | { readonly type: 'operator', readonly name: string }
  | { readonly type: 'caller', readonly name: string, readonly trainer: boolean }

/** What a route asks of whoever uses it. */
export type Access = 'anyone' | 'caller' | 'trainer' | 'operator' | 'peer'

export class Identities {
  private readonly byKey = new Map<string, Identity>()

  constructor (settings: Pick<Settings, 'peers' | 'callers' | 'operators'>) {
    this.byKey.set(settings.peers.key, { type: 'peer' })
    for (const { name, key } of settings.operators) this.byKey.set(key, { type: 'operator', name })
    for (const { name, key, role } of settings.callers) this.byKey.set(key, { type: 'caller', name, trainer: role === 'trainer' })
  }

  /** Decides whether the bearer of an `authorization` header may use a route. */
  admit (authorization: string | undefined, access: Access): Result<Identity | undefined> {
    const key = /^Bearer (.+)$/.exec(authorization ?? '')?.[1]
    const identity = key === undefined ? undefined : this.byKey.get(key)
    if (access === 'anyone') return success(identity)
    if (identity === undefined) return failure('unauthenticated', 'a known key must be presented as bearer token')
    return allows(identity, access) ? success(identity) : failure('forbidden', `this key is not that of a ${access}`)
  }
}

function allows (identity: Identity, access: Exclude<Access, 'anyone'>): boolean {
  switch (access) {
    case 'peer': return identity.type === 'peer'
    case 'operator': return identity.type === 'operator'
    case 'trainer': return identity.type === 'caller' && identity.trainer
    case 'caller': return identity.type === 'caller'
  }
}
