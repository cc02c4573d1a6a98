/** Routes by method and path. Each feature registers its own. */

import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { Access } from '../common/identity.ts'
import type { Exchange } from './exchange.ts'

export type Handler = (exchange: Exchange) => Promise<void>

export interface Route {
  /** Method, or `*` for any. */
  readonly method: string
  /** Path whose parts may be `:name`, or `*` at the end for the rest. */
  readonly path: string
  readonly access: Access
  /** True for calls of the system's own that must go on while this host stops or is behind. */
  readonly internal?: boolean
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
    const parts = path.split('/')
    let pathKnown = false
    for (const { route, parts: pattern } of this.routes) {
      const parameters = matchParts(pattern, parts)
      if (parameters === undefined) continue
      pathKnown = true
      if (route.method === '*' || route.method === method) return success({ route, parameters })
    }
    return pathKnown ? failure('methodNotAllowed', `${path} does not take ${method}`) : failure('notFound', `there is no ${path}`)
  }
}

function matchParts (pattern: readonly string[], parts: readonly string[]): Record<string, string> | undefined {
  const parameters: Record<string, string> = {}
  for (const [index, expected] of pattern.entries()) {
    if (expected === '*') {
      parameters.rest = `/${parts.slice(index).join('/')}`
      return parameters
    }
    const part = parts[index]
    if (part === undefined) return undefined
    if (expected.startsWith(':')) {
      const decoded = decode(part)
      if (decoded === undefined || decoded === '') return undefined
      parameters[expected.slice(1)] = decoded
    } else if (expected !== part) {
      return undefined
    }
  }
  return parts.length === pattern.length ? parameters : undefined
}

function decode (part: string): string | undefined {
  try {
    return decodeURIComponent(part)
  } catch {
    return undefined
  }
}
