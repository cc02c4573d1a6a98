/**
 * Statements of the query and command language, as the parser gives them.
 */

import type { Command, PropertyValue } from '../fold/command.ts'

/** What `show` can list. */
export const viewNames = ['pools', 'targets', 'lanes', 'subscriptions', 'hosts', 'leases', 'samples', 'audit', 'status'] as const
export type ViewName = (typeof viewNames)[number]

export const comparisons = ['=', '!=', '<', '<=', '>', '>='] as const
export type Comparison = (typeof comparisons)[number]

/** One condition of a `where`. */
export interface Condition {
  readonly field: string
  readonly comparison: Comparison
  readonly value: PropertyValue
}

/** A question. */
export interface ShowStatement {
  readonly type: 'show'
  readonly view: ViewName
  /** Subscription that `show samples of subscription NAME` asks for. */
  readonly subscription?: string
  readonly conditions: readonly Condition[]
  /** Only what happened in the last so many milliseconds. */
  readonly sinceMs?: number
}

/** An order. */
export interface CommandStatement {
  readonly type: 'command'
  readonly command: Command
}

export type Statement = ShowStatement | CommandStatement
