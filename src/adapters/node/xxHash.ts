/** Computes hashes with xxHash. */

import xxhash from 'xxhash-wasm'
import type { Hash } from '../../ports/common/hash.ts'

const DIGEST_LENGTH = 16

/** Loads the WebAssembly library asynchronously; the returned hash functions are synchronous. */
export async function createHash (): Promise<Hash> {
  const library = await xxhash()
  return {
    digest: (text) => library.h64ToString(text).padStart(DIGEST_LENGTH, '0'),
    number: (text) => library.h32(text)
  }
}
