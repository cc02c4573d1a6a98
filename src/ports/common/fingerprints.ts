/** Port for digests of requests: what is asked again is recognised, whatever id it has and whichever host it comes to. */

import type { RequestFingerprint } from '../../base/common/ids.ts'

/** What a request asks, without what is new in each of its repeats. */
export interface RequestContent {
  readonly host: string
  readonly method: string
  /** With its query. */
  readonly path: string
  /** What the caller shows of itself, where callers have to. */
  readonly caller: string | undefined
  readonly body: Uint8Array | string | undefined
}

export interface Fingerprints {
  /** A digest that nobody can have two contents share on purpose; the content cannot be read from it. It is made once for each content object. */
  of (content: RequestContent): RequestFingerprint
}
