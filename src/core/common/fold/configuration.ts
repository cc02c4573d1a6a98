/**
 * The part of the fold that holds what operators configured: pools, targets, lanes, subscriptions.
 * Commands are conditional records, so operators who race are ordered by the log and the one who
 * lost is told the revision that beat him.
 */

import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { Command, ObjectKind, PropertiesOf, PropertyValue } from './command.ts'
import { objectKinds, objectSchemas } from './command.ts'

/** A configured object with the revision (record number of the fold) of its last change. */
export interface ConfiguredObject<Kind extends ObjectKind = ObjectKind> {
  readonly name: string
  readonly revision: number
  readonly by: string
  readonly properties: PropertiesOf<Kind>
}

/** All configured objects, by kind and name. */
export type Configuration = { [Kind in ObjectKind]: Record<string, ConfiguredObject<Kind>> }

export function emptyConfiguration (): Configuration {
  return { pool: {}, target: {}, lane: {}, subscription: {} }
}

/** What a change of configuration is decided with. */
export interface ChangeContext {
  readonly by: string
  readonly revision: number
}

/** Looks an object up without falling for names that every JavaScript object inherits. */
export function findObject<Kind extends ObjectKind> (configuration: Configuration, kind: Kind, name: string): ConfiguredObject<Kind> | undefined {
  const objects = configuration[kind] as Record<string, ConfiguredObject<Kind>>
  return Object.hasOwn(objects, name) ? objects[name] : undefined
}

/** Decides a command and, if it is accepted, changes the configuration. */
export function applyCommand (configuration: Configuration, command: Command, context: ChangeContext): Result<number> {
  switch (command.verb) {
    case 'create':
      if (findObject(configuration, command.kind, command.name) !== undefined) {
        return failure('alreadyExists', `${command.kind} ${command.name} exists`, { revision: findObject(configuration, command.kind, command.name)?.revision ?? 0 })
      }
      return store(configuration, command.kind, command.name, command.properties, context)
    case 'set':
      return change(configuration, command.kind, command.name, command.ifRevision, command.properties, context)
    case 'remove':
      return remove(configuration, command.kind, command.name, command.ifRevision, context)
    case 'drain':
      return change(configuration, 'target', command.target, command.ifRevision, { state: 'draining' }, context)
    case 'restore':
      return change(configuration, 'target', command.target, command.ifRevision, { state: 'active' }, context)
    case 'load':
      return change(configuration, 'pool', command.pool, command.ifRevision, { weights: command.version }, context)
    default:
      return unreachable(command)
  }
}

function change (configuration: Configuration, kind: ObjectKind, name: string, ifRevision: number | undefined, properties: Record<string, PropertyValue>, context: ChangeContext): Result<number> {
  const current = findObject(configuration, kind, name)
  if (current === undefined) return failure('notFound', `there is no ${kind} ${name}`)
  const conflict = revisionConflict(current, ifRevision)
  if (conflict !== undefined) return conflict
  if (kind === 'pool') {
    const inForce = (current as ConfiguredObject<'pool'>).properties.weights
    if (typeof properties.weights === 'number' && properties.weights < inForce) {
      return failure('versionBehind', `pool ${name} is on weights ${inForce}`, { revision: current.revision })
    }
  }
  return store(configuration, kind, name, { ...current.properties, ...properties }, context)
}

function revisionConflict (current: ConfiguredObject, ifRevision: number | undefined): Failure | undefined {
  if (ifRevision === undefined || ifRevision === current.revision) return undefined
  return failure('revisionConflict', `${current.name} is at revision ${current.revision}, changed by ${current.by}`, { revision: current.revision })
}

function store (configuration: Configuration, kind: ObjectKind, name: string, properties: Record<string, PropertyValue>, context: ChangeContext): Result<number> {
  const parsed = objectSchemas[kind].safeParse(properties)
  if (!parsed.success) {
    const issues = parsed.error.issues.map((issue) => `${issue.path.join('.') || kind}: ${issue.message}`)
    return failure('malformed', issues.join('; '))
  }
  const missing = checkReferences(configuration, kind, name, parsed.data)
  if (missing !== undefined) return missing
  const objects = configuration[kind] as Record<string, ConfiguredObject>
  objects[name] = { name, revision: context.revision, by: context.by, properties: parsed.data }
  return success(context.revision)
}

function checkReferences (configuration: Configuration, kind: ObjectKind, name: string, properties: PropertiesOf<ObjectKind>): Failure | undefined {
  if (kind === 'pool') {
    const used = targetsOfPool(configuration, name).length
    const copies = (properties as PropertiesOf<'pool'>).copies
    return copies < used ? failure('licenceExceeded', `pool ${name} has ${used} targets and would have ${copies} copies`) : undefined
  }
  const poolName = (properties as { pool: string }).pool
  const pool = findObject(configuration, 'pool', poolName)
  if (pool === undefined) return failure('notFound', `there is no pool ${poolName}`)
  if (kind !== 'target') return undefined
  const others = targetsOfPool(configuration, poolName).filter((target) => target.name !== name)
  if (others.length < pool.properties.copies) return undefined
  return failure('licenceExceeded', `all ${pool.properties.copies} copies of pool ${poolName} are in use`, { revision: pool.revision })
}

function remove (configuration: Configuration, kind: ObjectKind, name: string, ifRevision: number | undefined, context: ChangeContext): Result<number> {
  const current = findObject(configuration, kind, name)
  if (current === undefined) return failure('notFound', `there is no ${kind} ${name}`)
  const conflict = revisionConflict(current, ifRevision)
  if (conflict !== undefined) return conflict
  if (kind === 'pool') {
    const users = objectKinds.filter((other) => other !== 'pool')
      .flatMap((other) => Object.values(configuration[other]))
      .filter((object) => (object.properties as { pool: string }).pool === name)
    if (users.length > 0) return failure('stillUsed', `pool ${name} is used by ${users.map((user) => user.name).join(', ')}`, { revision: current.revision })
  }
  delete configuration[kind][name]
  return success(context.revision)
}

/** Targets of a pool, in the order in which they were created. */
export function targetsOfPool (configuration: Configuration, pool: string): ConfiguredObject<'target'>[] {
  return Object.values(configuration.target).filter((target) => target.properties.pool === pool)
}
