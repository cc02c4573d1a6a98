/** Workspaces, their keys, and the identity of a caller. */

import type { KeyDigest, WorkspaceName } from '../../../base/common/ids.ts'

export interface WorkspaceDefinition {
  readonly name: WorkspaceName
  /** Digests of the valid keys; empty if all keys were revoked. */
  readonly keys: readonly KeyDigest[]
  /** Overrides the priority of a route; absent if the route's priority applies. */
  readonly priority: number | undefined
}

/** The key that a request presents. */
export type PresentedKey =
  | { readonly type: 'none' }
  | { readonly type: 'key', readonly digest: KeyDigest }
  | { readonly type: 'unusable', readonly why: string }

/** The identity of a caller. */
export type CallerIdentity =
  /** No workspaces are configured; credentials that callers present are left to the targets. */
  | { readonly type: 'open' }
  /** The route is public. */
  | { readonly type: 'anonymous' }
  | { readonly type: 'workspace', readonly name: WorkspaceName, readonly priority: number | undefined }

/** Index of workspaces by the digests of their keys. */
export class WorkspaceKeys {
  private readonly byDigest = new Map<KeyDigest, WorkspaceDefinition>()

  constructor (workspaces: readonly WorkspaceDefinition[]) {
    for (const workspace of workspaces) {
      for (const digest of workspace.keys) this.byDigest.set(digest, workspace)
    }
  }

  findWorkspace (digest: KeyDigest): WorkspaceDefinition | undefined {
    return this.byDigest.get(digest)
  }
}

/** Describes the first conflict between workspace names or keys; returns `undefined` if there is none. */
export function findConflict (workspaces: readonly WorkspaceDefinition[]): string | undefined {
  const names = new Set<WorkspaceName>()
  const ownerByDigest = new Map<KeyDigest, WorkspaceName>()
  for (const { name, keys } of workspaces) {
    if (names.has(name)) return `workspace ${name} is defined twice`
    names.add(name)
    for (const digest of keys) {
      const owner = ownerByDigest.get(digest)
      if (owner !== undefined && owner !== name) return `workspaces ${owner} and ${name} have a key in common`
      ownerByDigest.set(digest, name)
    }
  }
  return undefined
}

/** Returns the name of the workspace that a caller belongs to. */
export function workspaceOf (caller: CallerIdentity): WorkspaceName | undefined {
  return caller.type === 'workspace' ? caller.name : undefined
}
