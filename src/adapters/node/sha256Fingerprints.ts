/** Fingerprints of requests by SHA-256. */

import { createHash } from 'node:crypto'
import { asRequestFingerprint } from '../../base/common/ids.ts'
import type { Fingerprints } from '../../ports/common/fingerprints.ts'

/** Hexadecimal digits that are kept: 128 bits. */
const DIGITS = 32

export const sha256Fingerprints: Fingerprints = {
  of ({ host, method, path, caller, body }) {
    const hash = createHash('sha256').update(JSON.stringify([host, method, path, caller ?? null]))
    if (body !== undefined) hash.update(body)
    return asRequestFingerprint(hash.digest('hex').slice(0, DIGITS))
  }
}
