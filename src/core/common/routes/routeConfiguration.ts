/**
 * Routes: which service answers a request, by its host and the longest prefix of its path, and
 * within which limits. A configuration is replaced as a whole and never by an older one.
 */

import type { WorkspaceDefinition } from '../identity/workspaces.ts'
import { WorkspaceKeys } from '../identity/workspaces.ts'

/** What may be done with a request twice. */
export type RouteKind = 'idempotent' | 'once-only' | 'streaming' | 'steps'

export interface Destination {
  readonly service: string
  /** Share of the requests, in relation to the other destinations. */
  readonly weight: number
}

export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly destinations: readonly Destination[]
  /** Longest time that a caller is kept waiting, in milliseconds. */
  readonly timeoutMs: number
  /** Time within which an answer is worth the most, in milliseconds. */
  readonly objectiveMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Targets to which one request may be sent, at most. */
  readonly attempts: number
  /** Whether a broken stream may go on at another target. */
  readonly resumable: boolean
  /** Whether callers need no key. */
  readonly isPublic: boolean
  /** Steps: time from the submission to the last wanted result, in milliseconds. */
  readonly dueMs: number
  /** Steps: time after which an item may be given up, in milliseconds. */
  readonly retentionMs: number
  /** Steps: whether one version of the weights must have made a whole sample. */
  readonly singleVersion: boolean
}

export interface EngineDefinition {
  readonly slots: number
  readonly models: readonly string[]
}

export interface ServiceDefinition {
  readonly name: string
  readonly maximumConnections: number
  /** Present where the service's targets are model engines. */
  readonly engine: EngineDefinition | undefined
}

/** What callers may send. */
export interface CallerLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerTimeoutMs: number
  readonly idleTimeoutMs: number
}

export interface RouteConfiguration {
  readonly version: number
  readonly routes: readonly Route[]
  readonly services: readonly ServiceDefinition[]
  readonly limits: CallerLimits
  /** Absent where callers need no keys. */
  readonly workspaces?: readonly WorkspaceDefinition[] | undefined
}

/** A configuration made ready for look-ups. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>()
  private readonly services = new Map<string, ServiceDefinition>()
  /** Whose keys are valid; absent where callers need none. */
  readonly keys: WorkspaceKeys | undefined

  constructor (readonly configuration: RouteConfiguration) {
    for (const route of configuration.routes) {
      const routes = this.byHost.get(route.host) ?? []
      routes.push(route)
      this.byHost.set(route.host, routes)
    }
    for (const routes of this.byHost.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    for (const service of configuration.services) this.services.set(service.name, service)
    this.keys = configuration.workspaces === undefined ? undefined : new WorkspaceKeys(configuration.workspaces)
  }

  get version (): number {
    return this.configuration.version
  }

  /** The route with the longest prefix of a path, among those of a host; a port after the host does not count. */
  find (host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase()
    return this.byHost.get(name)?.find((route) => path.startsWith(route.pathPrefix))
  }

  service (name: string): ServiceDefinition | undefined {
    return this.services.get(name)
  }

  /** Services whose targets are model engines. */
  engineServices (): ServiceDefinition[] {
    return this.configuration.services.filter((service) => service.engine !== undefined)
  }
}

/** Picks a destination by weight; `chance` is a number from 0 up to but without 1. */
export function pickDestination (destinations: readonly Destination[], chance: number): string | undefined {
  const total = destinations.reduce((sum, { weight }) => sum + weight, 0)
  let rest = chance * total
  for (const { service, weight } of destinations) {
    rest -= weight
    if (rest < 0) return service
  }
  return destinations.find(({ weight }) => weight > 0)?.service
}
