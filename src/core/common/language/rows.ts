/**
 * Filtering of the rows that a `show` statement returns.
 */

import { unreachable } from '../../../base/common/exhaustive.ts'
import type { PropertyValue } from '../fold/command.ts'
import type { Condition } from './statement.ts'

/** A row of a query result. */
export type Row = Record<string, PropertyValue | null>

/** Returns the rows that match all conditions. A row without the field matches only `!=`. */
export function filterRows (rows: readonly Row[], conditions: readonly Condition[]): Row[] {
  return rows.filter((row) => conditions.every((condition) => matches(row, condition)))
}

function matches (row: Row, { field, comparison, value }: Condition): boolean {
  const fieldValue = Object.hasOwn(row, field) ? row[field] : null
  if (fieldValue === null || fieldValue === undefined) return comparison === '!='
  switch (comparison) {
    case '=': return fieldValue === value
    case '!=': return fieldValue !== value
    case '<': return fieldValue < value
    case '<=': return fieldValue <= value
    case '>': return fieldValue > value
    case '>=': return fieldValue >= value
    default: return unreachable(comparison)
  }
}
