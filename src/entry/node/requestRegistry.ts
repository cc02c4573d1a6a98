/** Registry of requests in flight at this host, by caller and id. A caller can cancel only its own requests. */

import type { Disposable } from '../../base/common/lifecycle.ts'

export interface RegisteredRequest extends Disposable {
  /** Aborted when the request is cancelled or its caller disconnects. */
  readonly signal: AbortSignal
}

export class RequestRegistry {
  private readonly requests = new Map<string, Set<AbortController>>()

  register (caller: string, id: string, disconnectSignal: AbortSignal): RegisteredRequest {
    const key = `${caller}\n${id}`
    const abort = new AbortController()
    const onDisconnected = (): void => { abort.abort() }
    disconnectSignal.addEventListener('abort', onDisconnected, { once: true })
    const controllers = this.requests.get(key) ?? new Set()
    controllers.add(abort)
    this.requests.set(key, controllers)
    return {
      signal: abort.signal,
      dispose: () => {
        disconnectSignal.removeEventListener('abort', onDisconnected)
        controllers.delete(abort)
        if (controllers.size === 0) this.requests.delete(key)
      }
    }
  }

  /** Cancels all requests of this caller with this id. Returns whether there were any. */
  cancel (caller: string, id: string): boolean {
    const controllers = this.requests.get(`${caller}\n${id}`)
    if (controllers === undefined) return false
    for (const abort of controllers) abort.abort()
    return true
  }
}
