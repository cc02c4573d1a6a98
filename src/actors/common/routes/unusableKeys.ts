/**
 * Keys whose newest record cannot be used. Such records may be rewritten repeatedly, so a key is logged
 * only when it becomes unusable.
 */

/** Limit of tracked keys; beyond it no further keys are logged, only counted. */
const MAX_KEYS = 1000

export class UnusableKeys {
  private readonly keys = new Set<string>()

  /** Records that a key is unusable; true if that is to be logged. */
  add (key: string): boolean {
    if (this.keys.has(key) || this.keys.size >= MAX_KEYS) return false
    this.keys.add(key)
    return true
  }

  delete (key: string): void {
    this.keys.delete(key)
  }
}
