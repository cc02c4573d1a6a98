/** Workspaces, their keys, and who a caller is. */

import type { KeyDigest, WorkspaceName } from '../../../base/common/ids.ts'

export interface WorkspaceDefinition {
  readonly name: WorkspaceName
  /** None where all were taken away. */
  readonly keys: readonly KeyDigest[]
  /** Goes before the priority of a route; absent where the route's holds. */
  readonly priority: number | undefined
}

/** What a request shows of its caller. */
export type PresentedKey =
  | { readonly type: 'none' }
  | { readonly type: 'key', readonly digest: KeyDigest }
  | { readonly type: 'unusable', readonly why: string }

/** Who a caller is. */
export type CallerIdentity =
  /** The deployment has no workspaces: what callers present is the targets' matter. */
  | { readonly type: 'open' }
  /** The route is public. */
  | { readonly type: 'anonymous' }
  | { readonly type: 'workspace', readonly name: WorkspaceName, readonly priority: number | undefined }

/** Workspaces by their keys. */
export class WorkspaceKeys {
  private readonly byDigest = new Map<KeyDigest, WorkspaceDefinition>()

  constructor (workspaces: readonly WorkspaceDefinition[]) {
    for (const workspace of workspaces) {
      for (const digest of workspace.keys) this.byDigest.set(digest, workspace)
    }
  }

  holder (digest: KeyDigest): WorkspaceDefinition | undefined {
    return this.byDigest.get(digest)
  }
}

/** Why workspaces cannot be told apart; `undefined` where they can. */
export function findClash (workspaces: readonly WorkspaceDefinition[]): string | undefined {
  const names = new Set<WorkspaceName>()
  const holders = new Map<KeyDigest, WorkspaceName>()
  for (const { name, keys } of workspaces) {
    if (names.has(name)) return `workspace ${name} is defined twice`
    names.add(name)
    for (const digest of keys) {
      const other = holders.get(digest)
      if (other !== undefined && other !== name) return `workspaces ${other} and ${name} have a key in common`
      holders.set(digest, name)
    }
  }
  return undefined
}

/** The name of the workspace that a caller belongs to. */
export function workspaceOf (caller: CallerIdentity): WorkspaceName | undefined {
  return caller.type === 'workspace' ? caller.name : undefined
}
