/**
 * Limits the time of a call by one abort signal and one timer that ends with the call. `AbortSignal.timeout` keeps its timer until the
 * limit, also after the call has ended, and then dispatches an event; `AbortSignal.any` registers the signal with each of its
 * sources. Together they cost more processor time than the rest of a short call.
 */

export class TimeLimit {
  private readonly controller = new AbortController()
  private readonly timer: NodeJS.Timeout
  private readonly abort = (): void => { this.controller.abort(this.cancelled?.reason) }

  /** @param cancelled aborts the call earlier */
  constructor (limitMs: number, private readonly cancelled?: AbortSignal) {
    this.timer = setTimeout(() => { this.controller.abort(new DOMException('The operation was aborted due to timeout', 'TimeoutError')) }, limitMs)
    if (cancelled?.aborted === true) this.abort()
    else cancelled?.addEventListener('abort', this.abort, { once: true })
  }

  get signal (): AbortSignal {
    return this.controller.signal
  }

  /** Must be called when the call has ended. */
  end (): void {
    clearTimeout(this.timer)
    this.cancelled?.removeEventListener('abort', this.abort)
  }
}
