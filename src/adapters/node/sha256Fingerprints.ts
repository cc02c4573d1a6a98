/** Fingerprints of requests by SHA-256. */

import { createHash } from 'node:crypto'
import type { RequestFingerprint } from '../../base/common/ids.ts'
import { asRequestFingerprint } from '../../base/common/ids.ts'
import type { Fingerprints, RequestContent } from '../../ports/common/fingerprints.ts'

/** Hexadecimal digits that are kept: 128 bits. */
const DIGITS = 32

const known = new WeakMap<RequestContent, RequestFingerprint>()

export const sha256Fingerprints: Fingerprints = {
  of (content) {
    const print = known.get(content) ?? digest(content)
    known.set(content, print)
    return print
  }
}

function digest ({ host, method, path, caller, body }: RequestContent): RequestFingerprint {
  const hash = createHash('sha256').update(JSON.stringify([host, method, path, caller ?? null]))
  if (body !== undefined) hash.update(body)
  return asRequestFingerprint(hash.digest('hex').slice(0, DIGITS))
}
