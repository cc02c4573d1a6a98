/** Workspaces of a soak, whose keys come and go, and what must not become of requests that present them. */

import type { Fleet } from '../platform/support/fleet.ts'
import { configuration } from '../platform/support/fleet.ts'
import type { Draw } from './chance.ts'

/** A key may be accepted for this long after it was taken away, in milliseconds. */
export const REVOCATION_MS = 2000
const WORKSPACES = 12
/** Newest keys that were taken away and are still tried. */
const TRIED_AGAIN = 8

interface Presented {
  readonly key: string
  readonly workspace: string
  readonly sentAt: number
}

export class Keys {
  private readonly held = new Map<string, string[]>()
  /** Keys that were taken away, with the workspace and the moment at which the store had the change. */
  private readonly gone = new Map<string, { readonly workspace: string, readonly at: number }>()
  private readonly presented = new Map<string, Presented>()
  private made = 0

  /** @param nextVersion the next number of the configuration, which faults change too */
  constructor (private readonly fleet: Fleet, private readonly draw: Draw, private readonly nextVersion: () => number) {
    for (let index = 0; index < WORKSPACES; index++) this.held.set(`workspace-${index}`, [this.newKey(), this.newKey()])
  }

  get workspaces (): string[] {
    return [...this.held.keys()]
  }

  /** The configuration with the present keys. */
  configured (version: number, details: Record<string, object> = {}): object {
    return { ...configuration(version, { ...details, score: { public: true } }), tenants: [...this.held].map(([name, keys]) => ({ name, api_keys: keys, priority: 1 })) }
  }

  write (): void {
    this.fleet.store.put('keyed.op', 'config', this.configured(this.nextVersion()))
  }

  /** Takes a key of some workspace away and gives it a new one. */
  rotate (): void {
    const workspace = this.draw.oneOf(this.workspaces)
    const [oldest = '', ...others] = this.held.get(workspace) ?? []
    this.held.set(workspace, [...others, this.newKey()])
    this.write()
    this.gone.set(oldest, { workspace, at: Date.now() })
  }

  /** A key of a workspace; now and then one that was taken away, or that never was. */
  present (id: string, workspace = this.draw.oneOf(this.workspaces)): string {
    const old = [...this.gone].filter(([, { workspace: former }]) => former === workspace).slice(-TRIED_AGAIN).map(([key]) => key)
    const key = old.length > 0 && this.draw.chance(0.1) ? this.draw.oneOf(old) : this.draw.chance(0.02) ? `never-${this.made}` : this.draw.oneOf(this.held.get(workspace) ?? [])
    this.presented.set(id, { key, workspace, sentAt: Date.now() })
    return key
  }

  /** What is wrong with the requests that ran. */
  violations (): string[] {
    return this.fleet.targets.flatMap(({ options, runs }) => runs.flatMap(({ id, headers }) => {
      const shown = headers['authorization'] === undefined ? [] : [`${options.id} was shown the key of ${id}`]
      const presented = this.presented.get(id)
      return presented === undefined ? shown : [...shown, ...this.wrongIn(id, presented, headers['bulrushvalve-tenant'])]
    }))
  }

  private wrongIn (id: string, { key, workspace, sentAt }: Presented, told: string | string[] | undefined): string[] {
    const gone = this.gone.get(key)
    return [
      ...(told === workspace ? [] : [`${id} of ${workspace} ran for ${String(told)}`]),
      ...(key.startsWith('never-') ? [`${id} ran with a key that never was`] : []),
      ...(gone !== undefined && sentAt > gone.at + REVOCATION_MS ? [`${id} ran with a key that was gone for ${sentAt - gone.at} ms when it was sent`] : [])
    ]
  }

  private newKey (): string {
    return `key-${this.made++}`
  }
}
