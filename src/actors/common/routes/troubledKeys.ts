/**
 * Keys whose newest record cannot be used. Such records may be written again and again, so a log line
 * tells of a key only when it becomes one of these.
 */

/** Keys that are told apart; with more of them only the counters go on. */
const MOST_KEYS = 1000

export class TroubledKeys {
  private readonly keys = new Set<string>()

  /** Notes a record that cannot be used; true if that is to be told. */
  enter (key: string): boolean {
    if (this.keys.has(key) || this.keys.size >= MOST_KEYS) return false
    this.keys.add(key)
    return true
  }

  leave (key: string): void {
    this.keys.delete(key)
  }
}
