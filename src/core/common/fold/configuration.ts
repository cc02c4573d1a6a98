/**
 * The part of the fold that holds the configuration set by operators: pools, targets, lanes and
 * subscriptions. Commands are conditional records, so the log orders concurrent commands, and the
 * operator whose command loses is told the revision that won.
 */

import type { Failure, Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import { unreachable } from '../../../base/common/exhaustive.ts'
import type { Command, ObjectKind, PropertiesOf, PropertyValue } from './command.ts'
import { objectKinds, objectSchemas } from './command.ts'

/** A configured object with the revision of its last change, which is the fold's sequence number of that record. */
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

/** The author and the revision of a configuration change. */
export interface ChangeContext {
  readonly by: string
  readonly revision: number
}

/** Looks up an object by its own properties only, as names such as `constructor` are inherited by every JavaScript object. */
export function findObject<Kind extends ObjectKind> (configuration: Configuration, kind: Kind, name: string): ConfiguredObject<Kind> | undefined {
  const objects = configuration[kind] as Record<string, ConfiguredObject<Kind>>
  return Object.hasOwn(objects, name) ? objects[name] : undefined
}

/** Validates a command and, if it is accepted, applies it to the configuration. */
export function applyCommand (configuration: Configuration, command: Command, context: ChangeContext): Result<number> {
  switch (command.verb) {
    case 'create':
      if (findObject(configuration, command.kind, command.name) !== undefined) {
        return failure('alreadyExists', `${command.kind} ${command.name} exists`, { revision: findObject(configuration, command.kind, command.name)?.revision ?? 0 })
      }
      return putObject(configuration, command.kind, command.name, command.properties, context)
    case 'set':
      return updateObject(configuration, command.kind, command.name, command.ifRevision, command.properties, context)
    case 'remove':
      return removeObject(configuration, command.kind, command.name, command.ifRevision, context)
    case 'drain':
      return updateObject(configuration, 'target', command.target, command.ifRevision, { state: 'draining' }, context)
    case 'restore':
      return updateObject(configuration, 'target', command.target, command.ifRevision, { state: 'active' }, context)
    case 'load':
      return updateObject(configuration, 'pool', command.pool, command.ifRevision, { weights: command.version }, context)
    default:
      return unreachable(command)
  }
}

function updateObject (configuration: Configuration, kind: ObjectKind, name: string, ifRevision: number | undefined, properties: Record<string, PropertyValue>, context: ChangeContext): Result<number> {
  const current = findObject(configuration, kind, name)
  if (current === undefined) return failure('notFound', `there is no ${kind} ${name}`)
  const conflict = checkRevision(current, ifRevision)
  if (conflict !== undefined) return conflict
  if (kind === 'pool') {
    const currentVersion = (current as ConfiguredObject<'pool'>).properties.weights
    if (typeof properties.weights === 'number' && properties.weights < currentVersion) {
      return failure('versionBehind', `pool ${name} is on weights ${currentVersion}`, { revision: current.revision })
    }
  }
  return putObject(configuration, kind, name, { ...current.properties, ...properties }, context)
}

function checkRevision (current: ConfiguredObject, ifRevision: number | undefined): Failure | undefined {
  if (ifRevision === undefined || ifRevision === current.revision) return undefined
  return failure('revisionConflict', `${current.name} is at revision ${current.revision}, changed by ${current.by}`, { revision: current.revision })
}

function putObject (configuration: Configuration, kind: ObjectKind, name: string, properties: Record<string, PropertyValue>, context: ChangeContext): Result<number> {
  const parsed = objectSchemas[kind].safeParse(properties)
  if (!parsed.success) {
    const issues = parsed.error.issues.map((issue) => `${issue.path.join('.') || kind}: ${issue.message}`)
    return failure('malformed', issues.join('; '))
  }
  const violation = checkReferences(configuration, kind, name, parsed.data)
  if (violation !== undefined) return violation
  const objects = configuration[kind] as Record<string, ConfiguredObject>
  objects[name] = { name, revision: context.revision, by: context.by, properties: parsed.data }
  return success(context.revision)
}

function checkReferences (configuration: Configuration, kind: ObjectKind, name: string, properties: PropertiesOf<ObjectKind>): Failure | undefined {
  if (kind === 'pool') {
    const usedCopies = targetsOfPool(configuration, name).length
    const copies = (properties as PropertiesOf<'pool'>).copies
    return copies < usedCopies ? failure('licenceExceeded', `pool ${name} has ${usedCopies} targets and would have ${copies} copies`) : undefined
  }
  const poolName = (properties as { pool: string }).pool
  const pool = findObject(configuration, 'pool', poolName)
  if (pool === undefined) return failure('notFound', `there is no pool ${poolName}`)
  if (kind !== 'target') return undefined
  const others = targetsOfPool(configuration, poolName).filter((target) => target.name !== name)
  if (others.length < pool.properties.copies) return undefined
  return failure('licenceExceeded', `all ${pool.properties.copies} copies of pool ${poolName} are in use`, { revision: pool.revision })
}

function removeObject (configuration: Configuration, kind: ObjectKind, name: string, ifRevision: number | undefined, context: ChangeContext): Result<number> {
  const current = findObject(configuration, kind, name)
  if (current === undefined) return failure('notFound', `there is no ${kind} ${name}`)
  const conflict = checkRevision(current, ifRevision)
  if (conflict !== undefined) return conflict
  if (kind === 'pool') {
    const dependents = objectKinds.filter((other) => other !== 'pool')
      .flatMap((other) => Object.values(configuration[other]))
      .filter((object) => (object.properties as { pool: string }).pool === name)
    if (dependents.length > 0) return failure('stillUsed', `pool ${name} is used by ${dependents.map((user) => user.name).join(', ')}`, { revision: current.revision })
  }
  delete configuration[kind][name]
  return success(context.revision)
}

/** Returns the targets of a pool in order of creation. */
export function targetsOfPool (configuration: Configuration, pool: string): ConfiguredObject<'target'>[] {
  return Object.values(configuration.target).filter((target) => target.properties.pool === pool)
}
