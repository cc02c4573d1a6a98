/**
 * Routes map a request to a service by its host and the longest matching path prefix, and set the
 * limits that apply. A configuration is always replaced as a whole and never by an older one.
 */

import type { WorkspaceDefinition } from '../identity/workspaces.ts'
import { WorkspaceKeys } from '../identity/workspaces.ts'

/** How requests of a route may be repeated. */
export type RouteKind = 'idempotent' | 'once-only' | 'streaming' | 'steps'

export interface Destination {
  readonly service: string
  /** Share of the requests relative to the other destinations. */
  readonly weight: number
}

export interface Route {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly pathPrefix: string
  readonly kind: RouteKind
  readonly destinations: readonly Destination[]
  /** Maximum time that a caller waits for an answer, in milliseconds. */
  readonly timeoutMs: number
  /** Latency objective for an answer, in milliseconds. */
  readonly objectiveMs: number
  /** 0 is the most urgent. */
  readonly priority: number
  /** Maximum number of targets to which a request may be sent. */
  readonly attempts: number
  /** Whether an interrupted stream may be resumed at another target. */
  readonly resumable: boolean
  /** Whether the route accepts callers without a key. */
  readonly isPublic: boolean
  /** For steps: time from submission to the last required result, in milliseconds. */
  readonly dueMs: number
  /** For steps: time after which an item may be abandoned, in milliseconds. */
  readonly retentionMs: number
  /** For steps: whether a single version of the weights must produce a complete sample. */
  readonly singleVersion: boolean
}

export interface EngineDefinition {
  readonly slots: number
  readonly models: readonly string[]
  /** Size of the largest item that an engine can hold, in tokens; absent if the configuration does not state it. */
  readonly memoryTokens?: number | undefined
}

/** Limits and prices of the targets that may be ordered for a service. */
export interface FleetBounds {
  /** Least number of targets in each failure domain, of both kinds together. */
  readonly minimum: number
  /** Largest number of targets in each failure domain, of both kinds together. */
  readonly maximum: number
  /** Time from an order until the target serves, in milliseconds. */
  readonly bootMs: number
  /** Price of a spot target as a fraction of the price of a regular one. */
  readonly spotPrice: number
  /** Price of a regular target per second, by failure domain. Targets are ordered only in these failure domains. */
  readonly prices: ReadonlyMap<string, number>
}

/** Whether targets may be ordered for a service; `unreadable` if the configuration states invalid bounds or prices. */
export type ServiceScaling =
  | { readonly type: 'bounded', readonly bounds: FleetBounds }
  | { readonly type: 'unreadable', readonly error: string }

export interface ServiceDefinition {
  readonly name: string
  readonly maximumConnections: number
  /** Present where the service's targets are model engines. */
  readonly engine: EngineDefinition | undefined
  /** Present where the configuration allows targets of the service to be ordered. */
  readonly scaling?: ServiceScaling
}

/** Limits on the requests that callers may send. */
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
  /** Absent if callers do not need keys. */
  readonly workspaces?: readonly WorkspaceDefinition[] | undefined
}

/** Indexes a configuration for look-ups. */
export class RouteTable {
  private readonly byHost = new Map<string, Route[]>()
  private readonly services = new Map<string, ServiceDefinition>()
  /** The valid keys and their workspaces; absent if callers do not need keys. */
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

  /** Returns the route of a host with the longest matching path prefix. A port in `host` is ignored. */
  findRoute (host: string, path: string): Route | undefined {
    const name = host.replace(/:\d+$/, '').toLowerCase()
    return this.byHost.get(name)?.find((route) => path.startsWith(route.pathPrefix))
  }

  service (name: string): ServiceDefinition | undefined {
    return this.services.get(name)
  }

  /** Returns the size of the largest request that the engines of a route can hold, in tokens; infinite if a service of the route does not state it. */
  maxRequestTokens ({ destinations }: Route): number {
    const sizes = destinations.filter(({ weight }) => weight > 0).map(({ service }) => this.service(service)?.engine?.memoryTokens ?? Number.POSITIVE_INFINITY)
    return sizes.length === 0 ? Number.POSITIVE_INFINITY : Math.max(...sizes)
  }

  /** Returns the services whose targets are model engines. */
  engineServices (): ServiceDefinition[] {
    return this.configuration.services.filter((service) => service.engine !== undefined)
  }
}

/** Picks a destination by weight. `random` is a number in the range [0, 1). */
export function pickDestination (destinations: readonly Destination[], random: number): string | undefined {
  const total = destinations.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = random * total
  for (const { service, weight } of destinations) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return destinations.find(({ weight }) => weight > 0)?.service
}
