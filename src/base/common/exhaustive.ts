/** Compile-time check that a switch over a discriminated union is exhaustive. */

/** Marks the default branch of an exhaustive switch; reaching it at run time is a programming error. */
export function unreachable (value: never): never {
  throw new Error(`unexpected variant: ${JSON.stringify(value)}`)
}
