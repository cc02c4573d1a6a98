/** Routes requests by method and path. Each feature registers its own routes. */

import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { Access } from '../common/identity.ts'
import type { Exchange } from './exchange.ts'

export type Handler = (exchange: Exchange) => Promise<void>

export interface Route {
  /** HTTP method, or `*` for any. */
  readonly method: string
  /** Path pattern. A segment may be `:name` for a parameter, and the last one `*` for the remaining path. */
  readonly path: string
  readonly access: Access
  /** Marks calls within the system, which must continue while this host is stopping or lags behind. */
  readonly internal?: boolean
  /** Largest body, in bytes, if it differs from that of other routes. */
  readonly maximumBodyBytes?: number
  readonly handle: Handler
}

export interface RouteMatch {
  readonly route: Route
  readonly parameters: Record<string, string>
}

export class Router {
  private readonly routes: { readonly route: Route, readonly parts: readonly string[] }[] = []

  register (route: Route): void {
    this.routes.push({ route, parts: route.path.split('/') })
  }

  /** Finds the route of a request. */
  match (method: string, path: string): Result<RouteMatch> {
    const segments = path.split('/')
    let pathMatched = false
    for (const { route, parts: pattern } of this.routes) {
      const parameters = matchPathSegments(pattern, segments)
      if (parameters === undefined) continue
      pathMatched = true
      if (route.method === '*' || route.method === method) return success({ route, parameters })
    }
    return pathMatched ? failure('methodNotAllowed', `${path} does not support method ${method}`) : failure('notFound', `no route for path ${path}`)
  }
}

function matchPathSegments (pattern: readonly string[], segments: readonly string[]): Record<string, string> | undefined {
  const parameters: Record<string, string> = {}
  for (const [index, expected] of pattern.entries()) {
    if (expected === '*') {
      parameters.rest = `/${segments.slice(index).join('/')}`
      return parameters
    }
    const segment = segments[index]
    if (segment === undefined) return undefined
    if (expected.startsWith(':')) {
      const decoded = decodeSegment(segment)
      if (decoded === undefined || decoded === '') return undefined
      parameters[expected.slice(1)] = decoded
    } else if (expected !== segment) {
      return undefined
    }
  }
  return segments.length === pattern.length ? parameters : undefined
}

function decodeSegment (part: string): string | undefined {
  try {
    return decodeURIComponent(part)
  } catch {
    return undefined
  }
}
