/** Factories for routes and target definitions. */

import type { Route } from '../../src/core/common/routes/routeConfiguration.ts'
import type { TargetDefinition } from '../../src/core/common/routes/target.ts'

export function newRoute (details: Partial<Route> = {}): Route {
  return {
    name: 'r',
    host: 'calls.example',
    pathPrefix: '/a/',
    kind: 'idempotent',
    destinations: [{ service: 's', weight: 1 }],
    timeoutMs: 2000,
    objectiveMs: 200,
    priority: 2,
    attempts: 2,
    resumable: false,
    dueMs: 7500,
    retentionMs: 40_000,
    singleVersion: false,
    isPublic: false,
    ...details
  }
}

export function newTargetDefinition (details: Partial<TargetDefinition> = {}): TargetDefinition {
  return { id: 't', incarnation: undefined, service: 's', address: '127.0.0.1:1', place: 'here', slots: 6, draining: false, rental: 'regular', leavesAtMs: undefined, coldMs: 0, models: [], ...details }
}
