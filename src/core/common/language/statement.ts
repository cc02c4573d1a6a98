/**
 * Statements of the query and command language, as returned by the parser.
 */

import type { Command, PropertyValue } from '../fold/command.ts'

/** Views that `show` can list. */
export const viewNames = ['pools', 'targets', 'lanes', 'subscriptions', 'hosts', 'leases', 'samples', 'audit', 'status'] as const
export type ViewName = (typeof viewNames)[number]

export const comparisons = ['=', '!=', '<', '<=', '>', '>='] as const
export type Comparison = (typeof comparisons)[number]

/** A condition of a `where` clause. */
export interface Condition {
  readonly field: string
  readonly comparison: Comparison
  readonly value: PropertyValue
}

/** A query. */
export interface ShowStatement {
  readonly type: 'show'
  readonly view: ViewName
  /** The subscription named in `show samples of subscription NAME`. */
  readonly subscription?: string
  readonly conditions: readonly Condition[]
  /** Restricts the result to events within this many milliseconds before now. */
  readonly sinceMs?: number
}

/** A command that changes the configuration. */
export interface CommandStatement {
  readonly type: 'command'
  readonly command: Command
}

export type Statement = ShowStatement | CommandStatement
