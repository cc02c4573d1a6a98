/**
 * Filtering of the rows that a `show` gives.
 */

import { unreachable } from '../../../base/common/exhaustive.ts'
import type { PropertyValue } from '../fold/command.ts'
import type { Condition } from './statement.ts'

/** One row of an answer. */
export type Row = Record<string, PropertyValue | null>

/** Keeps the rows that meet all conditions; a row without the field meets only `!=`. */
export function filterRows (rows: readonly Row[], conditions: readonly Condition[]): Row[] {
  return rows.filter((row) => conditions.every((condition) => meets(row, condition)))
}

function meets (row: Row, { field, comparison, value }: Condition): boolean {
  const found = Object.hasOwn(row, field) ? row[field] : null
  if (found === null || found === undefined) return comparison === '!='
  switch (comparison) {
    case '=': return found === value
    case '!=': return found !== value
    case '<': return found < value
    case '<=': return found <= value
    case '>': return found > value
    case '>=': return found >= value
    default: return unreachable(comparison)
  }
}
