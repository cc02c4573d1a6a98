/** Helper that makes a switch over a discriminated union exhaustive at compile time. */

/** Stands in the default branch of a switch; reaching it is a programming error. */
export function unreachable (value: never): never {
  throw new Error(`unexpected variant: ${JSON.stringify(value)}`)
}
