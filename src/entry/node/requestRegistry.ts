/** Requests in flight at this host by caller and id, for cancelling; a caller reaches only its own. */

import type { Disposable } from '../../base/common/lifecycle.ts'

export interface RegisteredRequest extends Disposable {
  /** Aborted when the request is cancelled or its caller goes away. */
  readonly signal: AbortSignal
}

export class RequestRegistry {
  private readonly requests = new Map<string, Set<AbortController>>()

  add (caller: string, id: string, gone: AbortSignal): RegisteredRequest {
    const key = `${caller}\n${id}`
    const abort = new AbortController()
    const onGone = (): void => { abort.abort() }
    gone.addEventListener('abort', onGone, { once: true })
    const same = this.requests.get(key) ?? new Set()
    same.add(abort)
    this.requests.set(key, same)
    return {
      signal: abort.signal,
      dispose: () => {
        gone.removeEventListener('abort', onGone)
        same.delete(abort)
        if (same.size === 0) this.requests.delete(key)
      }
    }
  }

  /** Cancels all requests of this caller with this id; false where there is none. */
  cancel (caller: string, id: string): boolean {
    const same = this.requests.get(`${caller}\n${id}`)
    if (same === undefined) return false
    for (const abort of same) abort.abort()
    return true
  }
}
