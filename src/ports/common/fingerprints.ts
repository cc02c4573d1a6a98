/** Port for digests of requests. They identify a repeated request regardless of its id and of the host that receives it. */

import type { RequestFingerprint } from '../../base/common/ids.ts'

/** Content of a request, without the parts that differ between its repeats. */
export interface RequestContent {
  readonly host: string
  readonly method: string
  /** Path including the query. */
  readonly path: string
  /** Credentials that the caller presents, if the route requires them. */
  readonly caller: string | undefined
  readonly body: Uint8Array | string | undefined
}

export interface Fingerprints {
  /** Returns a collision-resistant digest from which the content cannot be recovered. It is computed once for each content object. */
  of (content: RequestContent): RequestFingerprint
}
