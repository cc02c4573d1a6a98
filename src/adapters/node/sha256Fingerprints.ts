/** Computes request fingerprints with SHA-256. */

import { createHash } from 'node:crypto'
import type { RequestFingerprint } from '../../base/common/ids.ts'
import { asRequestFingerprint } from '../../base/common/ids.ts'
import type { Fingerprints, RequestContent } from '../../ports/common/fingerprints.ts'

/** Length of a fingerprint: 128 bits. */
const FINGERPRINT_HEX_DIGITS = 32

const cache = new WeakMap<RequestContent, RequestFingerprint>()

export const sha256Fingerprints: Fingerprints = {
  of (content) {
    const fingerprint = cache.get(content) ?? digest(content)
    cache.set(content, fingerprint)
    return fingerprint
  }
}

function digest ({ host, method, path, caller, body }: RequestContent): RequestFingerprint {
  const hash = createHash('sha256').update(JSON.stringify([host, method, path, caller ?? null]))
  if (body !== undefined) hash.update(body)
  return asRequestFingerprint(hash.digest('hex').slice(0, FINGERPRINT_HEX_DIGITS))
}
