/** Checks of generated texts. The engine stand-in writes the weight version into each token. */

import type { Segment } from '../../src/core/common/fold/records.ts'

const TOKEN = /^t(\d+)@(\d+)$/

/** Returns the errors in the tokens of a text and in their attribution to versions. */
export function findAttributionErrors (text: string, segments: readonly Segment[]): string[] {
  const faults: string[] = []
  const tokens = text.trim().split(' ').filter((token) => token !== '')
  tokens.forEach((token, position) => {
    const [, index, version] = TOKEN.exec(token) ?? []
    const segment = segments.find(({ from, to }) => position >= from && position < to)
    if (Number(index) !== position) faults.push(`token ${position} is ${token}`)
    if (segment?.version !== Number(version)) faults.push(`token ${token} is attributed to version ${String(segment?.version)}`)
  })
  const length = segments.at(-1)?.to ?? 0
  if (length !== tokens.length) faults.push(`${tokens.length} tokens, ${length} attributed`)
  return faults
}
