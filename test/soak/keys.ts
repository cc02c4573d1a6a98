/** Workspaces of the soak test, whose keys are issued and revoked, and the checks of requests that present them. */

import type { Fleet } from '../platform/support/fleet.ts'
import { configuration } from '../platform/support/fleet.ts'
import type { SeededRandom } from './seededRandom.ts'

/** Maximum time for which a revoked key may still be accepted, in milliseconds. */
export const MAX_REVOCATION_DELAY_MS = 2000
const WORKSPACE_COUNT = 12
/** Number of most recently revoked keys per workspace that callers still try. */
const MAX_RETRIED_REVOKED_KEYS = 8

interface PresentedKey {
  readonly key: string
  readonly workspace: string
  readonly sentAt: number
}

export class WorkspaceKeys {
  private readonly held = new Map<string, string[]>()
  /** Revoked keys, with their workspace and the time at which the change was in the store. */
  private readonly revokedKeys = new Map<string, { readonly workspace: string, readonly at: number }>()
  private readonly presentedKeys = new Map<string, PresentedKey>()
  private keyCount = 0

  /** @param nextVersion the next number of the configuration, which faults change too */
  constructor (private readonly fleet: Fleet, private readonly draw: SeededRandom, private readonly nextVersion: () => number) {
    for (let index = 0; index < WORKSPACE_COUNT; index++) this.held.set(`workspace-${index}`, [this.newKey(), this.newKey()])
  }

  get workspaces (): string[] {
    return [...this.held.keys()]
  }

  /** Returns a configuration with the current keys. */
  buildConfiguration (version: number, details: Record<string, object> = {}): object {
    return { ...configuration(version, { ...details, score: { public: true } }), tenants: [...this.held].map(([name, keys]) => ({ name, api_keys: keys, priority: 1 })) }
  }

  writeConfiguration (): void {
    this.fleet.store.put('keyed.op', 'config', this.buildConfiguration(this.nextVersion()))
  }

  /** Revokes the oldest key of a random workspace and issues a new one. */
  rotateKey (): void {
    const workspace = this.draw.pick(this.workspaces)
    const [oldest = '', ...others] = this.held.get(workspace) ?? []
    this.held.set(workspace, [...others, this.newKey()])
    this.writeConfiguration()
    this.revokedKeys.set(oldest, { workspace, at: Date.now() })
  }

  /** Returns a key for a request. Usually it is a valid key of the workspace, sometimes a revoked key or one that never existed. */
  presentKey (id: string, workspace = this.draw.pick(this.workspaces)): string {
    const old = [...this.revokedKeys].filter(([, { workspace: former }]) => former === workspace).slice(-MAX_RETRIED_REVOKED_KEYS).map(([key]) => key)
    const key = old.length > 0 && this.draw.chance(0.1) ? this.draw.pick(old) : this.draw.chance(0.02) ? `never-${this.keyCount}` : this.draw.pick(this.held.get(workspace) ?? [])
    this.presentedKeys.set(id, { key, workspace, sentAt: Date.now() })
    return key
  }

  /** Returns the violations in the requests that ran on targets. */
  violations (): string[] {
    return this.fleet.targets.flatMap(({ options, runs }) => runs.flatMap(({ id, headers }) => {
      const shown = headers['authorization'] === undefined ? [] : [`${options.id} received the caller's key of ${id}`]
      const presented = this.presentedKeys.get(id)
      return presented === undefined ? shown : [...shown, ...this.findViolations(id, presented, headers['bulrushvalve-tenant'])]
    }))
  }

  private findViolations (id: string, { key, workspace, sentAt }: PresentedKey, reportedWorkspace: string | string[] | undefined): string[] {
    const gone = this.revokedKeys.get(key)
    return [
      ...(reportedWorkspace === workspace ? [] : [`${id} of ${workspace} ran with workspace ${String(reportedWorkspace)}`]),
      ...(key.startsWith('never-') ? [`${id} ran with a key that never existed`] : []),
      ...(gone !== undefined && sentAt > gone.at + MAX_REVOCATION_DELAY_MS ? [`${id} ran with a key that had been revoked for ${sentAt - gone.at} ms when it was sent`] : [])
    ]
  }

  private newKey (): string {
    return `key-${this.keyCount++}`
  }
}
